/** HTTP requests to other processes and to the platform, with Node's own client. */
import {
  Agent,
  type ClientRequest as ClientHttpRequest,
  request as httpRequest,
  type IncomingMessage,
} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import {limitInterimResponses} from './interimResponses.js';
import {readWholeBody} from './wholeBody.js';

/** Why no answer came. */
export interface ConnectionError {
  readonly code: 'refused' | 'timed_out' | 'broken' | 'aborted';
  readonly message: string;
  /** Whether any byte of the request may have reached the other side. */
  readonly mayHaveBeenSent: boolean;
}

/** A request to send. */
export interface ClientRequest {
  /** `host:port`. */
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | Buffer;
  readonly signal?: AbortSignal;
  /** Milliseconds until the answer's head must be there, or all of it when it is fetched. */
  readonly timeoutMs?: number;
}

/** The answer's head; its body is read from `stream`. */
export interface ClientResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly stream: IncomingMessage;
}

/** The answer with its whole body. */
export interface BufferedResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
}

/** A client with a pool of kept connections. */
export interface HttpClient extends Disposable {
  /** Resolves when the answer's head has arrived. */
  send(request: ClientRequest): Promise<Result<ClientResponse, ConnectionError>>;
  /** Resolves when the whole answer has arrived. */
  fetch(request: ClientRequest): Promise<Result<BufferedResponse, ConnectionError>>;
}

const IDLE_SOCKETS_PER_HOST = 64;
const DEFAULT_TIMEOUT_MS = 30_000;

/** Creates a client. */
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

function sendOnce(
  agent: Agent,
  request: ClientRequest,
): Promise<Result<ClientResponse, ConnectionError>> {
  const [host, port] = splitAddress(request.address);
  return new Promise((resolve) => {
    let isConnected = false;
    let isTimedOut = false;
    let isAborted = false;
    const fail = (error: NodeJS.ErrnoException) => {
      clearTimeout(timer);
      resolve(err(describeError(error, request, {isConnected, isTimedOut, isAborted})));
    };
    const outgoing = httpRequest(
      {
        agent,
        host,
        port,
        method: request.method,
        path: request.path,
        headers: request.headers,
      },
      (answer) => {
        clearTimeout(timer);
        // Errors after the head are seen by the reader of the stream as an early close.
        answer.on('error', () => undefined);
        resolve(
          ok({
            status: answer.statusCode ?? 0,
            headers: answer.headers as Record<string, string>,
            stream: answer,
          }),
        );
      },
    );
    limitInterimResponses(outgoing);
    const timer = setTimeout(() => {
      isTimedOut = true;
      outgoing.destroy(new Error('timed out'));
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

/** Calls back on abort until the request has ended: Node's own option would also strike a connection that is free again. */
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
  const {method, address, path, timeoutMs = DEFAULT_TIMEOUT_MS} = request;
  const startedAtMs = performance.now();
  const answer = await send(request);
  if (answer.isErr()) return err(answer.error);
  const {status, headers, stream} = answer.value;
  let problem: Pick<ConnectionError, 'code' | 'message'> = {
    code: 'broken',
    message: 'was cut off or is too large',
  };
  const remainingMs = startedAtMs + timeoutMs - performance.now();
  const timer = setTimeout(() => {
    problem = {code: 'timed_out', message: 'did not come in time'};
    stream.destroy();
  }, remainingMs);
  const body = await readWholeBody(stream);
  clearTimeout(timer);
  if (body !== undefined) return ok({status, headers, body});
  const message = `${method} ${address}${path}: the answer's body ${problem.message}`;
  return err({code: problem.code, message, mayHaveBeenSent: true});
}

/** Splits `host:port`. */
export function splitAddress(address: string): readonly [host: string, port: number] {
  const colon = address.lastIndexOf(':');
  return [address.slice(0, colon), Number(address.slice(colon + 1))];
}
