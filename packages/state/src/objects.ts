/** Schemas of the configuration objects that operators define by tickets. */
import {tierSchema} from '@marigoldfold/protocol';
import {z} from 'zod';
import {isEd25519PublicKey} from './publicKey.js';

const MAX_NAME_LENGTH = 63;
const SHA256_HEX_LENGTH = 64;

/** Schema of an object name. */
export const nameSchema = z
  .string()
  .max(MAX_NAME_LENGTH)
  .regex(/^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$/, 'lower-case letters, digits, dots and hyphens');

const digestSchema = z
  .string()
  .length(SHA256_HEX_LENGTH)
  .regex(/^[0-9a-f]+$/, 'a SHA-256 digest in lower-case hexadecimal');

const positive = z.number().positive();

/** Schema of a client account: its keys, permitted classes and limits. */
export const accountSchema = z.strictObject({
  /** SHA-256 digests of the account's bearer keys. */
  keyDigests: z.array(digestSchema).min(1).max(8),
  /** Classes that the account may use. */
  classes: z.array(nameSchema).min(1).max(32),
  defaultClass: nameSchema,
  /** Sustained rate limit in requests per second, in each region. */
  requestsPerSecond: positive,
  /** Number of requests admitted at once after an idle time; the capacity of the rate limit's token bucket. */
  burst: positive,
  /** Limit of requests in flight in each region. */
  concurrency: z.int().min(1),
});

/** Schema of a class of requests: its tier, latency objectives and endpoint sets. */
export const classSchema = z.strictObject({
  tier: tierSchema,
  /** Objective for the time to first token in milliseconds. */
  firstTokenMs: positive.optional(),
  /** Objective for the inter-token latency in milliseconds. */
  interTokenMs: positive.optional(),
  /** Objective for the complete response in milliseconds. */
  completionMs: positive.optional(),
  /** Endpoint sets that the class may use. */
  endpointSets: z.array(nameSchema).min(1).max(32),
  /** Minimum share of each endpoint's service time for the class's tier while it has work. */
  guaranteedShare: z.number().min(0).max(0.5).default(0),
  /** Output length that most requests do not exceed, in tokens. */
  typicalOutputTokens: z.int().min(1).default(256),
});

/** Schema of a set of endpoints with the same models or service. */
export const endpointSetSchema = z
  .strictObject({
    type: z.enum(['engine', 'service']),
    /** Models of an engine set. */
    models: z.array(z.string().min(1)).max(64).default([]),
    /** Name of a plain service. */
    service: nameSchema.optional(),
    /** Calls of a plain service that may run at most once. */
    nonIdempotent: z
      .array(z.strictObject({method: z.enum(['POST', 'PUT', 'PATCH', 'DELETE']), path: z.string()}))
      .max(64)
      .default([]),
    /** Maximum number of concurrent requests at one endpoint. */
    slots: z.int().min(1).max(4096),
    /** Whether the endpoints refuse requests with an old fencing number. */
    checksFencing: z.boolean().default(false),
    /** Endpoints to keep ready for each model during a rolling change. */
    minimumReady: z.int().min(0).default(0),
  })
  .refine((set) => (set.type === 'service') === (set.service !== undefined), {
    error: 'a set of type service requires a service; a set of type engine must have none',
    path: ['service'],
  });

/** Schema of an endpoint: the set that it belongs to and the models to load. */
export const endpointSchema = z.strictObject({
  set: nameSchema,
  /** Models to load at the endpoint; defaults to all models of its set. */
  models: z
    .array(z.strictObject({name: z.string().min(1), version: z.string().min(1)}))
    .max(64)
    .optional(),
  role: z.enum(['prefill', 'decode', 'both']).default('both'),
});

/** Schema of the monitor's public key; a change is signed with the previous key. */
export const monitorSchema = z.strictObject({
  /** Ed25519 public key, SPKI in base64. With an invalid key no further decision could be signed. */
  publicKey: z
    .string()
    .refine(isEd25519PublicKey, {error: 'an Ed25519 public key, SPKI in base64'}),
});

/** Schema of the state of each kind of object, by the kind's name in tickets. */
export const objectSchemas = {
  account: accountSchema,
  class: classSchema,
  endpointSet: endpointSetSchema,
  endpoint: endpointSchema,
  monitor: monitorSchema,
} as const;

/** Kind of a configuration object, as written in tickets. */
export type Kind = keyof typeof objectSchemas;

/** All kinds of configuration objects, in the order of their schemas. */
export const kinds = Object.keys(objectSchemas) as [Kind, ...Kind[]];

/** State of an object of a kind, with defaults filled in. */
export type ObjectState<K extends Kind> = Readonly<z.infer<(typeof objectSchemas)[K]>>;

/** A client account's keys, permitted classes and limits. */
export type Account = ObjectState<'account'>;
/** Tier, latency objectives and endpoint sets of a class of requests. */
export type RequestClass = ObjectState<'class'>;
/** Endpoints with the same models or the same plain service, and their common limits. */
export type EndpointSet = ObjectState<'endpointSet'>;
/** The set that an endpoint belongs to and the models to load. */
export type Endpoint = ObjectState<'endpoint'>;
