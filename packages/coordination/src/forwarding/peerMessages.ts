/** What instances tell each other of the endpoints that they share, as JSON-RPC notifications. */
import {z} from 'zod';

/** Name of the notification. */
export const PEER_UPDATE_METHOD = 'forward.news';

/** Checks the parameters of the notification. */
export const peerUpdateSchema = z.object({
  /** The instance that tells. */
  from: z.string(),
  /**
   * Requests that were sent: id, endpoint, tokens to read, prompt tokens, output tokens, pause objective
   * in milliseconds, and the shared parts of the prompt by id and tokens.
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
  /** Requests whose first event has come. */
  begun: z.array(z.string()),
  /** Requests that ended. */
  ended: z.array(z.string()),
  /** Endpoints with the time between their events against the usual one. */
  slowness: z.array(z.tuple([z.string(), z.number()])),
});

/** News of one instance since the last message. */
export type PeerUpdate = Readonly<z.infer<typeof peerUpdateSchema>>;
