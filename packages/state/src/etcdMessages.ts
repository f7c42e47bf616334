/** Messages of etcd's v3 JSON gateway: 64-bit integers are strings, keys and values are base64. */
import {z} from 'zod';

/** Paths of the gateway. */
export const etcdPaths = {
  range: '/v3/kv/range',
  txn: '/v3/kv/txn',
  watch: '/v3/watch',
  leaseGrant: '/v3/lease/grant',
  leaseKeepAlive: '/v3/lease/keepalive',
  leaseRevoke: '/v3/lease/revoke',
} as const;

const int64 = z.union([z.string(), z.number()]).transform(Number);

const headerSchema = z.object({revision: int64.default(0)});

const pairSchema = z.object({
  key: z.string(),
  value: z.string().default(''),
  mod_revision: int64.default(0),
  lease: z.string().optional(),
});

/** Checks an answer to a range request. */
export const rangeAnswerSchema = z.object({
  header: headerSchema,
  kvs: z.array(pairSchema).default([]),
  more: z.boolean().default(false),
});

/** Checks an answer to a transaction. */
export const txnAnswerSchema = z.object({
  header: headerSchema,
  succeeded: z.boolean().default(false),
  responses: z
    .array(z.object({response_range: rangeAnswerSchema.partial({header: true}).optional()}))
    .default([]),
});

/** Checks a message of a watch. */
export const watchMessageSchema = z.object({
  result: z.object({
    header: headerSchema,
    created: z.boolean().default(false),
    canceled: z.boolean().default(false),
    compact_revision: int64.optional(),
    events: z
      .array(z.object({type: z.enum(['PUT', 'DELETE']).default('PUT'), kv: pairSchema}))
      .default([]),
  }),
});

/** Checks an answer to a lease grant. */
export const leaseGrantSchema = z.object({ID: z.string(), TTL: int64.default(0)});

/** Checks an answer to a lease renewal; a lapsed lease has no time to live. */
export const leaseKeepAliveSchema = z.object({
  result: z.object({ID: z.string().optional(), TTL: int64.default(0)}),
});

/** A key or value in base64. */
export function encodeText(text: string): string {
  return Buffer.from(text).toString('base64');
}

/** The text of a key or value. */
export function decodeText(base64: string): string {
  return Buffer.from(base64, 'base64').toString();
}

/** The end of the range of all keys with a prefix, in base64. */
export function rangeEnd(prefix: string): string {
  const bytes = Buffer.from(prefix);
  const last = bytes.length - 1;
  bytes[last] = (bytes[last] ?? 0) + 1;
  return bytes.toString('base64');
}
