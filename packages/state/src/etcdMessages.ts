/** Messages of etcd's v3 JSON gateway, which sends 64-bit integers as strings, and keys and values in base64. */
import {z} from 'zod';
import type {KeyValueEntry} from './keyValue.js';

/** HTTP paths of the gateway. */
export const etcdPaths = {
  range: '/v3/kv/range',
  txn: '/v3/kv/txn',
  watch: '/v3/watch',
  leaseGrant: '/v3/lease/grant',
  leaseKeepAlive: '/v3/lease/keepalive',
  leaseRevoke: '/v3/lease/revoke',
} as const;

const int64 = z.union([z.string(), z.number()]).transform(Number);

const headerSchema = z.object({
  /** Identifies the cluster; one that is restored from a snapshot usually has another id. */
  cluster_id: z.string().default(''),
  revision: int64.default(0),
});

/** Header of a response. */
export type EtcdHeader = z.infer<typeof headerSchema>;

const pairSchema = z.object({
  key: z.string(),
  value: z.string().default(''),
  mod_revision: int64.default(0),
  lease: z.string().optional(),
});

/** Schema of the response to a range request. */
export const rangeResponseSchema = z.object({
  header: headerSchema,
  kvs: z.array(pairSchema).default([]),
  more: z.boolean().default(false),
});

/** Schema of the response to a transaction. */
export const txnResponseSchema = z.object({
  header: headerSchema,
  succeeded: z.boolean().default(false),
  responses: z
    .array(z.object({response_range: rangeResponseSchema.partial({header: true}).optional()}))
    .default([]),
});

/** Schema of one message of a watch stream. */
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

/** Schema of the response to a lease grant. */
export const leaseGrantResponseSchema = z.object({
  header: headerSchema.optional(),
  ID: z.string(),
  TTL: int64.default(0),
});

/** Schema of the response to a lease renewal; an expired lease has a TTL of 0. */
export const leaseKeepAliveResponseSchema = z.object({
  result: z.object({ID: z.string().optional(), TTL: int64.default(0)}),
});

/** Encodes a key or value in base64. */
export function encodeText(text: string): string {
  return Buffer.from(text).toString('base64');
}

/** Decodes a key or value from base64. */
export function decodeText(base64: string): string {
  return Buffer.from(base64, 'base64').toString();
}

/** Returns the end, in base64, of the range of all keys with a prefix; the range excludes its end. */
export function rangeEnd(prefix: string): string {
  const bytes = Buffer.from(prefix);
  const last = bytes.length - 1;
  bytes[last] = (bytes[last] ?? 0) + 1;
  return bytes.toString('base64');
}

/** A key of etcd's JSON gateway, with its value and the revision that set it. */
export interface EtcdPair {
  readonly key: string;
  readonly value: string;
  readonly mod_revision: number;
}

/** Decodes a key with its value. */
export function toEntry(pair: EtcdPair, era: number): KeyValueEntry {
  return {
    key: decodeText(pair.key),
    value: decodeText(pair.value),
    revision: {era, number: pair.mod_revision},
  };
}

/** Parses a message; undefined, which no schema accepts, if it is not JSON. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}
