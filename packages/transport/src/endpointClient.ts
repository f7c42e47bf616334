/** Sends requests to endpoints, and tells how far each send got. */
import {Agent, type ClientRequest, request as httpRequest, type IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';
import {splitAddress} from './httpClient.js';
import {limitInterimAnswers} from './interimAnswers.js';

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
  readonly allowsKept: boolean;
}

/** What became of a send. */
export type SendOutcome =
  /** No byte of the request left this process. */
  | {readonly kind: 'notSent'; readonly reason: string}
  /** The request may have been read, and no answer came. */
  | {readonly kind: 'unknown'; readonly reason: string}
  | {readonly kind: 'answered'; readonly answer: EndpointAnswer};

/** An answer whose head has arrived. */
export interface EndpointAnswer {
  readonly message: IncomingMessage;
  /** Whether the body has arrived to its end; an answer without a length may also end by a reset. */
  readonly isWhole: () => boolean;
}

/** A client with kept connections to many endpoints. */
export interface EndpointClient extends Disposable {
  send(request: EndpointRequest): Promise<SendOutcome>;
  /** Connections that were opened so far. */
  readonly openedCount: () => number;
}

/** Idle time after which a connection is closed when the endpoint names none, in milliseconds. */
const DEFAULT_IDLE_MS = 4000;
/** Part of the endpoint's own idle time that is used, so that its close does not cross a request. */
const USED_IDLE_SHARE = 0.6;
const MS_PER_SECOND = 1000;
const KEPT_CONNECTIONS_PER_ENDPOINT = 32;

/** Keeps idle connections, and drops those on which bytes arrive that nobody asked for. */
class KeptConnections extends Agent {
  readonly #guards = new WeakMap<Socket, () => void>();
  openedCount = 0;

  override createConnection(...parameters: Parameters<Agent['createConnection']>) {
    this.openedCount += 1;
    return super.createConnection(...parameters);
  }

  override keepSocketAlive(socket: Socket): boolean {
    const guard = () => socket.destroy();
    this.#guards.set(socket, guard);
    socket.on('data', guard);
    socket.setTimeout(idleLimitMs(socket));
    socket.unref();
    return true;
  }

  override reuseSocket(socket: Socket, request: ClientRequest): void {
    const guard = this.#guards.get(socket);
    if (guard !== undefined) socket.off('data', guard);
    socket.setTimeout(0);
    super.reuseSocket(socket, request);
  }
}

/** The time that the last answer allows, in milliseconds. */
function idleLimitMs(socket: Socket): number {
  const {_httpMessage: message} = socket as Socket & {
    readonly _httpMessage?: {readonly res?: IncomingMessage};
  };
  const header = message?.res?.headers['keep-alive'];
  const seconds = /\btimeout=(\d+)/.exec(String(header ?? ''))?.[1];
  if (seconds === undefined) return DEFAULT_IDLE_MS;
  return Math.max(1, Number(seconds) * MS_PER_SECOND * USED_IDLE_SHARE);
}

/** Creates a client. */
export function createEndpointClient(): EndpointClient {
  const kept = new KeptConnections({
    keepAlive: true,
    maxFreeSockets: KEPT_CONNECTIONS_PER_ENDPOINT,
    noDelay: true,
    scheduling: 'lifo',
  });
  const fresh = new KeptConnections({keepAlive: false, noDelay: true});
  return {
    send: (request) => send(request.allowsKept ? kept : fresh, request),
    openedCount: () => kept.openedCount + fresh.openedCount,
    [Symbol.dispose]() {
      kept.destroy();
      fresh.destroy();
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
    limitInterimAnswers(outgoing);
    const abort = () => outgoing.destroy(new Error('given up'));
    signal.addEventListener('abort', abort, {once: true});
    const connectTimer = setTimeout(() => {
      outgoing.destroy(new Error(`no connection within ${request.connectTimeoutMs} ms`));
    }, request.connectTimeoutMs);
    const connected = () => {
      isConnected = true;
      clearTimeout(connectTimer);
    };
    outgoing.on('socket', (socket) => {
      if (socket.connecting) socket.once('connect', connected);
      else connected();
    });
    let message: IncomingMessage | undefined;
    let isBroken = false;
    outgoing.on('response', (response) => {
      message = response;
      // A reader of the answer asks `isWhole` at its end.
      response.on('error', () => undefined);
      // A reset that is polled together with the last bytes is reported as an end; the peer is gone then.
      const {socket} = response;
      const checkEnd = () => {
        if (socket.remoteAddress === undefined && !response.complete) isBroken = true;
      };
      socket.prependListener('end', checkEnd);
      response.once('close', () => {
        socket.off('end', checkEnd);
      });
      const isWhole = () => response.complete && !isBroken;
      resolve({kind: 'answered', answer: {message: response, isWhole}});
    });
    const fail = (reason: string) => {
      resolve({kind: isConnected ? 'unknown' : 'notSent', reason});
    };
    outgoing.on('error', (error) => {
      // Node ends an answer without a length as complete also when its connection is reset.
      if (message?.complete === false) isBroken = true;
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
