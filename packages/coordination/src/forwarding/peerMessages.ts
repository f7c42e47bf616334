/** JSON-RPC notifications between instances about the endpoints that they share. */
import {z} from 'zod';

/** Method name of the notification. */
export const PEER_UPDATE_METHOD = 'forward.news';

/** Schema of the parameters of the notification. */
export const peerUpdateSchema = z.object({
  /** The sending instance. */
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
  /** Requests whose first event has arrived. */
  begun: z.array(z.string()),
  /** Requests that ended. */
  ended: z.array(z.string()),
  /** Endpoints with the time between their events relative to the usual one. */
  slowness: z.array(z.tuple([z.string(), z.number()])),
});

/** Changes of one instance since its last message. */
export type PeerUpdate = Readonly<z.infer<typeof peerUpdateSchema>>;
