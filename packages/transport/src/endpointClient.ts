/** Sends requests to endpoints, and tells how far each send got. */
import {Agent, type ClientRequest, request as httpRequest, type IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';
import {splitAddress} from './httpClient.js';
import {limitInterimResponses} from './interimResponses.js';

/** A request as it goes to an endpoint. */
export interface EndpointRequest {
  /** `host:port`. */
  readonly address: string;
  readonly method: string;
  /** Path and query. */
  readonly target: string;
  /** Names and values by turns; `content-length` is among them when there is a body. */
  readonly headers: readonly string[];
  readonly body: Buffer | undefined;
  /** Aborting it breaks the connection, also while the answer is read. */
  readonly signal: AbortSignal;
  readonly connectTimeoutMs: number;
  /**
   * Whether a kept connection may carry the request. The endpoint may have closed it just now, and then
   * nobody knows whether the request was read.
   */
  readonly allowsConnectionReuse: boolean;
}

/** What became of a send. */
export type SendOutcome =
  /** No byte of the request left this process. */
  | {readonly kind: 'notSent'; readonly reason: string}
  /** The request may have been read, and no answer came. */
  | {readonly kind: 'unknown'; readonly reason: string}
  | {readonly kind: 'answered'; readonly response: EndpointResponse};

/** An answer whose head has arrived. */
export interface EndpointResponse {
  readonly message: IncomingMessage;
  /** Whether the body has arrived to its end; an answer without a length may also end by a reset. */
  readonly isComplete: () => boolean;
}

/** A client with kept connections to many endpoints. */
export interface EndpointClient extends Disposable {
  send(request: EndpointRequest): Promise<SendOutcome>;
  /** Connections that were opened so far. */
  readonly openedConnectionCount: () => number;
}

/** Idle time after which a connection is closed when the endpoint names none, in milliseconds. */
const DEFAULT_IDLE_TIMEOUT_MS = 4000;
/** Part of the endpoint's own idle time that is used, so that its close does not cross a request. */
const IDLE_TIMEOUT_FRACTION = 0.6;
const MS_PER_SECOND = 1000;
const MAX_IDLE_CONNECTIONS_PER_ENDPOINT = 32;

/** Keeps idle connections, and drops those on which bytes arrive that nobody asked for. */
class ConnectionPool extends Agent {
  readonly #unexpectedDataHandlers = new WeakMap<Socket, () => void>();
  openedConnectionCount = 0;

  override createConnection(...parameters: Parameters<Agent['createConnection']>) {
    this.openedConnectionCount += 1;
    return super.createConnection(...parameters);
  }

  override keepSocketAlive(socket: Socket): boolean {
    const onUnexpectedData = () => socket.destroy();
    this.#unexpectedDataHandlers.set(socket, onUnexpectedData);
    socket.on('data', onUnexpectedData);
    socket.setTimeout(idleTimeoutOf(socket));
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

/** The time that the last answer allows, in milliseconds. */
function idleTimeoutOf(socket: Socket): number {
  const {_httpMessage: message} = socket as Socket & {
    readonly _httpMessage?: {readonly res?: IncomingMessage};
  };
  const header = message?.res?.headers['keep-alive'];
  const seconds = /\btimeout=(\d+)/.exec(String(header ?? ''))?.[1];
  if (seconds === undefined) return DEFAULT_IDLE_TIMEOUT_MS;
  return Math.max(1, Number(seconds) * MS_PER_SECOND * IDLE_TIMEOUT_FRACTION);
}

/** Creates a client. */
export function createEndpointClient(): EndpointClient {
  const keepAlivePool = new ConnectionPool({
    keepAlive: true,
    maxFreeSockets: MAX_IDLE_CONNECTIONS_PER_ENDPOINT,
    noDelay: true,
    scheduling: 'lifo',
  });
  const singleUsePool = new ConnectionPool({keepAlive: false, noDelay: true});
  return {
    send: (request) => send(request.allowsConnectionReuse ? keepAlivePool : singleUsePool, request),
    openedConnectionCount: () =>
      keepAlivePool.openedConnectionCount + singleUsePool.openedConnectionCount,
    [Symbol.dispose]() {
      keepAlivePool.destroy();
      singleUsePool.destroy();
    },
  };
}

function send(agent: Agent, request: EndpointRequest): Promise<SendOutcome> {
  const {signal} = request;
  if (signal.aborted) return Promise.resolve({kind: 'notSent', reason: 'given up before the send'});
  const [host, port] = splitAddress(request.address);
  return new Promise((resolve) => {
    let isConnected = false;
    const outgoing = httpRequest({
      agent,
      host,
      port,
      method: request.method,
      path: request.target,
      headers: request.headers as string[],
    });
    limitInterimResponses(outgoing);
    const abort = () => outgoing.destroy(new Error('given up'));
    signal.addEventListener('abort', abort, {once: true});
    const connectTimer = setTimeout(() => {
      outgoing.destroy(new Error(`no connection within ${request.connectTimeoutMs} ms`));
    }, request.connectTimeoutMs);
    const onConnected = () => {
      isConnected = true;
      clearTimeout(connectTimer);
    };
    outgoing.on('socket', (socket) => {
      if (socket.connecting) socket.once('connect', onConnected);
      else onConnected();
    });
    let message: IncomingMessage | undefined;
    let isTruncated = false;
    outgoing.on('response', (response) => {
      message = response;
      // A reader of the answer asks `isWhole` at its end.
      response.on('error', () => undefined);
      // A reset that is polled together with the last bytes is reported as an end; the peer is gone then.
      const {socket} = response;
      const detectReset = () => {
        if (socket.remoteAddress === undefined && !response.complete) isTruncated = true;
      };
      socket.prependListener('end', detectReset);
      response.once('close', () => {
        socket.off('end', detectReset);
      });
      const isComplete = () => response.complete && !isTruncated;
      resolve({kind: 'answered', response: {message: response, isComplete}});
    });
    const fail = (reason: string) => {
      resolve({kind: isConnected ? 'unknown' : 'notSent', reason});
    };
    outgoing.on('error', (error) => {
      // Node ends an answer without a length as complete also when its connection is reset.
      if (message?.complete === false) isTruncated = true;
      fail(error.message);
    });
    outgoing.on('close', () => {
      clearTimeout(connectTimer);
      signal.removeEventListener('abort', abort);
      fail('closed without an answer');
    });
    outgoing.end(request.body);
  });
}
