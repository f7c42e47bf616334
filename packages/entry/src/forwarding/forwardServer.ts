/** HTTP server for clients with graceful shutdown. */
import {createServer, type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import {type Clock, type EventLoopMonitor, type Logger, sleep} from '@marigoldfold/runtime';
import type {ClientLimits} from '@marigoldfold/state';
import {
  type ClosedConnection,
  compactRequestClass,
  ConnectionGuard,
  type ConnectionGuardOptions,
  keepAllLines,
  listenPersistently,
  sendBareClientError,
} from '@marigoldfold/transport';
import {AcceptDelayEstimator} from './acceptDelayEstimator.js';
import {ClientResponseWriter} from './clientResponseWriter.js';

/** Dependencies, address and request handler of the server. */
export interface ForwardServerOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly eventLoop: EventLoopMonitor;
  readonly host: string;
  readonly port: number;
  /** Names in lower case of the headers that `serve` reads. */
  readonly requestHeaders: readonly string[];
  readonly serve: (
    request: IncomingMessage,
    response: ServerResponse,
    arrival: ArrivedRequest,
  ) => Promise<void>;
  /** Budget for what clients make the process hold; without one, nothing is counted. */
  readonly budget?: ConnectionGuardOptions['budget'];
  /** Maximum number of client connections; unlimited by default. */
  readonly maxConnections?: number;
  /** Called when a connection is closed, or is to be closed, for what its client does. */
  readonly onConnectionClosed?: (connection: ClosedConnection) => void;
  /** Ends the requests in flight with an answer, at the end of a graceful shutdown. */
  readonly endRequests: () => void;
}

/** Delays of a request before it was read. */
export interface ArrivedRequest {
  /** Longest time that its connection may have waited to be accepted, in milliseconds; 0 if it was already open. */
  readonly unacceptedMs: number;
  /** Longest time that its bytes may have waited for the event loop, in milliseconds. */
  readonly unreadMs: number;
}

/** Timeouts of a graceful shutdown, in milliseconds from its start. */
export interface StopTimeouts {
  /** Time until which new connections are accepted. */
  readonly acceptMs: number;
  /** Time at which requests still in flight are aborted. */
  readonly limitMs: number;
}

/** Idle timeout before the first configuration. */
const INITIAL_IDLE_TIMEOUT_MS = 15_000;
/**
 * Added to the configured timeouts, so that the server does not close an idle connection just as a client sends a
 * request on it.
 */
const TIMEOUT_SLACK_MS = 1000;
/** Header size above which a request is refused, in bytes; the configured limit is lower. */
const MAX_HEADER_BYTES = 65_536;
const CONNECTION_CHECK_INTERVAL_MS = 1000;
const STOP_POLL_INTERVAL_MS = 50;
const UNAVAILABLE = 503;
/** Value of `retry-after` for a refused client, which should try another instance. */
const STOPPING_RETRY_AFTER_MS = 50;
/** Time to answer requests that clients sent while idle connections were being closed. */
const LATE_REQUEST_GRACE_MS = 300;
/** Time to send the answers of requests that the end of the shutdown has ended. */
const LAST_ANSWERS_MS = 200;

/** Serves client requests and tracks those in flight. */
export class ForwardServer {
  readonly #options: ForwardServerOptions;
  readonly #server: Server;
  readonly #activeResponses = new Set<ServerResponse>();
  /** Accept delays of connections that have not sent a request yet. */
  readonly #unacceptedMs = new WeakMap<Socket, number>();
  #isStopping = false;
  #isRefusing = false;

  constructor(options: ForwardServerOptions) {
    this.#options = options;
    this.#server = createServer({
      IncomingMessage: compactRequestClass(options.requestHeaders),
      noDelay: true,
      maxHeaderSize: MAX_HEADER_BYTES,
      keepAliveTimeout: INITIAL_IDLE_TIMEOUT_MS + TIMEOUT_SLACK_MS,
      connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
      requestTimeout: 0,
    });
    keepAllLines(this.#server);
    new ConnectionGuard(this.#server, {
      maxHeadBytes: MAX_HEADER_BYTES,
      clock: options.clock,
      budget: options.budget,
      maxConnections: options.maxConnections,
      onRequest: (request, response) => void this.#serve(request, response),
      onClientError: (error, socket) => {
        sendBareClientError(error, socket, this.#hasStartedResponse(socket));
      },
      onConnectionClosed: (connection) => {
        const {rule, bytes, owner} = connection;
        options.logger.info('connection closed', {reason: 'limit', rule, bytes, owner});
        options.onConnectionClosed?.(connection);
      },
    });
    const acceptDelays = new AcceptDelayEstimator(options.clock, options.eventLoop);
    this.#server.on('connection', (socket) => {
      this.#unacceptedMs.set(socket, acceptDelays.recordConnection());
    });
  }

  /** Resolves to whether the server listens; it waits while its address is taken, until the signal is aborted. */
  listen(signal: AbortSignal): Promise<boolean> {
    const {clock, logger, host, port} = this.#options;
    // The backlog is large, since a full accept queue delays clients by seconds.
    return listenPersistently(this.#server, {clock, logger, host, port, backlog: 1024, signal});
  }

  /** Port that the server listens on; throws when it is not listening. */
  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  /** Applies the timeouts of a new configuration. */
  applyLimits({headerTimeoutMs, idleTimeoutMs}: ClientLimits): void {
    this.#server.headersTimeout = headerTimeoutMs + TIMEOUT_SLACK_MS;
    this.#server.keepAliveTimeout = idleTimeoutMs + TIMEOUT_SLACK_MS;
  }

  /** Number of requests whose response has not ended. */
  get activeCount(): number {
    return this.#activeResponses.size;
  }

  /** Serves requests in flight and new ones until the timeouts, then closes all connections. */
  async stop({acceptMs, limitMs}: StopTimeouts): Promise<void> {
    const {clock, logger} = this.#options;
    const startedAtMs = clock.now();
    this.#isStopping = true;
    for (const response of this.#activeResponses) this.#disableKeepAlive(response);
    await sleep(clock, acceptMs);
    this.#isRefusing = true;
    this.#server.close();
    // Requests sent on idle connections from now on might not finish before the limit.
    this.#server.closeIdleConnections();
    await sleep(clock, LATE_REQUEST_GRACE_MS);
    while (this.activeCount > 0 && clock.now() - startedAtMs < limitMs) {
      await sleep(clock, STOP_POLL_INTERVAL_MS);
      // Responses that started before the stop did not ask clients to close the connection, so it becomes idle
      // afterwards.
      this.#server.closeIdleConnections();
    }
    logger.info('server closed', {unfinished: this.activeCount, tookMs: clock.now() - startedAtMs});
    if (this.activeCount > 0) {
      this.#options.endRequests();
      await sleep(clock, LAST_ANSWERS_MS);
    }
    this.#server.closeAllConnections();
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const arrival = this.#describeArrival(request.socket);
    this.#activeResponses.add(response);
    response.once('close', () => this.#activeResponses.delete(response));
    response.on('error', (error) => {
      this.#options.logger.warn('response failed', {reason: error.message});
    });
    if (this.#isStopping) this.#disableKeepAlive(response);
    if (this.#isRefusing) {
      // The request may not finish in time, and another instance can serve it immediately.
      this.#options.logger.info('refused', {reason: 'stopping', status: UNAVAILABLE});
      new ClientResponseWriter(response).sendError(
        UNAVAILABLE,
        'stopping',
        STOPPING_RETRY_AFTER_MS,
      );
      return;
    }
    try {
      await this.#options.serve(request, response, arrival);
    } catch (error) {
      this.#options.logger.error('request handler failed', {reason: String(error)});
      response.destroy();
    }
  }

  #describeArrival(socket: Socket): ArrivedRequest {
    const {clock, eventLoop} = this.#options;
    const unacceptedMs = this.#unacceptedMs.get(socket) ?? 0;
    this.#unacceptedMs.delete(socket);
    return {unacceptedMs, unreadMs: clock.now() - eventLoop.earliestArrivalMs};
  }

  #hasStartedResponse(socket: Duplex): boolean {
    for (const response of this.#activeResponses) {
      if (response.socket === socket) return response.headersSent;
    }
    return false;
  }

  #disableKeepAlive(response: ServerResponse): void {
    if (!response.headersSent) response.shouldKeepAlive = false;
  }
}
