/** Methods of the control connection between two processes. */
import {z} from 'zod';
import {encodeLoad, loadSchema} from './load.js';
import {defineMethod} from './method.js';

/** Asks an agent for its load. */
export const probeMethod = defineMethod('agent.probe', z.object({}), loadSchema, encodeLoad);

/** What became of a withdrawn request. */
export const withdrawalOutcomeSchema = z.enum(['never-started', 'started', 'finished']);

/** What became of a withdrawn request: no work was done, work has begun, or the work has ended. */
export type WithdrawalOutcome = z.infer<typeof withdrawalOutcomeSchema>;

/** Takes back a request that has not been started; a late arrival of the same id is refused afterwards. */
export const withdrawMethod = defineMethod(
  'agent.withdraw',
  z.object({id: z.string()}),
  /** An agent of a later incarnation knows nothing of the request, so its word is not enough. */
  z.object({outcome: withdrawalOutcomeSchema, incarnation: z.string()}),
);

/** Stops a request whose caller has gone. */
export const cancelMethod = defineMethod(
  'agent.cancel',
  z.object({id: z.string()}),
  z.object({wasKnown: z.boolean()}),
);

/** Tells an agent that the entry has all chunks of an answer up to a number. */
export const acknowledgeMethod = defineMethod(
  'agent.acknowledge',
  z.object({id: z.string(), chunk: z.int().min(0)}),
  z.object({}),
);
