/** One send of a request to one endpoint, and what became of it. */
import type {IncomingMessage} from 'node:http';
import type {Endpoint, InFlightRequest, PlacementRequest} from '@marigoldfold/coordination';
import type {Engine, Route} from '@marigoldfold/state';
import {type EndpointAnswer, EventSplitter, type RawEvent} from '@marigoldfold/transport';
import {forEachChunk, bufferResponse} from './responseReader.js';
import type {ClientResponseWriter} from './clientResponseWriter.js';
import type {ResponseMetadata} from './metadataCodec.js';
import type {ForwardOptions} from './forwardOptions.js';

/** What one send needs. */
export interface AttemptRequest {
  readonly endpoint: Endpoint;
  readonly engine: Engine | undefined;
  readonly route: Route;
  readonly demand: PlacementRequest;
  readonly method: string;
  readonly target: string;
  /** Headers as the endpoint gets them. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  readonly isRetryable: boolean;
  readonly response: ClientResponseWriter;
  /** The last event that the client has of an earlier send. */
  readonly lastEventId: string | undefined;
  /** Aborted when the client has gone or the time is over, and at the end of the attempt. */
  readonly controller: AbortController;
}

/** A failure that the endpoint answered with; it has not been passed on yet. */
export interface FailureResponse {
  readonly response: IncomingMessage;
  readonly body: Buffer;
}

/** What became of a send. */
export type AttemptOutcome =
  | {readonly kind: 'delivered'; readonly status: number; readonly flight: InFlightRequest}
  | {readonly kind: 'notSent'; readonly reason: string}
  | {readonly kind: 'notExecuted'; readonly status: number; readonly isMisdirected: boolean}
  | {readonly kind: 'failed'; readonly failure: FailureResponse}
  /** Sent, and no whole answer; nothing or part of a stream was passed on. */
  | {readonly kind: 'broken'; readonly reason: string; readonly lastEventId: string | undefined};

/** Reason of an abort; without one, each abort would make an error with a stack trace. */
export const ABORT_REASON = 'the answer is not wanted any more';
/** Time to open a connection within a region, in milliseconds: a lost packet is sent again after 200 or more. */
const CONNECT_TIMEOUT_MS = 400;
/** Pause in a resumable stream after which another endpoint is tried, in pause objectives. */
const STALL_PAUSE_TARGETS = 8;
/** Shortest such pause, in milliseconds. */
const MIN_STALL_MS = 1200;
const MISDIRECTED = 421;
const FIRST_SERVER_ERROR = 500;
/** Statuses that promise a client that its request has not run. */
const notExecutedStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const SUCCESS_STATUS_CLASS = 2;

/** Sends a request to an endpoint and passes its answer on. */
export async function runAttempt(
  options: ForwardOptions,
  request: AttemptRequest,
): Promise<AttemptOutcome> {
  const {placement, client} = options;
  const {endpoint, demand, engine, controller} = request;
  const flight = placement.startRequest(endpoint, demand, engine);
  try {
    const sent = await client.send({
      address: endpoint.record.address,
      method: request.method,
      target: request.target,
      headers: request.headers,
      body: request.body.length > 0 ? request.body : undefined,
      signal: controller.signal,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      allowsKept: request.isRetryable,
    });
    switch (sent.kind) {
      case 'notSent':
        return sent;
      case 'unknown':
        return {kind: 'broken', reason: sent.reason, lastEventId: undefined};
      case 'answered':
        return await new ResponseRelay(options, request, flight).relay(sent.answer);
    }
  } finally {
    controller.abort(ABORT_REASON);
    placement.endRequest(endpoint, flight);
  }
}

/** Judges an answer and passes it on. */
class ResponseRelay {
  readonly #options: ForwardOptions;
  readonly #request: AttemptRequest;
  readonly #flight: InFlightRequest;
  #lastEventId: string | undefined;

  constructor(options: ForwardOptions, request: AttemptRequest, flight: InFlightRequest) {
    this.#options = options;
    this.#request = request;
    this.#flight = flight;
    this.#lastEventId = request.lastEventId;
  }

  async relay(answer: EndpointAnswer): Promise<AttemptOutcome> {
    const {message} = answer;
    const status = message.statusCode ?? 0;
    const facts = this.#options.codec.decodeResponse(status, message.headers);
    const {endpoint, route, demand} = this.#request;
    if (facts.load !== undefined) this.#options.placement.recordLoad(endpoint, facts.load);
    if (facts.isNotExecuted) {
      message.resume();
      return {kind: 'notExecuted', status, isMisdirected: status === MISDIRECTED};
    }
    const fault = findResponseFault(status, facts, demand.id);
    if (fault !== undefined) return this.#brokenOutcome(fault);
    const isSuccess = Math.floor(status / 100) === SUCCESS_STATUS_CLASS;
    if (isSuccess && route.kind === 'stream') return this.#relayStream(answer);
    return this.#relayBuffered(answer, status);
  }

  #brokenOutcome(reason: string): AttemptOutcome {
    return {kind: 'broken', reason, lastEventId: this.#lastEventId};
  }

  async #relayBuffered(answer: EndpointAnswer, status: number): Promise<AttemptOutcome> {
    const read = await bufferResponse(answer);
    switch (read.kind) {
      case 'broken':
        return this.#brokenOutcome('the answer was cut off');
      case 'whole':
        if (status >= FIRST_SERVER_ERROR || this.#request.response.hasStarted) {
          return {kind: 'failed', failure: {response: answer.message, body: read.body}};
        }
        this.#request.response.sendBuffered(answer.message, read.body);
        return {kind: 'delivered', status, flight: this.#flight};
      case 'large':
        // A failure may have no end, and another endpoint may do better.
        if (status >= FIRST_SERVER_ERROR && this.#request.isRetryable) {
          return this.#brokenOutcome('a failure that is too large');
        }
        return this.#relayChunks(answer, read.body);
    }
  }

  /** Passes on an answer that is not repeated once its first part is with the client. */
  async #relayChunks(answer: EndpointAnswer, first: Buffer | undefined): Promise<AttemptOutcome> {
    const {response: client, controller} = this.#request;
    if (first !== undefined) {
      client.sendHead(answer.message);
      await client.write(first, controller.signal);
    }
    const isWhole = await forEachChunk(answer, async (part) => {
      this.#options.eventLoop.enter();
      this.#options.placement.recordEvent(this.#request.endpoint, this.#flight);
      client.sendHead(answer.message);
      await client.write(part, controller.signal);
      return 'next';
    });
    if (!isWhole) return this.#brokenOutcome('the answer was cut off');
    client.sendHead(answer.message);
    client.end();
    return {kind: 'delivered', status: answer.message.statusCode ?? 0, flight: this.#flight};
  }

  async #relayStream(answer: EndpointAnswer): Promise<AttemptOutcome> {
    if (!this.#request.route.isResumable) return this.#relayChunks(answer, undefined);
    const {response: client} = this.#request;
    const splitter = new EventSplitter();
    const stall = this.#startStallTimer();
    const isWhole = await forEachChunk(answer, async (part) => {
      this.#options.eventLoop.enter();
      const events = splitter.push(part);
      if (events === undefined) return 'stop';
      // Bytes that make no event are as good as silence.
      if (events.length > 0) stall.restart();
      for (const event of events) await this.#relayEvent(answer.message, event);
      return 'next';
    });
    stall.stop();
    if (!isWhole || splitter.hasRest) return this.#brokenOutcome('the stream was cut off');
    client.sendHead(answer.message);
    client.end();
    return {kind: 'delivered', status: answer.message.statusCode ?? 0, flight: this.#flight};
  }

  async #relayEvent(answer: IncomingMessage, {bytes, id}: RawEvent): Promise<void> {
    if (id !== undefined && this.#lastEventId !== undefined && isAtOrBefore(id, this.#lastEventId))
      return;
    const {response: client, controller} = this.#request;
    this.#options.placement.recordEvent(this.#request.endpoint, this.#flight);
    client.sendHead(answer);
    await client.write(bytes, controller.signal);
    if (id !== undefined) this.#lastEventId = id;
  }

  /** Breaks a stream off that is silent for too long, so that another endpoint can go on with it. */
  #startStallTimer(): {readonly restart: () => void; readonly stop: () => void} {
    const {pauseTargetMs = 0} = this.#request.route;
    const limitMs = Math.max(MIN_STALL_MS, pauseTargetMs * STALL_PAUSE_TARGETS);
    const schedule = () =>
      this.#options.clock.schedule(limitMs, () => {
        this.#request.controller.abort(ABORT_REASON);
      });
    let timer = schedule();
    return {
      restart: () => {
        timer[Symbol.dispose]();
        timer = schedule();
      },
      stop: () => {
        timer[Symbol.dispose]();
      },
    };
  }
}

/** Why an answer cannot be that of the request. */
function findResponseFault(
  status: number,
  facts: ResponseMetadata,
  id: string,
): string | undefined {
  if (facts.requestId !== undefined && facts.requestId !== id) return 'answer to another request';
  if (Math.floor(status / 100) === SUCCESS_STATUS_CLASS && !facts.isSigned)
    return 'answer not signed';
  // Passing it on would promise that the request has not run, which the endpoint did not say.
  if (notExecutedStatuses.has(status))
    return `status ${status} without word that it was not executed`;
  return undefined;
}

/** Whether an event's id is not beyond another; ids increase. */
function isAtOrBefore(id: string, last: string): boolean {
  const [number, lastNumber] = [Number(id), Number(last)];
  if (Number.isNaN(number) || Number.isNaN(lastNumber)) return id === last;
  return number <= lastNumber;
}
