/** The platform's list of live and leaving instances. */
import {z} from 'zod';

/** Checks one line of the list. */
export const instanceSchema = z.object({
  /** Name of the instance, unique while it lives. */
  name: z.string(),
  role: z.enum(['entry', 'agent']),
  /** `host:port` of the process. */
  address: z.string(),
  failureDomain: z.string(),
  region: z.string(),
  /** Endpoint that an agent stands beside. */
  endpoint: z.string().optional(),
  state: z.enum(['live', 'leaving']),
});

/** A live or leaving instance. */
export type Instance = Readonly<z.infer<typeof instanceSchema>>;

/** The platform's list; it lags behind the truth. */
export interface InstanceList {
  /** Grows with each change that this process has seen. */
  readonly version: number;
  readonly instances: readonly Instance[];
}
