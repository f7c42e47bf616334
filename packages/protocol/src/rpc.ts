/** Methods that entries call on agents over the control connection. */
import {z} from 'zod';
import {encodeLoad, loadSchema} from './load.js';
import {defineMethod} from './method.js';

/** Requests an agent's load report. */
export const probeMethod = defineMethod('agent.probe', z.object({}), loadSchema, encodeLoad);

/** Schema of an agent's response to the withdrawal of a request. */
export const withdrawalOutcomeSchema = z.enum(['never-started', 'started', 'finished']);

/** Outcome of a withdrawal: the request never started, was already running, or had finished. */
export type WithdrawalOutcome = z.infer<typeof withdrawalOutcomeSchema>;

/** Withdraws a request that has not started; the agent then refuses the same id if it arrives late. */
export const withdrawMethod = defineMethod(
  'agent.withdraw',
  z.object({id: z.string()}),
  /**
   * The incarnation shows whether the agent restarted; a restarted agent does not know earlier requests, so callers
   * ignore its outcome for them.
   */
  z.object({outcome: withdrawalOutcomeSchema, incarnation: z.string()}),
);

/** Cancels a request whose caller has disconnected. */
export const cancelMethod = defineMethod(
  'agent.cancel',
  z.object({id: z.string()}),
  z.object({wasKnown: z.boolean()}),
);

/** Acknowledges the chunks of a response up to and including a chunk number. */
export const acknowledgeMethod = defineMethod(
  'agent.acknowledge',
  z.object({id: z.string(), chunk: z.int().min(0)}),
  z.object({}),
);
