/** Settings file of a standalone forwarding router. */
import {addressSchema, logSchema} from '@marigoldfold/coordination';
import {z} from 'zod';

/** Schema of the settings file; the default bounds are those that the product is tested with. */
export const forwardSettingsSchema = z.strictObject({
  name: z.string().min(1).describe('Name of the instance, unique while it lives.'),
  listen: addressSchema.describe('Where clients connect.'),
  readyListen: addressSchema.describe('Where `GET /ready` tells whether clients should connect.'),
  metricsListen: addressSchema.describe('Where `GET /metrics` gives the metrics.'),
  peerListen: addressSchema.describe('Where news of other instances come, by datagrams.'),
  keyValue: addressSchema.describe('Address of the key-value service.'),
  bounds: z
    .strictObject({
      revocationMs: z
        .int()
        .min(1000)
        .default(5000)
        .describe('Milliseconds after which a key that was taken away must not work.'),
      configurationMs: z
        .int()
        .min(500)
        .default(2000)
        .describe('Milliseconds after which a configuration must be in force.'),
      stopMs: z
        .int()
        .min(2000)
        .default(8000)
        .describe('Milliseconds from the signal to stop until the process is killed.'),
      repeatRatio: z
        .number()
        .min(0)
        .default(0.2)
        .describe('Repeated sends for each request to a service.'),
      repeatWindowMs: z
        .int()
        .min(1000)
        .default(10_000)
        .describe('Window in which repeats are counted.'),
      repeatSlack: z
        .int()
        .min(0)
        .default(50)
        .describe('Repeated sends in a window beyond the ratio, for all instances together.'),
    })
    .prefault({}),
  log: logSchema.prefault({}),
});

/** Validated settings with all defaults filled in. */
export type ForwardSettings = Readonly<z.infer<typeof forwardSettingsSchema>>;
