/** JSON-RPC over one WebSocket per pair of processes. */
import type {IncomingMessage} from 'node:http';
import type {Duplex} from 'node:stream';
import {type Method} from '@marigoldfold/protocol';
import {JSONRPCClient, JSONRPCErrorException, JSONRPCServer} from 'json-rpc-2.0';
import {err, ok, type Result} from 'neverthrow';
import {WebSocket, WebSocketServer} from 'ws';
import type {ClusterKey} from './clusterKey.js';

const CONTROL_PATH = '/control';
const MAX_MESSAGE_BYTES = 2_097_152;
const INVALID_PARAMS = -32602;
const DEFAULT_TIMEOUT_MS = 2000;
/** Error message of the JSON-RPC library for a call that timed out. */
const TIMEOUT_MESSAGE = 'Request timeout';
const CLOSED_MESSAGE = 'connection closed';

/** Why a call failed; `rejected` includes results that do not match the schema. */
export interface CallError {
  readonly code: 'unreachable' | 'timed_out' | 'rejected';
  readonly message: string;
}

/** Client for the methods of one peer. */
export interface Peer extends Disposable {
  readonly address: string;
  readonly isConnected: () => boolean;
  call<P, R>(method: Method<P, R>, params: P, timeoutMs?: number): Promise<Result<R, CallError>>;
}

/** JSON-RPC methods that other processes can call. */
export class RpcMethods {
  readonly server = new JSONRPCServer({errorListener: () => undefined});

  /** Adds a method; parameters are validated before the handler runs. */
  add<P, R>(method: Method<P, R>, handle: (params: P) => R | Promise<R>): this {
    this.server.addMethod(method.name, async (params: unknown) => {
      const checked = method.params.safeParse(params);
      if (!checked.success) throw new JSONRPCErrorException(checked.error.message, INVALID_PARAMS);
      return method.encode(await handle(checked.data));
    });
    return this;
  }
}

/** Accepts WebSocket connections on the `upgrade` event of an HTTP server. */
export interface ControlServer extends Disposable {
  upgrade(request: IncomingMessage, socket: Duplex, head: Buffer): void;
}

/** Serves methods to peers that authenticate with the cluster key; others get status 401. */
export function createControlServer(methods: RpcMethods, clusterKey: ClusterKey): ControlServer {
  const server = new WebSocketServer({
    noServer: true,
    perMessageDeflate: false,
    maxPayload: MAX_MESSAGE_BYTES,
  });
  return {
    upgrade(request, socket, head) {
      if (request.url !== CONTROL_PATH || !clusterKey.authenticates(request.headers)) {
        socket.end('HTTP/1.1 401 Unauthorized\r\nconnection: close\r\n\r\n');
        return;
      }
      server.handleUpgrade(request, socket, head, (connection) => {
        serveConnection(connection, methods);
      });
    },
    [Symbol.dispose]() {
      for (const connection of server.clients) connection.terminate();
      server.close();
    },
  };
}

function serveConnection(connection: WebSocket, methods: RpcMethods): void {
  connection.on('error', () => {
    connection.terminate();
  });
  connection.on('message', (data: Buffer) => {
    void methods.server.receiveJSON(data.toString()).then((response) => {
      if (response !== null && connection.readyState === WebSocket.OPEN) {
        connection.send(JSON.stringify(response));
      }
    });
  });
}

/** Creates a peer that connects on the first call and reconnects on the next call after a disconnect. */
export function createPeer(address: string, clusterKey: ClusterKey): Peer {
  let connection: Promise<WebSocket> | undefined;
  let isConnected = false;
  const client = new JSONRPCClient(async (request) => {
    const socket = await connect();
    socket.send(JSON.stringify(request));
  });

  const connect = (): Promise<WebSocket> => {
    connection ??= new Promise<WebSocket>((resolve, reject) => {
      const socket = new WebSocket(`ws://${address}${CONTROL_PATH}`, {
        headers: clusterKey.headers,
        perMessageDeflate: false,
        maxPayload: MAX_MESSAGE_BYTES,
      });
      socket.on('open', () => {
        isConnected = true;
        resolve(socket);
      });
      socket.on('message', (data: Buffer) => {
        client.receive(JSON.parse(data.toString()) as Parameters<typeof client.receive>[0]);
      });
      socket.on('error', reject);
      socket.on('close', () => {
        isConnected = false;
        connection = undefined;
        client.rejectAllPendingRequests(CLOSED_MESSAGE);
        reject(new Error(CLOSED_MESSAGE));
      });
    });
    return connection;
  };

  return {
    address,
    isConnected: () => isConnected,
    async call(method, params, timeoutMs = DEFAULT_TIMEOUT_MS) {
      try {
        const result: unknown = await client.timeout(timeoutMs).request(method.name, params);
        const checked = method.result.safeParse(result);
        if (checked.success) return ok(checked.data);
        return err({code: 'rejected', message: checked.error.message});
      } catch (error) {
        return err(describeCallError(error));
      }
    },
    [Symbol.dispose]() {
      const previous = connection;
      connection = undefined;
      void previous?.then(
        (socket) => {
          socket.close();
        },
        () => undefined,
      );
    },
  };
}

function describeCallError(error: unknown): CallError {
  const message = error instanceof Error ? error.message : String(error);
  if (message === TIMEOUT_MESSAGE) return {code: 'timed_out', message};
  if (message === CLOSED_MESSAGE) return {code: 'unreachable', message};
  if (error instanceof JSONRPCErrorException) return {code: 'rejected', message};
  return {code: 'unreachable', message};
}
