/** Requests and answers between an entry and an agent. */
import {z} from 'zod';
import {failureSchema} from './failure.js';
import {loadSchema} from './load.js';
import {tierSchema} from './tier.js';

/** A generation by a model engine. */
const generationSchema = z.object({
  kind: z.literal('generation'),
  model: z.string(),
  /** Path of the engine's API, such as `/v1/chat/completions`. */
  path: z.string(),
  body: z.record(z.string(), z.unknown()),
});

/** A call to a plain service. */
const callSchema = z.object({
  kind: z.literal('call'),
  service: z.string(),
  method: z.string(),
  path: z.string(),
  headers: z.record(z.string(), z.string()),
  /** The body in base64. */
  body: z.string(),
  /** Present when the call may run at most once. */
  idempotencyKey: z.string().optional(),
});

/** Checks a request that an agent receives. */
export const workRequestSchema = z.object({
  /** Entry incarnation and sequence, unique for all time. */
  id: z.string(),
  entry: z.string(),
  /** Incarnation of the agent that the request is meant for; absent before the first contact. */
  agent: z.string().optional(),
  account: z.string(),
  class: z.string(),
  tier: tierSchema,
  /** Milliseconds left until the first token, or the whole answer of a call, is due. */
  firstTokenBudgetMs: z.number(),
  /** Target between tokens in milliseconds. */
  interTokenTargetMs: z.number().optional(),
  /** Output length that most requests of the class stay under, in tokens. */
  typicalOutputTokens: z.number().optional(),
  promptTokens: z.number(),
  /** Number of the configuration that the entry applied. */
  configuration: z.number(),
  task: z.discriminatedUnion('kind', [generationSchema, callSchema]),
});

/** A request as an agent receives it. */
export type WorkRequest = Readonly<z.infer<typeof workRequestSchema>>;

/** What is to be done for a request. */
export type Task = WorkRequest['task'];

/** A generation by a model engine. */
export type Generation = Readonly<z.infer<typeof generationSchema>>;

/** A call to a plain service. */
export type Call = Readonly<z.infer<typeof callSchema>>;

/** Checks an event of an answer. */
export const workEventSchema = z.discriminatedUnion('kind', [
  /** The request waits in the agent's queue. */
  z.object({kind: z.literal('queued'), load: loadSchema}),
  /** The endpoint has begun the work. */
  z.object({kind: z.literal('started')}),
  /** Nothing else was to be said for a while; the connection and the agent live. */
  z.object({kind: z.literal('alive')}),
  /** Status and headers of a plain service's answer. */
  z.object({
    kind: z.literal('head'),
    status: z.number(),
    headers: z.record(z.string(), z.string()),
  }),
  /** A part of the answer; numbers start at 1 and have no gaps. */
  z.object({kind: z.literal('chunk'), number: z.number(), data: z.string()}),
  /** The answer is whole and has this many chunks. */
  z.object({kind: z.literal('end'), chunks: z.number(), load: loadSchema}),
  z.object({kind: z.literal('failed'), failure: failureSchema, load: loadSchema}),
]);

/** An event of an answer. */
export type WorkEvent = Readonly<z.infer<typeof workEventSchema>>;
