/** Settings file of a standalone forwarding router. */
import {addressSchema, logSchema} from '@marigoldfold/coordination';
import {z} from 'zod';

/** Schema of the settings file; the default bounds are those that the product is tested with. */
export const forwardSettingsSchema = z.strictObject({
  name: z.string().min(1).describe('Name of the instance, unique among running instances.'),
  listen: addressSchema.describe('Address on which the process listens for clients.'),
  readyListen: addressSchema.describe('Address of the readiness check, `GET /ready`.'),
  metricsListen: addressSchema.describe('Address of the metrics, `GET /metrics`.'),
  peerListen: addressSchema.describe(
    'Address on which gossip datagrams from other instances arrive.',
  ),
  keyValue: addressSchema.describe('Address of the key-value service.'),
  bounds: z
    .strictObject({
      revocationMs: z
        .int()
        .min(1000)
        .default(5000)
        .describe('Milliseconds within which a revoked key must stop working.'),
      configurationMs: z
        .int()
        .min(500)
        .default(2000)
        .describe('Milliseconds within which a new configuration must be applied.'),
      stopMs: z
        .int()
        .min(2000)
        .default(8000)
        .describe('Milliseconds between the stop signal and the forced end of the process.'),
      repeatRatio: z
        .number()
        .min(0)
        .default(0.2)
        .describe('Retries allowed for each request to a service.'),
      repeatWindowMs: z
        .int()
        .min(1000)
        .default(10_000)
        .describe('Window in which retries are counted, in milliseconds.'),
      repeatSlack: z
        .int()
        .min(0)
        .default(50)
        .describe('Retries allowed in a window beyond the ratio, for all instances together.'),
    })
    .prefault({}),
  processLimits: z
    .strictObject({
      memoryBytes: z
        .int()
        .min(128_000_000)
        .default(256_000_000)
        .describe(
          'Memory that the process may use, in bytes; 0.2 of what exceeds 80 MB, but at least 16 MiB, is for what clients and endpoints make it hold.',
        ),
      maxDescriptors: z
        .int()
        .min(512)
        .default(4096)
        .describe('Number of file descriptors that the process may use.'),
    })
    .prefault({}),
  paceEndpoints: z
    .boolean()
    .default(false)
    .describe(
      'Whether endpoints that have started or recovered get work as their answers prove them able.',
    ),
  log: logSchema.prefault({}),
});

/** Validated settings with all defaults filled in. */
export type ForwardSettings = Readonly<z.infer<typeof forwardSettingsSchema>>;
