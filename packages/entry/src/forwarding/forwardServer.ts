/** Accepts clients' requests for forwarding, and stops without cutting any of them. */
import {createServer, type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {type Clock, type EventLoop, type Logger, sleep} from '@marigoldfold/runtime';
import type {ClientLimits} from '@marigoldfold/state';
import {AcceptDelayEstimator} from './acceptDelayEstimator.js';
import {ClientResponseWriter} from './clientResponseWriter.js';

/** What the server needs. */
export interface ForwardServerOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly eventLoop: EventLoop;
  readonly host: string;
  readonly port: number;
  readonly serve: (
    request: IncomingMessage,
    response: ServerResponse,
    arrival: Arrival,
  ) => Promise<void>;
}

/** How a request came. */
export interface Arrival {
  /** Longest time that its connection can have waited to be accepted; 0 on one that was open already. */
  readonly unacceptedMs: number;
  /** Longest time that its bytes can have waited behind the work of the event loop, in milliseconds. */
  readonly unreadMs: number;
}

/** Times of a planned stop, in milliseconds. */
export interface StopTimeouts {
  /** New connections may still come for so long after the stop began. */
  readonly acceptMs: number;
  /** What is in flight after so long is broken off. */
  readonly limitMs: number;
}

/** Limits in force before the first configuration. */
const INITIAL_IDLE_TIMEOUT_MS = 15_000;
/** Time that an idle connection is kept beyond what clients are told, so that no request crosses the close. */
const TIMEOUT_SLACK_MS = 1000;
/** Header bytes that Node refuses; the configured limit is below. */
const MAX_HEADER_BYTES = 65_536;
const CONNECTION_CHECK_INTERVAL_MS = 1000;
const STOP_POLL_INTERVAL_MS = 50;
const UNAVAILABLE = 503;
/** When a refused client is to come back to another instance, in milliseconds. */
const STOPPING_RETRY_AFTER_MS = 50;
/** Time for requests that cross the close of idle connections to be answered, in milliseconds. */
const LATE_REQUEST_GRACE_MS = 300;

/** A server for clients. */
export class ForwardServer {
  readonly #options: ForwardServerOptions;
  readonly #server: Server;
  readonly #activeResponses = new Set<ServerResponse>();
  /** Waits of connections on which no request has come yet. */
  readonly #unacceptedMs = new WeakMap<Socket, number>();
  #isStopping = false;
  #isRefusing = false;

  constructor(options: ForwardServerOptions) {
    this.#options = options;
    this.#server = createServer(
      {
        noDelay: true,
        maxHeaderSize: MAX_HEADER_BYTES,
        keepAliveTimeout: INITIAL_IDLE_TIMEOUT_MS + TIMEOUT_SLACK_MS,
        connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
        requestTimeout: 0,
      },
      (request, response) => void this.#serve(request, response),
    );
    const accepts = new AcceptDelayEstimator(options.clock, options.eventLoop);
    this.#server.on('connection', (socket) => {
      this.#unacceptedMs.set(socket, accepts.recordConnection());
    });
  }

  listen(): Promise<void> {
    const {host, port} = this.#options;
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      // A full queue of new connections costs their clients seconds.
      this.#server.listen({host, port, backlog: 1024}, () => {
        this.#server.off('error', reject);
        resolve();
      });
    });
  }

  /** The port that the server listens on. */
  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  /** Takes over the limits of a new configuration. */
  applyLimits({headerTimeoutMs, idleTimeoutMs}: ClientLimits): void {
    this.#server.headersTimeout = headerTimeoutMs + TIMEOUT_SLACK_MS;
    this.#server.keepAliveTimeout = idleTimeoutMs + TIMEOUT_SLACK_MS;
  }

  /** Requests whose answer has not ended. */
  get activeCount(): number {
    return this.#activeResponses.size;
  }

  /** Answers what is under way and what still comes, then closes. */
  async stop({acceptMs, limitMs}: StopTimeouts): Promise<void> {
    const {clock, logger} = this.#options;
    const startedAtMs = clock.now();
    this.#isStopping = true;
    for (const response of this.#activeResponses) this.#disableKeepAlive(response);
    await sleep(clock, acceptMs);
    this.#isRefusing = true;
    this.#server.close();
    // What is sent on an idle connection from now on might not be done before the limit.
    this.#server.closeIdleConnections();
    await sleep(clock, LATE_REQUEST_GRACE_MS);
    while (this.activeCount > 0 && clock.now() - startedAtMs < limitMs) {
      await sleep(clock, STOP_POLL_INTERVAL_MS);
      // A connection whose answer began before the stop was not told to close after it.
      this.#server.closeIdleConnections();
    }
    logger.info('server closed', {unfinished: this.activeCount, tookMs: clock.now() - startedAtMs});
    this.#server.closeAllConnections();
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const arrival = this.#describeArrival(request.socket);
    this.#activeResponses.add(response);
    response.once('close', () => this.#activeResponses.delete(response));
    if (this.#isStopping) this.#disableKeepAlive(response);
    if (this.#isRefusing) {
      // There may not be time for it, and another instance can take it at once.
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
      this.#options.logger.error('request handling broke', {reason: String(error)});
      response.destroy();
    }
  }

  #describeArrival(socket: Socket): Arrival {
    const {clock, eventLoop} = this.#options;
    const unacceptedMs = this.#unacceptedMs.get(socket) ?? 0;
    this.#unacceptedMs.delete(socket);
    return {unacceptedMs, unreadMs: clock.now() - eventLoop.earliestArrivalMs};
  }

  #disableKeepAlive(response: ServerResponse): void {
    if (!response.headersSent) response.shouldKeepAlive = false;
  }
}
