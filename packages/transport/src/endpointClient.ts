/** Sends requests to endpoints and reports whether a failed request may have been read. */
import {Agent, type ClientRequest, request as httpRequest, type IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';
import type {Readable} from 'node:stream';
import {Result} from 'neverthrow';
import {splitAddress} from './httpClient.js';
import {limitInterimResponses} from './interimResponses.js';
import {onResponseReset} from './responseEnd.js';
import {joinHead, keepAllLines} from './headMemory.js';
import {type ResponseHead, responseFieldNames, takeResponseHead} from './responseHead.js';
import {collectResponseHead, MAX_RESPONSE_HEAD_BYTES} from './responseHeadGate.js';

/** A request to one endpoint. */
export interface EndpointRequest {
  /** `host:port`. */
  readonly address: string;
  readonly method: string;
  /** Path and query. */
  readonly target: string;
  /**
   * Alternating names and values, including `content-length` when there is a body. Called once, as an array of lines
   * occupies many times their bytes while the request is in progress.
   */
  readonly headers: () => string[];
  readonly body: Buffer | undefined;
  /** Aborting it destroys the connection, also while the response is read. */
  readonly signal: AbortSignal;
  readonly connectTimeoutMs: number;
  /**
   * Whether the request may use an idle keep-alive connection. If the endpoint closes that connection at
   * the same moment, it is unknown whether the request was read.
   */
  readonly allowsConnectionReuse: boolean;
  /** Called once the connection is open; when it returns false, nothing is sent. */
  readonly mayStillSend?: () => boolean;
}

/** Result of a send; callers use it to decide whether the request may be sent again. */
export type SendOutcome =
  /** No byte of the request left this process. */
  | {readonly kind: 'notSent'; readonly reason: string}
  /** No byte was sent either, for a reason that does not concern the endpoint. */
  | {readonly kind: 'withdrawn'; readonly reason: string}
  /** The request may have been read, but no response arrived, or none that can be passed on. */
  | {readonly kind: 'unknown'; readonly reason: string}
  | {readonly kind: 'answered'; readonly response: EndpointResponse};

/** A response whose head has arrived and is valid. */
export interface EndpointResponse {
  readonly head: ResponseHead;
  readonly body: Readable;
  /**
   * Whether the whole body has arrived; call it after the body has ended. A connection reset also ends a
   * body without a length.
   */
  readonly isComplete: () => boolean;
}

/** An HTTP client with a pool of keep-alive connections per endpoint. */
export interface EndpointClient extends Disposable {
  send(request: EndpointRequest): Promise<SendOutcome>;
  /** Number of connections opened since the client was created. */
  readonly openedConnectionCount: () => number;
}

/** Idle timeout of a connection if the response has no `keep-alive: timeout`. */
const DEFAULT_IDLE_TIMEOUT_MS = 4000;
/** Longest idle timeout; a connection is closed by then, whatever the endpoint states. */
const MAX_IDLE_TIMEOUT_MS = 600_000;
/** Fraction of the endpoint's idle timeout; avoids reusing a connection that the endpoint is about to close. */
const IDLE_TIMEOUT_FRACTION = 0.6;
const MS_PER_SECOND = 1000;
const MAX_IDLE_CONNECTIONS_PER_ENDPOINT = 32;

/** An HTTP agent that closes an idle connection if the endpoint sends data on it. */
class ConnectionPool extends Agent {
  readonly #unexpectedDataHandlers = new WeakMap<Socket, () => void>();
  openedConnectionCount = 0;

  override createConnection(...parameters: Parameters<Agent['createConnection']>) {
    this.openedConnectionCount += 1;
    // Node.js keeps the options of the request that opens a connection until it is closed.
    const [options] = parameters as [{headers?: unknown}];
    delete options.headers;
    return super.createConnection(...parameters);
  }

  override keepSocketAlive(socket: Socket): boolean {
    const onUnexpectedData = () => socket.destroy();
    this.#unexpectedDataHandlers.set(socket, onUnexpectedData);
    socket.on('data', onUnexpectedData);
    socket.setTimeout(readIdleTimeoutMs(socket));
    socket.unref();
    return true;
  }

  override reuseSocket(socket: Socket, request: ClientRequest): void {
    const onUnexpectedData = this.#unexpectedDataHandlers.get(socket);
    if (onUnexpectedData !== undefined) socket.off('data', onUnexpectedData);
    socket.setTimeout(0);
    super.reuseSocket(socket, request);
  }
}

/**
 * Idle timeout in milliseconds, from 1 to `MAX_IDLE_TIMEOUT_MS`, by the `keep-alive` header of the last response on the
 * socket.
 */
function readIdleTimeoutMs(socket: Socket): number {
  const {_httpMessage: message} = socket as Socket & {
    readonly _httpMessage?: {readonly res?: IncomingMessage};
  };
  const header = message?.res?.headers['keep-alive'];
  const seconds = /\btimeout=(\d+)/.exec(String(header ?? ''))?.[1];
  if (seconds === undefined) return DEFAULT_IDLE_TIMEOUT_MS;
  const idleMs = Number(seconds) * MS_PER_SECOND * IDLE_TIMEOUT_FRACTION;
  return Math.min(MAX_IDLE_TIMEOUT_MS, Math.max(1, idleMs));
}

/** Creates a client; disposing of it closes all its connections. The fields are those that heads of responses show. */
export function createEndpointClient(fields: Iterable<string> = []): EndpointClient {
  const fieldNames = responseFieldNames(fields);
  const keepAlivePool = new ConnectionPool({
    keepAlive: true,
    maxFreeSockets: MAX_IDLE_CONNECTIONS_PER_ENDPOINT,
    noDelay: true,
    scheduling: 'lifo',
  });
  const singleUsePool = new ConnectionPool({keepAlive: false, noDelay: true});
  return {
    send: (request) => {
      const agent = request.allowsConnectionReuse ? keepAlivePool : singleUsePool;
      return send(agent, request, fieldNames);
    },
    openedConnectionCount: () =>
      keepAlivePool.openedConnectionCount + singleUsePool.openedConnectionCount,
    [Symbol.dispose]() {
      keepAlivePool.destroy();
      singleUsePool.destroy();
    },
  };
}

/** Node.js throws if an address, target or header cannot be sent. */
const createRequest = Result.fromThrowable(
  (agent: Agent, {address, method, target, headers}: EndpointRequest) => {
    const [host, port] = splitAddress(address);
    const outgoing = httpRequest({
      agent,
      host,
      port,
      method,
      path: target,
      headers: headers(),
      maxHeaderSize: MAX_RESPONSE_HEAD_BYTES,
    });
    keepAllLines(outgoing);
    joinHead(outgoing);
    return outgoing;
  },
  (error) => error as Error,
);

function send(
  agent: Agent,
  request: EndpointRequest,
  fieldNames: ReadonlySet<string>,
): Promise<SendOutcome> {
  const {signal} = request;
  if (signal.aborted)
    return Promise.resolve({kind: 'notSent', reason: 'aborted before the request was sent'});
  const created = createRequest(agent, request);
  if (created.isErr()) return Promise.resolve({kind: 'withdrawn', reason: created.error.message});
  const outgoing = created.value;
  return new Promise((resolve) => {
    let isConnected = false;
    limitInterimResponses(outgoing);
    collectResponseHead(outgoing);
    const abort = () => outgoing.destroy(new Error('request aborted'));
    signal.addEventListener('abort', abort, {once: true});
    const connectTimer = setTimeout(() => {
      outgoing.destroy(new Error(`connection timed out after ${request.connectTimeoutMs} ms`));
    }, request.connectTimeoutMs);
    const onConnected = () => {
      clearTimeout(connectTimer);
      // A paused process may find its connection open long after it chose to send.
      if (request.mayStillSend?.() === false) {
        resolve({kind: 'withdrawn', reason: 'no longer allowed once the connection was open'});
        outgoing.destroy();
        return;
      }
      isConnected = true;
      outgoing.end(request.body);
    };
    outgoing.on('socket', (socket) => {
      if (socket.connecting) socket.once('connect', onConnected);
      else onConnected();
    });
    let isReset = false;
    onResponseReset(outgoing, () => {
      isReset = true;
    });
    outgoing.on('response', (response) => {
      // Readers check `isComplete` at the end of the body.
      response.on('error', () => undefined);
      const head = takeResponseHead(response, fieldNames);
      if (head.isErr()) {
        fail(`invalid response: ${head.error}`);
        outgoing.destroy();
        return;
      }
      const isComplete = () => response.complete && !isReset;
      resolve({kind: 'answered', response: {head: head.value, body: response, isComplete}});
    });
    const fail = (reason: string) => {
      resolve({kind: isConnected ? 'unknown' : 'notSent', reason});
    };
    outgoing.on('error', (error) => {
      fail(error.message);
    });
    outgoing.on('close', () => {
      clearTimeout(connectTimer);
      signal.removeEventListener('abort', abort);
      fail('connection closed before a response');
    });
  });
}
