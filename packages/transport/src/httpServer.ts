/** An HTTP server with limits on everything that a client controls. */
import {createServer, type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';

/** Checks the limits of a server. */
export const serverLimitsSchema = z.strictObject({
  /** Bytes of a request's body. */
  maxBodyBytes: z.int().min(1024).default(4_194_304),
  /** Bytes of a request's headers. */
  maxHeaderBytes: z.int().min(1024).max(1_048_576).default(16_384),
  /** Connections at one time. */
  maxConnections: z.int().min(1).default(10_000),
  /** Milliseconds that a connection may stay idle between requests. */
  idleTimeoutMs: z.int().min(100).default(60_000),
  /** Milliseconds within which the whole request must have arrived. */
  requestTimeoutMs: z.int().min(100).default(30_000),
});

/** Limits of a server. */
export type ServerLimits = Readonly<z.infer<typeof serverLimitsSchema>>;

/** Why a server does not listen. */
export interface ListenError {
  readonly code: 'port_taken' | 'not_permitted' | 'failed';
  readonly message: string;
}

/** What a server needs. */
export interface HttpServerOptions {
  readonly host: string;
  /** 0 lets the system choose. */
  readonly port: number;
  readonly limits: ServerLimits;
  readonly handle: (request: IncomingMessage, response: ServerResponse) => Promise<void>;
  readonly upgrade?: (request: IncomingMessage, socket: Duplex, head: Buffer) => void;
  /** Called for a request that threw: a broken invariant. */
  readonly onDefect: (error: unknown) => void;
}

/** A listening server. */
export interface HttpServer extends Disposable {
  readonly port: number;
  /** `host:port`. */
  readonly address: string;
  /** Number of open connections. */
  readonly connectionCount: () => number;
  /** Number of requests whose handling has not ended, also of those whose client has gone. */
  readonly activeCount: () => number;
  /** Goes on serving, and asks each client to close its connection after its answer. */
  leave(): void;
  /** Stops accepting, closes idle connections and resolves when the last request has ended. */
  drain(): Promise<void>;
}

const CONNECTION_CHECK_MS = 1000;
const DRAIN_CHECK_MS = 20;

/** Starts to listen. */
export async function listen(options: HttpServerOptions): Promise<Result<HttpServer, ListenError>> {
  const {limits} = options;
  const sockets = new Set<Socket>();
  const responses = new Set<ServerResponse>();
  let isLeaving = false;
  const server = createServer(
    {
      maxHeaderSize: limits.maxHeaderBytes,
      requestTimeout: limits.requestTimeoutMs,
      headersTimeout: limits.requestTimeoutMs,
      keepAliveTimeout: limits.idleTimeoutMs,
      connectionsCheckingInterval: CONNECTION_CHECK_MS,
      noDelay: true,
    },
    (request, response) => {
      responses.add(response);
      if (isLeaving) response.shouldKeepAlive = false;
      options
        .handle(request, response)
        .catch((error: unknown) => {
          options.onDefect(error);
          response.destroy();
        })
        .finally(() => responses.delete(response));
    },
  );
  server.maxConnections = limits.maxConnections;
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
  });
  if (options.upgrade !== undefined) server.on('upgrade', options.upgrade);
  const failure = await startListening(server, options);
  if (failure !== undefined) return err(failure);
  const {port} = server.address() as AddressInfo;
  const leave = () => {
    isLeaving = true;
    for (const response of responses) response.shouldKeepAlive = false;
  };
  return ok({
    port,
    address: `${options.host}:${port}`,
    connectionCount: () => sockets.size,
    activeCount: () => responses.size,
    leave,
    drain() {
      leave();
      return drain(server, () => responses.size + sockets.size);
    },
    [Symbol.dispose]() {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  });
}

async function drain(server: Server, countOpen: () => number): Promise<void> {
  // A connection whose stream was begun before the drain is idle only when the stream has ended.
  const closing = setInterval(() => {
    server.closeIdleConnections();
  }, DRAIN_CHECK_MS);
  await new Promise<void>((resolve) => {
    server.close(() => {
      resolve();
    });
  });
  clearInterval(closing);
  while (countOpen() > 0) {
    await new Promise((resolve) => {
      setTimeout(resolve, DRAIN_CHECK_MS);
    });
  }
}

function startListening(
  server: Server,
  options: HttpServerOptions,
): Promise<ListenError | undefined> {
  const place = `${options.host}:${options.port}`;
  return new Promise((resolve) => {
    server.once('error', (error: NodeJS.ErrnoException) => {
      if (error.code === 'EADDRINUSE') {
        resolve({code: 'port_taken', message: `${place} is in use by another process`});
      } else if (error.code === 'EACCES') {
        resolve({code: 'not_permitted', message: `not permitted to listen on ${place}`});
      } else {
        resolve({code: 'failed', message: `cannot listen on ${place}: ${error.message}`});
      }
    });
    server.listen(options.port, options.host, () => {
      resolve(undefined);
    });
  });
}

/** Why a body was not read. */
export type BodyError = 'too_large' | 'timed_out' | 'aborted';

/** Reads a request's body up to a limit. */
export function readBody(
  request: IncomingMessage,
  limits: ServerLimits,
): Promise<Result<Buffer, BodyError>> {
  const {maxBodyBytes, requestTimeoutMs} = limits;
  if (Number(request.headers['content-length'] ?? 0) > maxBodyBytes) {
    return Promise.resolve(err('too_large'));
  }
  return new Promise((resolve) => {
    const parts: Buffer[] = [];
    let size = 0;
    const finish = (result: Result<Buffer, BodyError>) => {
      clearTimeout(timer);
      request.removeAllListeners('data');
      resolve(result);
    };
    const timer = setTimeout(() => {
      finish(err('timed_out'));
    }, requestTimeoutMs);
    request.on('data', (part: Buffer) => {
      size += part.length;
      if (size > maxBodyBytes) finish(err('too_large'));
      else parts.push(part);
    });
    request.on('end', () => {
      finish(ok(Buffer.concat(parts)));
    });
    request.on('close', () => {
      finish(err('aborted'));
    });
    request.on('error', () => {
      finish(err('aborted'));
    });
  });
}

/** Sends a JSON body. */
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
  response.end(text);
}

/** Resolves when the response can take more, or has been closed. */
export function drained(response: ServerResponse): Promise<void> {
  if (!response.writableNeedDrain || response.destroyed) return Promise.resolve();
  return new Promise((resolve) => {
    const finish = () => {
      response.off('drain', finish);
      response.off('close', finish);
      resolve();
    };
    response.on('drain', finish);
    response.on('close', finish);
  });
}
