/** Settings file of an entry: listening addresses, operators, drain, limits and secrets. */
import {
  addressSchema,
  limitsSchema,
  logSchema,
  platformSchema,
  processSchema,
  secretsSchema,
} from '@marigoldfold/coordination';
import {z} from 'zod';

/** Schema of the settings file of an entry. */
export const entrySettingsSchema = z.strictObject({
  process: processSchema,
  listen: addressSchema.describe('Address on which the entry listens for callers.'),
  operatorsListen: addressSchema.describe(
    'Address on which the entry listens for operators, the monitor and the metrics collector.',
  ),
  operators: z
    .array(
      z.strictObject({
        name: z.string().min(1).describe('Name of the operator, recorded in their tickets.'),
        keySha256: z
          .string()
          .regex(/^[0-9a-f]{64}$/, 'a SHA-256 digest in lower-case hexadecimal')
          .describe("SHA-256 digest of the operator's bearer key."),
      }),
    )
    .default([])
    .describe('Operators who may propose tickets.'),
  drain: z
    .strictObject({
      graceMs: z
        .int()
        .min(0)
        .max(600_000)
        .default(5000)
        .describe("Milliseconds between reporting not ready and closing the callers' port."),
    })
    .prefault({}),
  platform: platformSchema,
  secrets: secretsSchema.default({}),
  limits: limitsSchema.prefault({}),
  log: logSchema.prefault({}),
});

/** Validated settings of an entry, with defaults applied. */
export type EntrySettings = Readonly<z.infer<typeof entrySettingsSchema>>;
