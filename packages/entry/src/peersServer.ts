/** Where other processes of the system connect to an entry. */
import {
  type ClusterKey,
  createControlServer,
  type HttpServer,
  listen,
  type ListenError,
  Methods,
  sendJson,
  type ServerLimits,
  splitAddress,
} from '@marigoldfold/transport';
import {ok, type Result} from 'neverthrow';

/** What the server needs. */
export interface PeersServerOptions {
  /** `host:port`; there is no server when it is absent. */
  readonly address: string | undefined;
  readonly limits: ServerLimits;
  readonly clusterKey: ClusterKey;
  /** Adds the methods that peers may call. */
  readonly offer: (methods: Methods) => Methods;
  readonly onDefect: (error: unknown) => void;
}

const NOT_FOUND = 404;

/** Starts the server. */
export async function listenForPeers(
  options: PeersServerOptions,
): Promise<Result<HttpServer | undefined, ListenError>> {
  const {address, limits, clusterKey, offer, onDefect} = options;
  if (address === undefined) return ok(undefined);
  const [host, port] = splitAddress(address);
  const control = createControlServer(offer(new Methods()), clusterKey);
  const server = await listen({
    host,
    port,
    limits,
    handle: (_request, response) => {
      sendJson(response, NOT_FOUND, {message: 'control connections only'});
      return Promise.resolve();
    },
    upgrade: (request, socket, head) => {
      control.upgrade(request, socket, head);
    },
    onDefect,
  });
  return server.map((listening) => ({
    ...listening,
    drain() {
      control[Symbol.dispose]();
      return listening.drain();
    },
    [Symbol.dispose]() {
      control[Symbol.dispose]();
      listening[Symbol.dispose]();
    },
  }));
}
