/** The platform's list of instances. */
import {z} from 'zod';

/** Schema of one listed instance. */
export const instanceSchema = z.object({
  /** Unique among running instances. */
  name: z.string(),
  role: z.enum(['entry', 'agent']),
  /** `host:port` of the process. */
  address: z.string(),
  failureDomain: z.string(),
  region: z.string(),
  /** Endpoint that an agent serves; absent for entries. */
  endpoint: z.string().optional(),
  state: z.enum(['live', 'leaving']),
});

/** A listed instance; one that is `leaving` takes no new work. */
export type Instance = Readonly<z.infer<typeof instanceSchema>>;

/** The platform's list of instances; it may lag behind their actual state. */
export interface InstanceList {
  /** Increases with each change observed by this process. */
  readonly version: number;
  readonly instances: readonly Instance[];
}
