/** HTTP server with limits on connections, headers, bodies and request times. */
import {createServer, type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {type Failure, createFailureBody, failureStatus, refusal} from '@marigoldfold/protocol';
import {endAfterRequest} from './earlyResponse.js';
import {headTooLarge, sendClientError} from './clientError.js';
import {CountedRequest} from './compactRequest.js';
import {type ClosedConnection, ConnectionGuard} from './connectionGuard.js';
import {keepAllLines} from './headMemory.js';
import type {MemoryBudget} from './memoryBudget.js';

/** Schema of the server limits in the settings. */
export const serverLimitsSchema = z.strictObject({
  maxBodyBytes: z
    .int()
    .min(1024)
    .default(4_194_304)
    .describe('Maximum size of a request body, in bytes.'),
  maxMemoryBytes: z
    .int()
    .min(1_048_576)
    .default(268_435_456)
    .describe(
      'Maximum memory held for the requests of clients, in bytes; at least four thirds of `maxBodyBytes`, since a quarter is kept for small ones.',
    ),
  maxHeaderBytes: z
    .int()
    .min(1024)
    .max(1_048_576)
    .default(16_384)
    .describe('Maximum size of the request headers, in bytes.'),
  maxConnections: z
    .int()
    .min(1)
    .default(10_000)
    .describe('Maximum number of open connections; each further one receives a single refusal.'),
  idleTimeoutMs: z
    .int()
    .min(100)
    .default(60_000)
    .describe('Maximum idle time of a connection between requests, in milliseconds.'),
  requestTimeoutMs: z
    .int()
    .min(100)
    .default(30_000)
    .describe('Maximum time until the whole request has arrived, in milliseconds.'),
  stalledReaderTimeoutMs: z
    .int()
    .min(100)
    .default(30_000)
    .describe(
      'Maximum time for which a client reads no byte of a pending response, in milliseconds.',
    ),
});

/** Limits on the resources of a server that clients can consume. */
export type ServerLimits = Readonly<z.infer<typeof serverLimitsSchema>>;

/** Why a server could not start to listen. */
export interface ListenError {
  readonly code: 'port_taken' | 'not_permitted' | 'failed';
  readonly message: string;
}

/** Address, limits and handlers of a server. */
export interface HttpServerOptions {
  readonly host: string;
  /** 0 selects a free port. */
  readonly port: number;
  readonly limits: ServerLimits;
  readonly handle: (request: IncomingMessage, response: ServerResponse) => Promise<void>;
  readonly upgrade?: (request: IncomingMessage, socket: Duplex, head: Buffer) => void;
  /** Budget for what clients make the server hold; without one, nothing is counted. */
  readonly budget?: Pick<MemoryBudget, 'open'>;
  /** Called when a connection is closed, or is to be closed, for what its client does. */
  readonly onConnectionClosed?: (connection: ClosedConnection) => void;
  /** Called when `handle` rejects, which means a bug; the response is destroyed. */
  readonly onUnhandledError: (error: unknown) => void;
}

/** A listening server. */
export interface HttpServer extends Disposable {
  readonly port: number;
  /** `host:port`. */
  readonly address: string;
  /** Number of open connections. */
  readonly connectionCount: () => number;
  /** Number of requests whose handler has not finished, including those whose client has disconnected. */
  readonly activeCount: () => number;
  /** Continues to serve requests, but sends `connection: close` with each response. */
  disableKeepAlive(): void;
  /** Stops accepting connections, closes idle ones and resolves when the last request has finished. */
  drain(): Promise<void>;
}

const CONNECTION_CHECK_MS = 1000;
const DRAIN_CHECK_MS = 20;
/** Number of connections over the limit that get an error response; any more are closed without a response. */
const MAX_CONNECTIONS_OVER_LIMIT = 64;
const OVER_LIMIT_RETRY_MS = 1000;
const NO_MEMORY_RETRY_MS = 1000;

const noMemory = refusal('memory_exhausted', 'the instance has no memory left', NO_MEMORY_RETRY_MS);

function formatFailure(failure: Failure): string {
  return JSON.stringify(createFailureBody(failure, ''));
}

/** Starts a server; fails when the address cannot be bound. */
export async function listen(options: HttpServerOptions): Promise<Result<HttpServer, ListenError>> {
  const {limits} = options;
  const sockets = new Set<Socket>();
  const responses = new Set<ServerResponse>();
  let isKeepAliveDisabled = false;
  const overLimitSockets = new WeakSet<Socket>();
  const responsesBySocket = new WeakMap<Duplex, ServerResponse>();
  const server = createServer({
    IncomingMessage: CountedRequest,
    maxHeaderSize: limits.maxHeaderBytes,
    // `readBody` has its own timeout and sends a more specific error, so this one must fire later.
    requestTimeout: limits.requestTimeoutMs * 2 + CONNECTION_CHECK_MS,
    headersTimeout: limits.requestTimeoutMs,
    keepAliveTimeout: limits.idleTimeoutMs,
    connectionsCheckingInterval: CONNECTION_CHECK_MS,
    joinDuplicateHeaders: true,
    noDelay: true,
  });
  keepAllLines(server);
  new ConnectionGuard(server, {
    ...options,
    maxHeadBytes: limits.maxHeaderBytes,
    refusals: {noMemory: formatFailure(noMemory), headTooLarge: formatFailure(headTooLarge)},
    stalledReaderTimeoutMs: limits.stalledReaderTimeoutMs,
    onRequest(request, response) {
      responsesBySocket.set(request.socket, response);
      if (overLimitSockets.has(request.socket)) {
        refuseOverLimit(response);
        return;
      }
      responses.add(response);
      if (isKeepAliveDisabled) response.shouldKeepAlive = false;
      options
        .handle(request, response)
        .catch((error: unknown) => {
          options.onUnhandledError(error);
          response.destroy();
        })
        .finally(() => responses.delete(response));
    },
    onClientError(error, socket) {
      const response = responsesBySocket.get(socket);
      // An error response must not be mixed into a response that is already being sent.
      if (response?.headersSent === true && !response.writableFinished) socket.destroy();
      else sendClientError(error, socket);
    },
    onUpgrade: options.upgrade,
  });
  server.maxConnections = limits.maxConnections + MAX_CONNECTIONS_OVER_LIMIT;
  server.on('connection', (socket) => {
    if (sockets.size >= limits.maxConnections) overLimitSockets.add(socket);
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
  });
  const failure = await startListening(server, options);
  if (failure !== undefined) return err(failure);
  const {port} = server.address() as AddressInfo;
  const disableKeepAlive = () => {
    isKeepAliveDisabled = true;
    for (const response of responses) response.shouldKeepAlive = false;
  };
  return ok({
    port,
    address: `${options.host}:${port}`,
    connectionCount: () => sockets.size,
    activeCount: () => responses.size,
    disableKeepAlive,
    drain() {
      disableKeepAlive();
      return drain(server, () => responses.size + sockets.size);
    },
    [Symbol.dispose]() {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  });
}

async function drain(server: Server, countOpen: () => number): Promise<void> {
  // A connection with an open stream becomes idle only when the stream ends, so this check repeats.
  const idleCloser = setInterval(() => {
    server.closeIdleConnections();
  }, DRAIN_CHECK_MS);
  await new Promise<void>((resolve) => {
    server.close(() => {
      resolve();
    });
  });
  clearInterval(idleCloser);
  while (countOpen() > 0) {
    await new Promise((resolve) => {
      setTimeout(resolve, DRAIN_CHECK_MS);
    });
  }
}

function refuseOverLimit(response: ServerResponse): void {
  const message = 'the instance has reached its connection limit';
  const failure: Failure = refusal('too_many_connections', message, OVER_LIMIT_RETRY_MS);
  const headers = {connection: 'close'};
  sendJson(response, failureStatus(failure), createFailureBody(failure, ''), headers);
}

function startListening(
  server: Server,
  options: HttpServerOptions,
): Promise<ListenError | undefined> {
  const address = `${options.host}:${options.port}`;
  return new Promise((resolve) => {
    server.once('error', (error: NodeJS.ErrnoException) => {
      if (error.code === 'EADDRINUSE') {
        resolve({code: 'port_taken', message: `${address} is in use by another process`});
      } else if (error.code === 'EACCES') {
        resolve({code: 'not_permitted', message: `not permitted to listen on ${address}`});
      } else {
        resolve({code: 'failed', message: `cannot listen on ${address}: ${error.message}`});
      }
    });
    server.listen(options.port, options.host, () => {
      resolve(undefined);
    });
  });
}

/** Sends a JSON response, unless the headers were already sent or the response is destroyed. */
export function sendJson(
  response: ServerResponse,
  status: number,
  body: unknown,
  headers: Readonly<Record<string, string>> = {},
): void {
  if (response.headersSent || response.destroyed) return;
  const text = JSON.stringify(body);
  response.writeHead(status, {
    ...headers,
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  if (headers.connection === 'close') endAfterRequest(response, text);
  else response.end(text);
}

/** Timeout and signal that end {@link waitForDrain} early. */
export interface DrainWaitOptions {
  /** Milliseconds without progress after which the connection is closed; 0 disables the timeout. */
  readonly stalledTimeoutMs?: number;
  readonly signal?: AbortSignal;
}

/**
 * Resolves when the response is writable again or closed, or the signal is aborted. A client that reads nothing
 * is disconnected after `stalledTimeoutMs`.
 */
export function waitForDrain(
  response: ServerResponse,
  {stalledTimeoutMs = 0, signal}: DrainWaitOptions = {},
): Promise<void> {
  if (!response.writableNeedDrain || response.destroyed || signal?.aborted === true) {
    return Promise.resolve();
  }
  // The socket timer restarts with each byte the client reads.
  response.setTimeout(stalledTimeoutMs);
  return new Promise((resolve) => {
    const finish = () => {
      response.off('drain', finish);
      response.off('close', finish);
      signal?.removeEventListener('abort', finish);
      response.setTimeout(0);
      resolve();
    };
    response.on('drain', finish);
    response.on('close', finish);
    signal?.addEventListener('abort', finish);
  });
}
