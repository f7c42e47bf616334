/** The state of an endpoint, as its agent measures it. */
import {z} from 'zod';
import {tierCount} from './tier.js';

/** Checks a load report. Lists have one item for each tier, most urgent first. */
export const loadSchema = z.object({
  /** Incarnation of the agent that reports. */
  incarnation: z.string(),
  /** Number of the configuration in force at the agent. */
  configuration: z.number(),
  running: z.array(z.number()).max(tierCount),
  queued: z.array(z.number()).max(tierCount),
  /** Estimated wait of a new request in each tier, in milliseconds. */
  waitMs: z.array(z.number()).max(tierCount),
  /** Number of requests that the endpoint may run at once now. */
  window: z.number(),
  /** Recent median time between tokens in milliseconds; 0 when nothing was measured. */
  interTokenMs: z.number(),
  /** Recent median time to the first token in milliseconds; 0 when nothing was measured. */
  firstTokenMs: z.number(),
  isLeaving: z.boolean(),
});

/** The state of an endpoint. */
export type Load = Readonly<z.infer<typeof loadSchema>>;
