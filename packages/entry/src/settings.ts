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
  /** Where other processes of the system connect; this address stands in the platform's list. */
  peersListen: addressSchema.optional(),
  /** People who may propose tickets, each with the SHA-256 digest of a bearer key. */
  operators: z
    .array(
      z.strictObject({
        name: z.string().min(1),
        keySha256: z.string().regex(/^[0-9a-f]{64}$/, 'a SHA-256 digest in hexadecimal'),
      }),
    )
    .default([]),
  platform: platformSchema,
  secrets: secretsSchema.default({}),
  limits: limitsSchema.prefault({}),
  log: logSchema.prefault({}),
});

/** Settings of an entry. */
export type EntrySettings = Readonly<z.infer<typeof entrySettingsSchema>>;
