/** The objects that operators define by tickets. */
import {tierSchema} from '@marigoldfold/protocol';
import {z} from 'zod';
import {isEd25519PublicKey} from './publicKey.js';

const MAX_NAME_LENGTH = 63;
const SHA256_HEX_LENGTH = 64;

/** Checks the name of an object. */
export const nameSchema = z
  .string()
  .max(MAX_NAME_LENGTH)
  .regex(/^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$/, 'lower-case letters, digits, dots and hyphens');

const digestSchema = z
  .string()
  .length(SHA256_HEX_LENGTH)
  .regex(/^[0-9a-f]+$/, 'a SHA-256 digest in lower-case hexadecimal');

const positive = z.number().positive();

/** Checks a client account. */
export const accountSchema = z.strictObject({
  /** SHA-256 digests of the account's bearer keys. */
  keyDigests: z.array(digestSchema).min(1).max(8),
  /** Classes that the account may use. */
  classes: z.array(nameSchema).min(1).max(32),
  defaultClass: nameSchema,
  /** Sustained requests a second, in each region. */
  requestsPerSecond: positive,
  /** Requests that may come at once after a pause. */
  burst: positive,
  /** Requests in flight at one time, in each region. */
  concurrency: z.int().min(1),
});

/** Checks a class of requests. */
export const classSchema = z.strictObject({
  tier: tierSchema,
  /** Target for the first token in milliseconds. */
  firstTokenMs: positive.optional(),
  /** Target between tokens in milliseconds. */
  interTokenMs: positive.optional(),
  /** Target for the whole answer in milliseconds. */
  completionMs: positive.optional(),
  /** Endpoint sets that the class may use. */
  endpointSets: z.array(nameSchema).min(1).max(32),
  /** Part of each endpoint's service time that the class's tier gets when it has work. */
  guaranteedShare: z.number().min(0).max(0.5).default(0),
  /** Output length that most requests stay under, in tokens. */
  typicalOutputTokens: z.int().min(1).default(256),
});

/** Checks a set of endpoints that serve the same things. */
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
    /** Requests that one endpoint can run at once. */
    slots: z.int().min(1).max(4096),
    /** Whether the endpoints themselves refuse orders with an old fencing number. */
    checksFencing: z.boolean().default(false),
    /** Ready endpoints that are kept for each model while a change rolls through. */
    minimumReady: z.int().min(0).default(0),
  })
  .refine((set) => (set.type === 'service') === (set.service !== undefined), {
    error: 'a service set needs a service, an engine set has none',
    path: ['service'],
  });

/** Checks one endpoint's placement. */
export const endpointSchema = z.strictObject({
  set: nameSchema,
  /** Models that the endpoint is to have loaded; all of its set when absent. */
  models: z
    .array(z.strictObject({name: z.string().min(1), version: z.string().min(1)}))
    .max(64)
    .optional(),
  role: z.enum(['prefill', 'decode', 'both']).default('both'),
});

/** Checks the monitor's public key; a change of it is signed with the key before. */
export const monitorSchema = z.strictObject({
  /** Ed25519 public key, SPKI in base64. A key that nobody can sign with would end the record. */
  publicKey: z
    .string()
    .refine(isEd25519PublicKey, {error: 'an Ed25519 public key, SPKI in base64'}),
});

/** Schema of each kind of object. */
export const objectSchemas = {
  account: accountSchema,
  class: classSchema,
  endpointSet: endpointSetSchema,
  endpoint: endpointSchema,
  monitor: monitorSchema,
} as const;

/** A kind of object. */
export type Kind = keyof typeof objectSchemas;

/** All kinds. */
export const kinds = Object.keys(objectSchemas) as [Kind, ...Kind[]];

/** The state of an object of a kind. */
export type ObjectState<K extends Kind> = Readonly<z.infer<(typeof objectSchemas)[K]>>;

/** A client account. */
export type Account = ObjectState<'account'>;
/** A class of requests. */
export type RequestClass = ObjectState<'class'>;
/** A set of endpoints. */
export type EndpointSet = ObjectState<'endpointSet'>;
/** An endpoint's placement. */
export type Endpoint = ObjectState<'endpoint'>;
