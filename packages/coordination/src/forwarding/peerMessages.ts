/** JSON-RPC notification by which instances report their requests at shared endpoints to each other. */
import {z} from 'zod';

/** JSON-RPC method name of a peer update. */
export const PEER_UPDATE_METHOD = 'forward.news';

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
      z.number(),
      z.number(),
      z.number(),
      z.number(),
      z.array(z.tuple([z.string(), z.number()])),
    ]),
  ),
  /** Ids of requests whose first event has arrived. */
  begun: z.array(z.string()),
  /** Ids of requests that ended, successfully or not. */
  ended: z.array(z.string()),
  /** Endpoint ids, each with the current time between events divided by the usual time. */
  slowness: z.array(z.tuple([z.string(), z.number()])),
  /** Ids of endpoints to which no connection could be opened, or at whose address another endpoint answered. */
  unreachable: z.array(z.string()).default([]),
  /** Crashes of endpoints: lifetime of the endpoint, and shared prompt parts of a request that had not begun. */
  crashes: z
    .array(z.object({lifetime: z.string(), parts: z.array(z.string()).readonly()}))
    .default([]),
});

/** Changes of one instance since its last message. */
export type PeerUpdate = Readonly<z.infer<typeof peerUpdateSchema>>;
