/** Settings of an agent. */
import {
  addressSchema,
  limitsSchema,
  logSchema,
  platformSchema,
  processSchema,
  secretsSchema,
} from '@marigoldfold/coordination';
import {z} from 'zod';

/** Checks the settings of an agent. */
export const agentSettingsSchema = z.strictObject({
  process: processSchema,
  /** Where the agent listens for entries. */
  listen: addressSchema,
  endpoint: z.strictObject({
    /** Name of the endpoint in the configuration. */
    name: z.string().min(1),
    type: z.enum(['engine', 'service']),
    address: addressSchema,
    /** Requests that the endpoint can run at once. */
    slots: z.int().min(1).max(4096),
    /** Requests that may wait. */
    queueCapacity: z.int().min(1).default(1000),
  }),
  claims: z
    .strictObject({
      /** Hours for which the recorded outcome of a call that may run at most once is kept. */
      retentionHours: z.number().min(1).max(480).default(72),
    })
    .prefault({}),
  platform: platformSchema,
  secrets: secretsSchema.default({}),
  limits: limitsSchema.prefault({}),
  log: logSchema.prefault({}),
});

/** Settings of an agent. */
export type AgentSettings = Readonly<z.infer<typeof agentSettingsSchema>>;
