/** Settings of an entry. */
import {
  addressSchema,
  limitsSchema,
  logSchema,
  platformSchema,
  processSchema,
  secretsSchema,
} from '@marigoldfold/coordination';
import {z} from 'zod';

/** Checks the settings of an entry. */
export const entrySettingsSchema = z.strictObject({
  process: processSchema,
  /** Where callers connect. */
  listen: addressSchema,
  /** Where operators and the metrics collector connect. */
  operatorsListen: addressSchema,
  /** People who may propose tickets, each with the SHA-256 digest of a bearer key. */
  operators: z
    .array(
      z.strictObject({
        name: z.string().min(1),
        keySha256: z.string().regex(/^[0-9a-f]{64}$/, 'a SHA-256 digest in hexadecimal'),
      }),
    )
    .default([]),
  drain: z
    .strictObject({
      /** Milliseconds between reporting not ready and closing the callers' port; the balancer's checks fit in. */
      graceMs: z.int().min(0).max(600_000).default(5000),
    })
    .prefault({}),
  platform: platformSchema,
  secrets: secretsSchema.default({}),
  limits: limitsSchema.prefault({}),
  log: logSchema.prefault({}),
});

/** Settings of an entry. */
export type EntrySettings = Readonly<z.infer<typeof entrySettingsSchema>>;
