/** The platform's list of instances. */
import {z} from 'zod';

/** Schema of an instance, which is one process of an entry or agent. */
export const instanceSchema = z.object({
  /** Name, unique among running instances. */
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

/** The platform's list of instances; the list may be older than the actual state of the instances. */
export interface InstanceList {
  /** Increases with each change of the list that this process observes. */
  readonly version: number;
  readonly instances: readonly Instance[];
}
