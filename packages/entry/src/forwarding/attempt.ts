/** One attempt to serve a request at an endpoint, and its outcome. */
import type {Endpoint, InFlightRequest, PlacementRequest} from '@marigoldfold/coordination';
import type {Engine, Route} from '@marigoldfold/state';
import {
  type BufferShare,
  type EndpointResponse,
  EventBoundary,
  EventSplitter,
  openResponseShare,
  type RawEvent,
  type ResponseHead,
} from '@marigoldfold/transport';
import {forEachChunk, bufferResponse} from './responseReader.js';
import type {ClientResponseWriter} from './clientResponseWriter.js';
import type {ResponseMetadata} from './metadataCodec.js';
import type {EventSequence} from './eventSequence.js';
import {
  findResponseFault,
  isEmptyByDeclaration,
  isEndpointsOwn,
  isSuccessStatus,
} from './responseCheck.js';
import {SUPERSEDED} from './attemptRace.js';
import {REACHABILITY_CHECK_MS} from './reachability.js';
import {patienceMs} from './routePolicy.js';
import {SilenceMonitor} from './silenceMonitor.js';
import type {ForwardOptions} from './forwardOptions.js';

/** Endpoint, request and state of earlier attempts with which an attempt is made. */
export interface AttemptRequest {
  readonly endpoint: Endpoint;
  readonly engine: Engine | undefined;
  readonly route: Route;
  readonly placementRequest: PlacementRequest;
  readonly method: string;
  readonly target: string;
  /** Headers as sent to the endpoint, as alternating names and values; called when they are sent. */
  readonly headers: () => string[];
  readonly body: Buffer;
  /** Client address or account for which memory is held. */
  readonly memoryOwner: string;
  readonly isRetryable: boolean;
  /** Whether the request is still allowed; checked again when its connection is open. */
  readonly isAllowed: () => boolean;
  readonly response: ClientResponseWriter;
  /** Events that the client has received from all attempts of the request. */
  readonly events: EventSequence;
  /**
   * Aborted when the client disconnects, when the deadline passes, when another attempt continues the response, and at
   * the end of the attempt.
   */
  readonly controller: AbortController;
  /** Called before the attempt continues the response; aborts any other attempt of the request. */
  readonly claim: () => void;
  /**
   * Called when the response begins: with the first event of a stream, or the head of another response of an endpoint
   * that executed the request or failed to. Undefined if that is not counted; otherwise it may be called repeatedly.
   */
  readonly onBegun: (() => void) | undefined;
  /** Called when a resumable stream is silent for so long that another endpoint should be asked as well. */
  readonly onSilent: (isReachable: boolean) => void;
}

/** An endpoint's error response that has been read but not sent to the client. */
export interface FailureResponse {
  readonly head: ResponseHead;
  readonly body: readonly Buffer[];
}

/** Outcome of an attempt, which determines whether a retry may follow. */
export type AttemptOutcome =
  | {readonly kind: 'delivered'; readonly status: number; readonly inFlight: InFlightRequest}
  | {readonly kind: 'notSent'; readonly reason: string}
  | {readonly kind: 'withdrawn'; readonly reason: string}
  | {readonly kind: 'notExecuted'; readonly status: number; readonly isMisdirected: boolean}
  | {readonly kind: 'failed'; readonly failure: FailureResponse}
  /** The request was sent but its response is incomplete; the client has received nothing or a part of it. */
  | {
      readonly kind: 'broken';
      readonly reason: string;
      /** Whether any event of the response arrived, or any chunk if it has no events. */
      readonly hasBegun: boolean;
    }
  /** The request may have run, and another attempt continues the response. */
  | {readonly kind: 'superseded'; readonly wasSilent: boolean};

/** Reason given to every abort; an abort without a reason creates an error with a stack trace. */
export const ABORT_REASON = 'the response is no longer needed';
/** Timeout for connecting within a region; a lost packet is retransmitted after 200 ms or more. */
const CONNECT_TIMEOUT_MS = 400;
/** Age of the headers up to which they may be sent; the deadline in them counts from when they were written. */
const MAX_HEADER_AGE_MS = CONNECT_TIMEOUT_MS + 50;
/** Silence of a stream after which an unreachable endpoint is replaced, as a multiple of the pause objective. */
const STALL_PAUSE_TARGETS = 8;
/** Lower bound of the silence after which an unreachable endpoint is replaced. */
const MIN_STALL_MS = 1200;
/** Time before the client disconnects in which another endpoint has to send the next event of a silent stream. */
const REPLACEMENT_MS = 400;
const MISDIRECTED = 421;
const FIRST_SERVER_ERROR = 500;

/** Sends a request to an endpoint and relays its response to the client. */
export async function runAttempt(
  options: ForwardOptions,
  request: AttemptRequest,
): Promise<AttemptOutcome> {
  const {placement, reportDefect} = options;
  const {endpoint, placementRequest, engine, controller} = request;
  const inFlightRequest = placement.startRequest(endpoint, placementRequest, engine);
  const relay = new ResponseRelay(options, request, inFlightRequest);
  try {
    const outcome = await sendAndRelay(options, request, relay);
    return controller.signal.reason === SUPERSEDED ? toSuperseded(outcome, relay) : outcome;
  } catch (error) {
    const {id} = placementRequest;
    reportDefect('attempt', error, {request: id, endpoint: endpoint.record.id});
    return relay.broken('unexpected exception');
  } finally {
    controller.abort(ABORT_REASON);
    placement.endRequest(endpoint, inFlightRequest);
  }
}

async function sendAndRelay(
  {client, clock}: ForwardOptions,
  request: AttemptRequest,
  relay: ResponseRelay,
): Promise<AttemptOutcome> {
  const {endpoint, controller} = request;
  const startedAtMs = clock.now();
  const outcome = await client.send({
    address: endpoint.record.address,
    method: request.method,
    target: request.target,
    headers: request.headers,
    body: request.body.length > 0 ? request.body : undefined,
    signal: controller.signal,
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
    allowsConnectionReuse: request.isRetryable,
    mayStillSend: () =>
      clock.now() - startedAtMs <= MAX_HEADER_AGE_MS &&
      !endpoint.isLeaving &&
      endpoint.pausedForMs === 0 &&
      request.isAllowed(),
  });
  switch (outcome.kind) {
    case 'notSent':
    case 'withdrawn':
      return outcome;
    case 'unknown':
      return {kind: 'broken', reason: outcome.reason, hasBegun: false};
    case 'answered':
      return await relay.relay(outcome.response);
  }
}

/** The outcome of an attempt that was aborted because another one continues the response. */
function toSuperseded(outcome: AttemptOutcome, {wasSilent}: ResponseRelay): AttemptOutcome {
  if (outcome.kind === 'notSent') return {kind: 'withdrawn', reason: SUPERSEDED};
  return outcome.kind === 'broken' ? {kind: 'superseded', wasSilent} : outcome;
}

/** Validates a response and relays it to the client. */
class ResponseRelay {
  readonly #options: ForwardOptions;
  readonly #request: AttemptRequest;
  readonly #inFlightRequest: InFlightRequest;
  /** Whether the attempt resumes a stream of which the client had received a part when it began. */
  #isResumed = false;
  #hasNewEvent = false;
  /** Whether the stream was silent for so long that another endpoint was asked as well. */
  wasSilent = false;

  constructor(options: ForwardOptions, request: AttemptRequest, inFlightRequest: InFlightRequest) {
    this.#options = options;
    this.#request = request;
    this.#inFlightRequest = inFlightRequest;
  }

  async relay(response: EndpointResponse): Promise<AttemptOutcome> {
    const {status, headers} = response.head;
    this.#request.endpoint.recordReceived();
    const metadata = this.#options.codec.decodeResponse(status, headers);
    const {endpoint, route, placementRequest, response: writer} = this.#request;
    const fault = findResponseFault(status, metadata, placementRequest.id);
    this.#recordNotices(metadata);
    if (fault !== undefined) return this.broken(fault);
    this.#recordLimit(status, metadata);
    if (metadata.load !== undefined) this.#options.placement.recordLoad(endpoint, metadata.load);
    if (metadata.isNotExecuted) {
      response.body.resume();
      return {kind: 'notExecuted', status, isMisdirected: status === MISDIRECTED};
    }
    const isSuccess = isSuccessStatus(status);
    if (writer.hasStarted) {
      // Only the remaining events belong into a stream that the client is already receiving.
      if (!isSuccess) return this.broken(`status ${status} to a resumed stream`);
      if (headers['content-type'] !== writer.contentType)
        return this.broken('the resumed response has another content type');
      this.#isResumed = true;
    }
    const {memoryOwner} = this.#request;
    using share = openResponseShare(this.#options.memory, memoryOwner, response.head.lines);
    if (isSuccess && route.kind === 'stream') return await this.#relayStream(response, share);
    if (isEndpointsOwn(status, metadata, placementRequest.id)) this.#request.onBegun?.();
    return await this.#relayBuffered(response, share);
  }

  /** What an endpoint says about itself, unless the response is that to another request. */
  #recordNotices({requestId, isLeaving, pauseMs}: ResponseMetadata): void {
    const {endpoint, placementRequest} = this.#request;
    if (requestId !== undefined && requestId !== placementRequest.id) return;
    if (isLeaving) this.#options.placement.recordLeaving(endpoint);
    if (pauseMs !== undefined) this.#options.placement.recordPause(endpoint, pauseMs);
  }

  /** Records the limit in a response, or its absence if the response is certainly the endpoint's own. */
  #recordLimit(status: number, {requestId, limitPerSecond}: ResponseMetadata): void {
    const {endpoint, placementRequest} = this.#request;
    if (requestId !== placementRequest.id || status === MISDIRECTED) return;
    const {sentAtMs} = this.#inFlightRequest;
    this.#options.placement.recordLimit(endpoint, limitPerSecond, sentAtMs);
  }

  /** The outcome of an attempt whose response cannot be used, or not any further. */
  broken(reason: string): AttemptOutcome {
    const hasBegun = this.#inFlightRequest.firstEventAtMs !== undefined;
    return {kind: 'broken', reason, hasBegun};
  }

  async #relayBuffered(response: EndpointResponse, share: BufferShare): Promise<AttemptOutcome> {
    const {head} = response;
    const {status} = head;
    const buffered = await bufferResponse(response, share);
    // Another attempt may have continued the response since the last bytes arrived.
    if (this.#request.controller.signal.aborted) return this.broken(ABORT_REASON);
    switch (buffered.kind) {
      case 'broken':
        return this.broken('the response was cut off');
      case 'whole':
        if (status >= FIRST_SERVER_ERROR) {
          return {kind: 'failed', failure: {head, body: buffered.body}};
        }
        this.#request.claim();
        this.#request.response.sendBuffered(head, buffered.body);
        return {kind: 'delivered', status, inFlight: this.#inFlightRequest};
      case 'large':
        // A large error response is not relayed, since it may be endless and a retry at another endpoint may succeed.
        if (status >= FIRST_SERVER_ERROR && this.#request.isRetryable) {
          return this.broken('the error response is too large');
        }
        return await this.#relayChunks(response, {firstChunks: buffered.body});
    }
  }

  /** Relays a response that cannot be retried once the client has received its first chunk. */
  async #relayChunks(
    response: EndpointResponse,
    {
      firstChunks = [],
      boundary,
    }: {readonly firstChunks?: readonly Buffer[]; readonly boundary?: EventBoundary},
  ): Promise<AttemptOutcome> {
    const {response: writer, controller, claim} = this.#request;
    claim();
    for (const chunk of firstChunks) {
      writer.sendHead(response.head);
      await writer.write(chunk, controller.signal);
    }
    const isComplete = await forEachChunk(response, async (chunk) => {
      this.#options.eventLoop.recordInput();
      this.#options.placement.recordEvent(this.#request.endpoint, this.#inFlightRequest);
      if (boundary !== undefined) this.#request.onBegun?.();
      writer.sendHead(response.head);
      boundary?.push(chunk);
      await writer.write(chunk, controller.signal);
      return 'next';
    });
    if (!isComplete) return this.broken('the response was cut off');
    if (boundary?.isReached === false && !isEmptyByDeclaration(response.head))
      return this.broken('the stream ended inside an event');
    writer.sendHead(response.head);
    writer.end();
    return {
      kind: 'delivered',
      status: response.head.status,
      inFlight: this.#inFlightRequest,
    };
  }

  async #relayStream(response: EndpointResponse, share: BufferShare): Promise<AttemptOutcome> {
    if (!this.#request.route.isResumable)
      return await this.#relayChunks(response, {boundary: new EventBoundary()});
    const {response: writer} = this.#request;
    const splitter = new EventSplitter(share);
    using silence = this.#watchForSilence();
    let fault: string | undefined;
    const isComplete = await forEachChunk(response, async (chunk) => {
      this.#options.eventLoop.recordInput();
      this.#request.endpoint.recordReceived();
      const events = splitter.push(chunk);
      if (events === undefined) return 'stop';
      // Bytes without a complete event, and comments, are no progress.
      if (events.some(({isComment}) => !isComment)) silence.recordEvent();
      for (const event of events) {
        fault = await this.#relayEvent(response.head, event, silence);
        if (fault !== undefined) return 'stop';
      }
      return 'next';
    });
    if (fault !== undefined) return this.broken(fault);
    if (!isComplete || splitter.hasPartialEvent) return this.broken('the stream was cut off');
    // A resumed stream may have no event left.
    if (!writer.hasStarted && !isEmptyByDeclaration(response.head))
      return this.broken('the stream ended without an event');
    this.#request.claim();
    writer.sendHead(response.head);
    writer.end();
    return {
      kind: 'delivered',
      status: response.head.status,
      inFlight: this.#inFlightRequest,
    };
  }

  /** Relays an event that is next in the sequence; returns the fault of one that is not. */
  async #relayEvent(
    head: ResponseHead,
    event: RawEvent,
    silence: SilenceMonitor,
  ): Promise<string | undefined> {
    const {response: writer, controller, events, claim} = this.#request;
    if (controller.signal.aborted) return ABORT_REASON;
    const origin = {isResumed: this.#isResumed, isFirstNew: !this.#hasNewEvent};
    const verdict = events.check(event, origin);
    if (verdict.kind === 'skip') return undefined;
    if (verdict.kind === 'fault') return verdict.reason;
    if (!event.isComment) {
      claim();
      this.#hasNewEvent = true;
      this.#request.onBegun?.();
      this.#options.placement.recordEvent(this.#request.endpoint, this.#inFlightRequest);
    }
    writer.sendHead(head);
    // A client that reads slowly delays the write, which is no silence of the endpoint.
    silence.pause();
    await writer.write(event.bytes, controller.signal);
    silence.resume();
    events.record(event);
    return undefined;
  }

  #watchForSilence(): SilenceMonitor {
    const {clock, reachability} = this.#options;
    const {route, endpoint, onSilent} = this.#request;
    const {pauseTargetMs = 0} = route;
    return new SilenceMonitor({
      clock,
      unreachableAfterMs: Math.max(MIN_STALL_MS, pauseTargetMs * STALL_PAUSE_TARGETS),
      silentAfterMs: patienceMs(route) - REPLACEMENT_MS,
      checkMs: REACHABILITY_CHECK_MS,
      isReachable: () => reachability.check(endpoint),
      onSilent: (isReachable) => {
        this.wasSilent = true;
        onSilent(isReachable);
      },
    });
  }
}
