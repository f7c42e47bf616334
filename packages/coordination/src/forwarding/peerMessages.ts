/** JSON-RPC notification by which instances report their requests at shared endpoints to each other. */
import {countSchema, messageDurationSchema} from '@marigoldfold/state';
import {z} from 'zod';
import {usageStatementSchema} from '../duties/usageStatement.js';
import {limitMessageSchema} from './endpointLimit.js';

/** JSON-RPC method name of a peer update. */
export const PEER_UPDATE_METHOD = 'forward.news';

const permitRequestSchema = z.object({
  id: z.string(),
  endpoint: z.string(),
  rank: z.number(),
  /** Longest wait, in milliseconds. */
  waitMs: messageDurationSchema,
  /** What the sender knows of the endpoint's limit. */
  limit: limitMessageSchema,
});

const permitSchema = z.object({
  /** Id of the request. */
  id: z.string(),
  endpoint: z.string(),
  isGranted: z.boolean(),
  /** Time after which to ask again if it is not granted, in milliseconds. */
  retryAfterMs: messageDurationSchema,
  /** What the sender knows of the endpoint's limit. */
  limit: limitMessageSchema.optional(),
});

/** Schema of the parameters of a peer update; requests are referred to by id. */
export const peerUpdateSchema = z.object({
  /** Name of the sending instance. */
  from: z.string(),
  /**
   * Requests that were sent: id, endpoint, tokens to prefill, prompt tokens, output tokens, pause
   * objective in milliseconds (0 for none), and the shared parts of the prompt by id and tokens.
   */
  sent: z.array(
    z.tuple([
      z.string(),
      z.string(),
      countSchema,
      countSchema,
      countSchema,
      messageDurationSchema,
      z.array(z.tuple([z.string(), countSchema])),
    ]),
  ),
  /** Ids of requests whose first event has arrived. */
  begun: z.array(z.string()),
  /** Ids of requests that ended, successfully or not. */
  ended: z.array(z.string()),
  /** Endpoint ids, each with the current time between events divided by the usual time. */
  slowness: z.array(z.tuple([z.string(), countSchema])),
  /** Lasting ratios of endpoints to the usual time of their service: endpoint, start of its lifetime, ratio. */
  speeds: z.array(z.tuple([z.string(), z.number(), countSchema])).default([]),
  /** Ids of endpoints to which no connection could be opened, or at whose address another endpoint answered. */
  unreachable: z.array(z.string()).default([]),
  /** Crashes of endpoints: lifetime of the endpoint, and shared prompt parts of a request that had not begun. */
  crashes: z
    .array(z.object({lifetime: z.string(), parts: z.array(z.string()).readonly()}))
    .default([]),
  /** Endpoint ids, each with its limit or the end of it. */
  limits: z.array(z.tuple([z.string(), limitMessageSchema])).default([]),
  /** Highest known version of the configuration, and for how long, in milliseconds, it has been known. */
  configuration: z.object({version: z.number(), ageMs: z.number().nonnegative()}).optional(),
  /** Requests to send to limited endpoints whose home is the receiver. */
  permitRequests: z.array(permitRequestSchema).default([]),
  /** Responses to permit requests. */
  permits: z.array(permitSchema).default([]),
  /** Request counts for the usage reports; absent where there are none. */
  usage: z.array(usageStatementSchema).readonly().optional(),
});

/** A request for a permit as instances send it to each other. */
export type PermitRequestMessage = Readonly<z.infer<typeof permitRequestSchema>>;

/** A permit or its denial as instances send it to each other. */
export type PermitMessage = Readonly<z.infer<typeof permitSchema>>;

/** Changes of one instance since its last message. */
export type PeerUpdate = Readonly<z.infer<typeof peerUpdateSchema>>;

/** Creates an update of an instance that reports nothing. */
export function emptyUpdate(from: string): PeerUpdate {
  return {
    from,
    sent: [],
    begun: [],
    ended: [],
    slowness: [],
    speeds: [],
    unreachable: [],
    crashes: [],
    limits: [],
    permitRequests: [],
    permits: [],
  };
}
