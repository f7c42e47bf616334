/** Schema of the agent's settings file. */
import {
  addressSchema,
  limitsSchema,
  logSchema,
  platformSchema,
  processSchema,
  secretsSchema,
} from '@marigoldfold/coordination';
import {z} from 'zod';

/** Validates the settings of an agent and fills in defaults. */
export const agentSettingsSchema = z.strictObject({
  process: processSchema,
  listen: addressSchema.describe('Address on which the agent listens for entries.'),
  endpoint: z.strictObject({
    name: z.string().min(1).describe('Name of the endpoint in the configuration.'),
    type: z.enum(['engine', 'service']).describe('A model engine or a plain service.'),
    address: addressSchema.describe('Address of the endpoint itself.'),
    slots: z
      .int()
      .min(1)
      .max(4096)
      .describe('Number of requests that the endpoint can run at once.'),
    queueCapacity: z
      .int()
      .min(1)
      .max(1_000_000)
      .default(1000)
      .describe('Maximum number of queued requests.'),
    firstTokenLimitMs: z
      .int()
      .min(100)
      .default(120_000)
      .describe('Maximum time until an engine sends the first part of a stream, in milliseconds.'),
    silenceLimitMs: z
      .int()
      .min(100)
      .default(30_000)
      .describe('Maximum time between two parts of a stream, in milliseconds.'),
  }),
  claims: z
    .strictObject({
      retentionHours: z
        .number()
        .min(1)
        .max(480)
        .default(72)
        .describe('Retention of the outcome of a call that may run at most once, in hours.'),
    })
    .prefault({}),
  drain: z
    .strictObject({
      graceMs: z
        .int()
        .min(0)
        .max(5000)
        .default(2000)
        .describe(
          'Milliseconds between announcing that the endpoint is leaving and refusing work.',
        ),
    })
    .prefault({}),
  platform: platformSchema,
  secrets: secretsSchema.default({}),
  limits: limitsSchema.prefault({}),
  log: logSchema.prefault({}),
});

/** Validated settings of an agent. */
export type AgentSettings = Readonly<z.infer<typeof agentSettingsSchema>>;
