/** Requests from entries to agents, and the events of their responses. */
import {z} from 'zod';
import {failureSchema} from './failure.js';
import {loadSchema} from './load.js';
import {tierSchema} from './tier.js';

const generationSchema = z.object({
  kind: z.literal('generation'),
  model: z.string(),
  /** Path of the engine's API, such as `/v1/chat/completions`. */
  path: z.string(),
  body: z.record(z.string(), z.unknown()),
});

const callSchema = z.object({
  kind: z.literal('call'),
  service: z.string(),
  method: z.string(),
  path: z.string(),
  headers: z.record(z.string(), z.string()),
  /** Request body in base64. */
  body: z.string(),
  /** Idempotency key of the caller; present when the call may run at most once. */
  idempotencyKey: z.string().optional(),
});

/** Schema of a request to an agent. */
export const workRequestSchema = z.object({
  /** Unique over all entries: the entry's incarnation and a sequence number. */
  id: z.string(),
  entry: z.string(),
  /** Expected incarnation of the agent; absent before the first contact. */
  agent: z.string().optional(),
  account: z.string(),
  class: z.string(),
  tier: tierSchema,
  /**
   * Milliseconds left to meet the objective for the first token of a generation or the complete response of a call.
   */
  firstTokenBudgetMs: z.number(),
  /** Inter-token latency objective in milliseconds. */
  interTokenTargetMs: z.number().optional(),
  /** Output length that most requests of the class do not exceed, in tokens. */
  typicalOutputTokens: z.number().optional(),
  promptTokens: z.number(),
  /** Number of the configuration that the entry used for the request. */
  configuration: z.number(),
  task: z.discriminatedUnion('kind', [generationSchema, callSchema]),
});

/** A request that an entry sends to an agent, with its tier and latency objectives. */
export type WorkRequest = Readonly<z.infer<typeof workRequestSchema>>;

/** Payload of a request: a text generation by a model engine, or an HTTP call to a plain service. */
export type Task = WorkRequest['task'];

/** A text generation by a model engine. */
export type Generation = Readonly<z.infer<typeof generationSchema>>;

/** An HTTP call to a plain service. */
export type Call = Readonly<z.infer<typeof callSchema>>;

/** Schema of the events in an agent's response to a request. */
export const workEventSchema = z.discriminatedUnion('kind', [
  /** The request waits in the agent's queue. */
  z.object({kind: z.literal('queued'), load: loadSchema}),
  /** The endpoint started executing the request. */
  z.object({kind: z.literal('started')}),
  /** Keep-alive, sent when the agent has sent no other event for some time. */
  z.object({kind: z.literal('alive')}),
  /** Status and headers of a plain service's response. */
  z.object({
    kind: z.literal('head'),
    status: z.number(),
    headers: z.record(z.string(), z.string()),
  }),
  /** A part of the response; numbers start at 1 and have no gaps. */
  z.object({kind: z.literal('chunk'), number: z.number(), data: z.string()}),
  /** The response is complete and has this many chunks. */
  z.object({kind: z.literal('end'), chunks: z.number(), load: loadSchema}),
  z.object({kind: z.literal('failed'), failure: failureSchema, load: loadSchema}),
]);

/** An event of an agent's response to a request. */
export type WorkEvent = Readonly<z.infer<typeof workEventSchema>>;
