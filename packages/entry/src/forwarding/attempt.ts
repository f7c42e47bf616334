/** One send of a request to one endpoint, and what became of it. */
import type {IncomingMessage} from 'node:http';
import type {Endpoint, InFlightRequest, PlacementRequest} from '@marigoldfold/coordination';
import type {Engine, Route} from '@marigoldfold/state';
import {type EndpointAnswer, EventSplitter, type RawEvent} from '@marigoldfold/transport';
import {readParts, readWhole} from './answerReader.js';
import type {ClientAnswer} from './clientAnswer.js';
import type {AnswerFacts} from './forwardFormat.js';
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
  readonly isRepeatable: boolean;
  readonly answer: ClientAnswer;
  /** The last event that the client has of an earlier send. */
  readonly lastEventId: string | undefined;
  /** Aborted when the client has gone or the time is over, and at the end of the attempt. */
  readonly controller: AbortController;
}

/** A failure that the endpoint answered with; it has not been passed on yet. */
export interface HeldAnswer {
  readonly answer: IncomingMessage;
  readonly body: Buffer;
}

/** What became of a send. */
export type AttemptEnd =
  | {readonly kind: 'delivered'; readonly status: number; readonly flight: InFlightRequest}
  | {readonly kind: 'notSent'; readonly reason: string}
  | {readonly kind: 'notExecuted'; readonly status: number; readonly isMisdirected: boolean}
  | {readonly kind: 'failed'; readonly held: HeldAnswer}
  /** Sent, and no whole answer; nothing or part of a stream was passed on. */
  | {readonly kind: 'broken'; readonly reason: string; readonly lastEventId: string | undefined};

/** Reason of an abort; without one, each abort would make an error with a stack trace. */
export const NOT_WANTED = 'the answer is not wanted any more';
/** Time to open a connection within a region, in milliseconds: a lost packet is sent again after 200 or more. */
const CONNECT_TIMEOUT_MS = 400;
/** Pause in a resumable stream after which another endpoint is tried, in pause objectives. */
const STALL_PAUSES = 8;
/** Shortest such pause, in milliseconds. */
const MIN_STALL_MS = 1200;
const MISDIRECTED = 421;
const FIRST_SERVER_ERROR = 500;
/** Statuses that promise a client that its request has not run. */
const promises: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const SUCCESS_CLASS = 2;

/** Sends a request to an endpoint and passes its answer on. */
export async function runAttempt(
  options: ForwardOptions,
  request: AttemptRequest,
): Promise<AttemptEnd> {
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
      allowsKept: request.isRepeatable,
    });
    switch (sent.kind) {
      case 'notSent':
        return sent;
      case 'unknown':
        return {kind: 'broken', reason: sent.reason, lastEventId: undefined};
      case 'answered':
        return await new AnswerTaker(options, request, flight).take(sent.answer);
    }
  } finally {
    controller.abort(NOT_WANTED);
    placement.endRequest(endpoint, flight);
  }
}

/** Judges an answer and passes it on. */
class AnswerTaker {
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

  async take(answer: EndpointAnswer): Promise<AttemptEnd> {
    const {message} = answer;
    const status = message.statusCode ?? 0;
    const facts = this.#options.format.readAnswer(status, message.headers);
    const {endpoint, route, demand} = this.#request;
    if (facts.load !== undefined) this.#options.placement.recordLoad(endpoint, facts.load);
    if (facts.isNotExecuted) {
      message.resume();
      return {kind: 'notExecuted', status, isMisdirected: status === MISDIRECTED};
    }
    const fault = findFault(status, facts, demand.id);
    if (fault !== undefined) return this.#broken(fault);
    const isSuccess = Math.floor(status / 100) === SUCCESS_CLASS;
    if (isSuccess && route.kind === 'stream') return this.#takeStream(answer);
    return this.#takeWhole(answer, status);
  }

  #broken(reason: string): AttemptEnd {
    return {kind: 'broken', reason, lastEventId: this.#lastEventId};
  }

  async #takeWhole(answer: EndpointAnswer, status: number): Promise<AttemptEnd> {
    const read = await readWhole(answer);
    switch (read.kind) {
      case 'broken':
        return this.#broken('the answer was cut off');
      case 'whole':
        if (status >= FIRST_SERVER_ERROR || this.#request.answer.hasBegun) {
          return {kind: 'failed', held: {answer: answer.message, body: read.body}};
        }
        this.#request.answer.sendWhole(answer.message, read.body);
        return {kind: 'delivered', status, flight: this.#flight};
      case 'large':
        // A failure may have no end, and another endpoint may do better.
        if (status >= FIRST_SERVER_ERROR && this.#request.isRepeatable) {
          return this.#broken('a failure that is too large');
        }
        return this.#passOn(answer, read.body);
    }
  }

  /** Passes on an answer that is not repeated once its first part is with the client. */
  async #passOn(answer: EndpointAnswer, first: Buffer | undefined): Promise<AttemptEnd> {
    const {answer: client, controller} = this.#request;
    if (first !== undefined) {
      client.begin(answer.message);
      await client.write(first, controller.signal);
    }
    const isWhole = await readParts(answer, async (part) => {
      this.#options.eventLoop.enter();
      this.#options.placement.recordEvent(this.#request.endpoint, this.#flight);
      client.begin(answer.message);
      await client.write(part, controller.signal);
      return 'next';
    });
    if (!isWhole) return this.#broken('the answer was cut off');
    client.begin(answer.message);
    client.end();
    return {kind: 'delivered', status: answer.message.statusCode ?? 0, flight: this.#flight};
  }

  async #takeStream(answer: EndpointAnswer): Promise<AttemptEnd> {
    if (!this.#request.route.isResumable) return this.#passOn(answer, undefined);
    const {answer: client} = this.#request;
    const splitter = new EventSplitter();
    const stall = this.#watchForStall();
    const isWhole = await readParts(answer, async (part) => {
      this.#options.eventLoop.enter();
      const events = splitter.push(part);
      if (events === undefined) return 'stop';
      // Bytes that make no event are as good as silence.
      if (events.length > 0) stall.restart();
      for (const event of events) await this.#passEvent(answer.message, event);
      return 'next';
    });
    stall.stop();
    if (!isWhole || splitter.hasRest) return this.#broken('the stream was cut off');
    client.begin(answer.message);
    client.end();
    return {kind: 'delivered', status: answer.message.statusCode ?? 0, flight: this.#flight};
  }

  async #passEvent(answer: IncomingMessage, {bytes, id}: RawEvent): Promise<void> {
    if (id !== undefined && this.#lastEventId !== undefined && isUpTo(id, this.#lastEventId))
      return;
    const {answer: client, controller} = this.#request;
    this.#options.placement.recordEvent(this.#request.endpoint, this.#flight);
    client.begin(answer);
    await client.write(bytes, controller.signal);
    if (id !== undefined) this.#lastEventId = id;
  }

  /** Breaks a stream off that is silent for too long, so that another endpoint can go on with it. */
  #watchForStall(): {readonly restart: () => void; readonly stop: () => void} {
    const {pauseTargetMs = 0} = this.#request.route;
    const limitMs = Math.max(MIN_STALL_MS, pauseTargetMs * STALL_PAUSES);
    const schedule = () =>
      this.#options.clock.schedule(limitMs, () => {
        this.#request.controller.abort(NOT_WANTED);
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
function findFault(status: number, facts: AnswerFacts, id: string): string | undefined {
  if (facts.requestId !== undefined && facts.requestId !== id) return 'answer to another request';
  if (Math.floor(status / 100) === SUCCESS_CLASS && !facts.isSigned) return 'answer not signed';
  // Passing it on would promise that the request has not run, which the endpoint did not say.
  if (promises.has(status)) return `status ${status} without word that it was not executed`;
  return undefined;
}

/** Whether an event's id is not beyond another; ids increase. */
function isUpTo(id: string, last: string): boolean {
  const [number, lastNumber] = [Number(id), Number(last)];
  if (Number.isNaN(number) || Number.isNaN(lastNumber)) return id === last;
  return number <= lastNumber;
}
