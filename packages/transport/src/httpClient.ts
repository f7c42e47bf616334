/** HTTP client for other processes of the cluster and for the platform. */
import {
  Agent,
  type ClientRequest as ClientHttpRequest,
  request as httpRequest,
  type IncomingMessage,
} from 'node:http';
import {err, ok, Result} from 'neverthrow';
import {limitInterimResponses} from './interimResponses.js';
import {onResponseReset} from './responseEnd.js';
import {keepAllLines} from './headMemory.js';
import {MAX_RESPONSE_HEAD_BYTES} from './responseHeadGate.js';
import {findHeadFault} from './responseHead.js';
import {readWholeBody, type TransferLimits} from './wholeBody.js';

/** Why a request got no response. */
export interface ConnectionError {
  readonly code: 'refused' | 'timed_out' | 'broken' | 'aborted';
  readonly message: string;
  /** Whether any byte of the request may have reached the server. */
  readonly mayHaveBeenSent: boolean;
}

/** A request whose body, if any, is in memory. */
export interface ClientRequest {
  /** `host:port`. */
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | Buffer;
  readonly signal?: AbortSignal;
  /** Timeout for the response headers; default 30 seconds. */
  readonly timeoutMs?: number;
  /** Limits of the response body with `fetch`; by default, it stalls after `timeoutMs`. */
  readonly transferLimits?: TransferLimits;
}

/** A response whose headers have arrived; its body is read from `stream`. */
export interface ClientResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly stream: IncomingMessage;
}

/** A response with its whole body. */
export interface BufferedResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
}

/** An HTTP client with a pool of keep-alive connections. */
export interface HttpClient extends Disposable {
  /** Resolves when the response headers have arrived. */
  send(request: ClientRequest): Promise<Result<ClientResponse, ConnectionError>>;
  /** Resolves when the whole response has arrived. */
  fetch(request: ClientRequest): Promise<Result<BufferedResponse, ConnectionError>>;
}

const IDLE_SOCKETS_PER_HOST = 64;
const DEFAULT_TIMEOUT_MS = 30_000;
/** Far below any usable link, so that by default only bodies that trickle are given up before they stall. */
const DEFAULT_MIN_BYTES_PER_SECOND = 4096;

/** Creates a client; disposing of it closes all its connections. */
export function createHttpClient(): HttpClient {
  const agent = new Agent({keepAlive: true, maxFreeSockets: IDLE_SOCKETS_PER_HOST, noDelay: true});
  const send = (request: ClientRequest) => sendOnce(agent, request);
  return {
    send,
    fetch: (request) => fetchBuffered(send, request),
    [Symbol.dispose]() {
      agent.destroy();
    },
  };
}

/** Node.js throws if an address, path or header cannot be sent. */
const createRequest = Result.fromThrowable(
  (agent: Agent, {address, method, path, headers}: ClientRequest) => {
    const [host, port] = splitAddress(address);
    const outgoing = httpRequest({
      agent,
      host,
      port,
      method,
      path,
      headers,
      maxHeaderSize: MAX_RESPONSE_HEAD_BYTES,
      joinDuplicateHeaders: true,
    });
    keepAllLines(outgoing);
    return outgoing;
  },
  (error) => error as Error,
);

function sendOnce(
  agent: Agent,
  request: ClientRequest,
): Promise<Result<ClientResponse, ConnectionError>> {
  const created = createRequest(agent, request);
  if (created.isErr()) {
    const {message} = created.error;
    return Promise.resolve(err({code: 'broken', message, mayHaveBeenSent: false}));
  }
  const outgoing = created.value;
  return new Promise((resolve) => {
    let isConnected = false;
    let isTimedOut = false;
    let isAborted = false;
    const fail = (error: NodeJS.ErrnoException) => {
      clearTimeout(timer);
      resolve(err(describeError(error, request, {isConnected, isTimedOut, isAborted})));
    };
    // Readers take the end of the stream for that of a complete response.
    onResponseReset(outgoing, (response) => {
      response.destroy(new Error('connection reset'));
    });
    outgoing.on('response', (response) => {
      clearTimeout(timer);
      // After the headers, the reader of the stream detects errors as a premature close.
      response.on('error', () => undefined);
      const fault = findHeadFault(response);
      if (fault !== undefined) {
        fail(new Error(`invalid response: ${fault}`));
        outgoing.destroy();
        return;
      }
      const {statusCode: status = 0, headers} = response;
      resolve(ok({status, headers: headers as Record<string, string>, stream: response}));
    });
    limitInterimResponses(outgoing);
    const timer = setTimeout(() => {
      isTimedOut = true;
      outgoing.destroy(new Error('request timed out'));
    }, request.timeoutMs ?? DEFAULT_TIMEOUT_MS);
    outgoing.on('socket', (socket) => {
      if (!socket.connecting) isConnected = true;
      else socket.once('connect', () => (isConnected = true));
    });
    outgoing.on('error', fail);
    onAbort(request.signal, outgoing, () => {
      isAborted = true;
      outgoing.destroy();
    });
    outgoing.end(request.body);
  });
}

/**
 * Runs `abort` if the signal is aborted before the request ends. Node's own `signal` option would also destroy a
 * connection that is already back in the pool.
 */
function onAbort(
  signal: AbortSignal | undefined,
  outgoing: ClientHttpRequest,
  abort: () => void,
): void {
  if (signal === undefined) return;
  if (signal.aborted) abort();
  signal.addEventListener('abort', abort, {once: true});
  outgoing.once('close', () => {
    signal.removeEventListener('abort', abort);
  });
}

interface ErrorContext {
  readonly isConnected: boolean;
  readonly isTimedOut: boolean;
  readonly isAborted: boolean;
}

function describeError(
  error: NodeJS.ErrnoException,
  request: ClientRequest,
  context: ErrorContext,
): ConnectionError {
  const message = `${request.method} ${request.address}${request.path}: ${error.message}`;
  const mayHaveBeenSent = context.isConnected;
  if (context.isTimedOut) return {code: 'timed_out', message, mayHaveBeenSent};
  if (context.isAborted) return {code: 'aborted', message, mayHaveBeenSent};
  if (error.code === 'ECONNREFUSED') return {code: 'refused', message, mayHaveBeenSent: false};
  return {code: 'broken', message, mayHaveBeenSent};
}

async function fetchBuffered(
  send: HttpClient['send'],
  request: ClientRequest,
): Promise<Result<BufferedResponse, ConnectionError>> {
  const {
    method,
    address,
    path,
    timeoutMs = DEFAULT_TIMEOUT_MS,
    transferLimits = {stallMs: timeoutMs, minBytesPerSecond: DEFAULT_MIN_BYTES_PER_SECOND},
  } = request;
  const response = await send(request);
  if (response.isErr()) return err(response.error);
  const {status, headers, stream} = response.value;
  const {socket} = stream;
  const startedAtMs = performance.now();
  const bytesBefore = socket.bytesRead;
  const body = await readWholeBody(stream, transferLimits);
  if (body.isOk()) return ok({status, headers, body: body.value});
  const tookMs = Math.round(performance.now() - startedAtMs);
  const received = `${socket.bytesRead - bytesBefore} bytes in ${tookMs} ms`;
  const message = `${method} ${address}${path}: response body ${body.error} (${received})`;
  const code = body.error === 'stalled' ? 'timed_out' : 'broken';
  return err({code, message, mayHaveBeenSent: true});
}

/** Splits `host:port` at the last colon. */
export function splitAddress(address: string): readonly [host: string, port: number] {
  const colon = address.lastIndexOf(':');
  return [address.slice(0, colon), Number(address.slice(colon + 1))];
}
