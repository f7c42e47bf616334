/** One request of a client from its arrival to the end of its answer. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Endpoint, InFlightRequest, PlacementRequest} from '@marigoldfold/coordination';
import type {Route} from '@marigoldfold/state';
import {type BodyError, onClientLeave, readBody} from '@marigoldfold/transport';
import {type Admission, admit, type Refusal} from './admission.js';
import {type AttemptOutcome, type FailureResponse, ABORT_REASON, runAttempt} from './attempt.js';
import {ClientResponseWriter} from './clientResponseWriter.js';
import {endToEndHeaders} from './endToEndHeaders.js';
import type {RequestMetadata} from './metadataCodec.js';
import type {ForwardOptions} from './forwardOptions.js';
import type {Arrival} from './forwardServer.js';
import {chooseService, isIdempotent, patienceMs, rankOf} from './routePolicy.js';

/** Time for an endpoint's own answer at the time limit to come through, in milliseconds. */
const TIMEOUT_GRACE_MS = 100;
/** Time left below which a send is not worth it, in milliseconds: a round trip and a token. */
const MIN_REMAINING_MS = 20;
/** Part of the objective that a request may wait here for its first send; another instance may do better. */
const QUEUE_TARGET_SHARE = 0.5;
/** Shortest such wait, in milliseconds: some turns of a busy event loop. */
const MIN_QUEUE_MS = 50;
/** Shortest time after which a client is to try another instance, in milliseconds. */
const MIN_RETRY_AFTER_MS = 50;
/** When to come back if no endpoint takes the request, in milliseconds. */
const BUSY_RETRY_AFTER_MS = 300;

/** How an exchange ended. */
type ExchangeOutcome =
  | {readonly kind: 'delivered'; readonly status: number; readonly flight?: InFlightRequest}
  | {readonly kind: 'refused'; readonly refusal: Refusal}
  | {readonly kind: 'failed'; readonly status: number; readonly reason: string}
  | {readonly kind: 'cut'; readonly reason: string}
  | {readonly kind: 'gone'};

/** Where a request stands; logged when its client leaves. */
type Stage = 'reading' | 'queued' | 'sent' | 'answering';

/** Serves one request. */
export async function serveExchange(
  options: ForwardOptions,
  request: IncomingMessage,
  response: ServerResponse,
  arrival: Arrival,
): Promise<void> {
  await new Exchange(options, request, response, arrival).run();
}

class Exchange {
  readonly #options: ForwardOptions;
  readonly #request: IncomingMessage;
  readonly #response: ClientResponseWriter;
  readonly #metadata: RequestMetadata;
  readonly #arrivedAtMs: number;
  readonly #arrival: Arrival;
  #isClientGone = false;
  #isTimeOver = false;
  /** The send that is under way. */
  #attemptController: AbortController | undefined;
  /** Endpoints that are not tried again. */
  readonly #excludedEndpoints = new Set<string>();
  /** Sends that may have been run by an endpoint. */
  #possibleRunCount = 0;
  #attemptCount = 0;
  #lastEventId: string | undefined;
  #failureResponse: FailureResponse | undefined;
  #lastFailureReason = '';
  #routeName = '';
  /** Order among the requests that wait for a send. */
  #rank = 0;
  #targetMs = 0;
  #queuedAtMs = 0;
  #stage: Stage = 'reading';
  #clientGoneAtMs: number | undefined;

  constructor(
    options: ForwardOptions,
    request: IncomingMessage,
    response: ServerResponse,
    arrival: Arrival,
  ) {
    this.#options = options;
    this.#request = request;
    this.#response = new ClientResponseWriter(response);
    this.#metadata = options.codec.decodeRequest(request.headers);
    this.#arrivedAtMs = options.clock.now();
    this.#arrival = arrival;
    options.metrics.observeArrival(arrival);
  }

  async run(): Promise<void> {
    const {metrics} = this.#options;
    metrics.inFlight.inc();
    const disconnectListener = onClientLeave(this.#request, () => {
      this.#clientGoneAtMs = this.#options.clock.now();
      this.#isClientGone = true;
      this.#attemptController?.abort(ABORT_REASON);
    });
    const end = await this.#serve();
    disconnectListener[Symbol.dispose]();
    metrics.inFlight.dec();
    this.#finish(end);
  }

  async #serve(): Promise<ExchangeOutcome> {
    if (this.#metadata.id === undefined) {
      return {kind: 'refused', refusal: {status: 400, reason: 'no_request_id'}};
    }
    const admitted = this.#admit();
    if (admitted.isErr()) return {kind: 'refused', refusal: admitted.error};
    const {route, table, account} = admitted.value;
    this.#routeName = route.name;
    this.#targetMs = route.targetMs;
    this.#rank = rankOf(account?.priority, route.priority, true);
    const limitMs = Math.min(route.timeoutMs, this.#metadata.deadlineMs ?? route.timeoutMs);
    // The client's time runs from when it sent the request, not from when it was read.
    const deadlineMs = this.#arrivedAtMs - this.#arrival.unreadMs + limitMs;
    const {maxBodyBytes} = table.configuration.limits;
    const bodyLimits = {maxBodyBytes, requestTimeoutMs: deadlineMs - this.#arrivedAtMs};
    const body = await readBody(this.#request, bodyLimits, this.#options.clock);
    if (body.isErr()) return bodyErrorOutcome(body.error);
    const timer = this.#options.clock.schedule(
      deadlineMs - this.#options.clock.now() + TIMEOUT_GRACE_MS,
      () => {
        this.#isTimeOver = true;
        this.#attemptController?.abort(ABORT_REASON);
      },
    );
    this.#options.budget.recordRequest(
      chooseService(admitted.value, this.#metadata.id)?.name ?? '',
    );
    try {
      return await this.#forward(body.value, deadlineMs);
    } finally {
      timer[Symbol.dispose]();
    }
  }

  /** Whether nobody waits for the answer any more. */
  get #isCancelled(): boolean {
    return this.#isClientGone || this.#isTimeOver;
  }

  #admit() {
    const {configurationState, configurationAgeLimits} = this.#options;
    return admit(this.#request, this.#metadata, configurationState(), configurationAgeLimits());
  }

  /** Sends until an answer is delivered or no further send is allowed. */
  async #forward(body: Buffer, deadlineMs: number): Promise<ExchangeOutcome> {
    while (true) {
      this.#stage = 'queued';
      this.#queuedAtMs = this.#options.clock.now();
      const send = {
        rank: this.#rank,
        overdueAtMs: this.#queueDeadlineMs(),
        isAbandoned: () => this.#isCancelled,
      };
      const turn = await this.#options.dispatch.enqueue(send, () =>
        this.#dispatchAttempt(body, deadlineMs),
      );
      if (turn.kind === 'overdue') return this.#refuseAfterQueueTimeout();
      if (turn.kind === 'over') return this.#endWithoutRetry(504, 'time_over');
      if (turn.result !== undefined) return turn.result;
    }
  }

  /** What was sent before is not given up for the wait: work has been done for it. */
  #queueDeadlineMs(): number {
    if (this.#attemptCount > 0) return Number.POSITIVE_INFINITY;
    const limitMs = Math.max(MIN_QUEUE_MS, this.#targetMs * QUEUE_TARGET_SHARE);
    return this.#queuedAtMs - this.#arrival.unreadMs + limitMs;
  }

  #refuseAfterQueueTimeout(): ExchangeOutcome {
    const waitedMs = this.#options.clock.now() - this.#queuedAtMs + this.#arrival.unreadMs;
    const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, Math.round(waitedMs));
    return {kind: 'refused', refusal: {status: 503, reason: 'instance_busy', retryAfterMs}};
  }

  /** Sends once; resolves to undefined when another send may follow. */
  async #dispatchAttempt(body: Buffer, deadlineMs: number): Promise<ExchangeOutcome | undefined> {
    const leftMs = deadlineMs - this.#options.clock.now();
    if (leftMs < MIN_REMAINING_MS) return this.#endWithoutRetry(504, 'time_over');
    // The configuration may have changed since the arrival.
    const admitted = this.#admit();
    if (admitted.isErr())
      return this.#endWithoutRetry(admitted.error.status, admitted.error.reason);
    const {route} = admitted.value;
    const isRepeatable = isIdempotent(route);
    const end = await this.#runAttempt(admitted.value, body, leftMs, isRepeatable);
    if (end === undefined) return this.#endWithoutRetry(503, 'no_endpoint');
    if (end.kind === 'delivered') return end;
    if (!this.#mayRetry(end, route, isRepeatable))
      return this.#endWithoutRetry(502, this.#lastFailureReason);
    return undefined;
  }

  async #runAttempt(
    {route, table, account}: Admission,
    body: Buffer,
    leftMs: number,
    isRetryable: boolean,
  ): Promise<AttemptOutcome | undefined> {
    const {codec, placement, budget, metrics, clock} = this.#options;
    const service = chooseService({route, table}, this.#metadata.id ?? '');
    if (service === undefined) return undefined;
    const elapsedMs = clock.now() - this.#arrivedAtMs;
    const demand: PlacementRequest = {
      id: this.#metadata.id ?? '',
      service: service.name,
      targetLeftMs: route.targetMs - elapsedMs,
      patienceLeftMs: patienceMs(route) - elapsedMs,
      pauseTargetMs: route.pauseTargetMs,
      prompt: this.#metadata.prompt,
    };
    const endpoint = placement.choose(demand, service.engine, this.#excludedEndpoints);
    if (endpoint === undefined) return undefined;
    if (this.#attemptCount > 0 && !budget.trySpend(service.name)) {
      this.#log('repeat refused', {endpoint: endpoint.record.id, reason: 'budget'});
      return undefined;
    }
    this.#attemptCount += 1;
    this.#stage = 'sent';
    const headers = codec.encodeRequest(endToEndHeaders(this.#request.rawHeaders), {
      deadlineMs: Math.max(1, Math.floor(leftMs)),
      endpointId: endpoint.record.id,
      accountName: account?.name,
      rank: rankOf(account?.priority, route.priority, placement.canMeetTarget(endpoint, demand)),
      lastEventId: this.#lastEventId,
    });
    const method = this.#request.method ?? 'GET';
    if (body.length > 0 || method === 'POST' || method === 'PUT') {
      headers.push('content-length', String(body.length));
    }
    this.#log(
      'sent',
      {
        endpoint: endpoint.record.id,
        configuration: table.version,
        occupancy: Math.round(endpoint.occupancy),
        slowness: endpoint.slowness,
        send: this.#attemptCount,
        leftMs: Math.round(leftMs),
        queuedMs: Math.round(clock.now() - this.#queuedAtMs),
        ...this.#describeArrival(),
      },
      'debug',
    );
    const controller = new AbortController();
    this.#attemptController = controller;
    const end = await runAttempt(this.#options, {
      endpoint,
      engine: service.engine,
      route,
      demand,
      method,
      target: this.#request.url ?? '/',
      headers,
      body,
      isRetryable,
      response: this.#response,
      lastEventId: this.#lastEventId,
      controller,
    });
    this.#attemptController = undefined;
    metrics.recordAttempt(service.name, endpoint.record.id, end.kind);
    this.#excludedEndpoints.add(endpoint.record.id);
    this.#recordOutcome(endpoint, end);
    return end;
  }

  /** Takes over what a send has shown. */
  #recordOutcome(endpoint: Endpoint, end: AttemptOutcome): void {
    const isCancelled = this.#isCancelled;
    switch (end.kind) {
      case 'delivered':
        endpoint.resetBackoff();
        endpoint.recordResponse(false);
        return;
      case 'failed':
        this.#possibleRunCount += 1;
        this.#failureResponse = end.failure;
        this.#lastFailureReason = 'endpoint_failed';
        endpoint.resetBackoff();
        endpoint.recordResponse(true);
        return;
      case 'notExecuted':
        this.#lastFailureReason = 'not_executed';
        if (end.isMisdirected) endpoint.backOff();
        break;
      case 'notSent':
        this.#lastFailureReason = 'unreachable';
        if (!isCancelled) endpoint.backOff();
        break;
      case 'broken':
        this.#possibleRunCount += 1;
        this.#lastFailureReason = 'answer_broken';
        this.#lastEventId = end.lastEventId ?? this.#lastEventId;
        if (!isCancelled) endpoint.recordResponse(true);
        break;
    }
    if (isCancelled) return;
    this.#log('send failed', {
      endpoint: endpoint.record.id,
      outcome: end.kind,
      reason: 'reason' in end ? end.reason : String(end.status),
      failureShare: endpoint.failureShare,
    });
  }

  #mayRetry(end: AttemptOutcome, route: Route, isRepeatable: boolean): boolean {
    if (this.#isCancelled) return false;
    if (end.kind === 'notSent' || end.kind === 'notExecuted') return true;
    if (!isRepeatable) return false;
    if (this.#response.hasStarted && !route.isResumable) return false;
    return this.#possibleRunCount < route.maxAttempts;
  }

  /** Ends an exchange for which no further send is made. */
  #endWithoutRetry(status: number, reason: string): ExchangeOutcome {
    if (this.#isClientGone) return {kind: 'gone'};
    if (this.#response.hasStarted) return {kind: 'cut', reason};
    if (this.#failureResponse !== undefined) {
      const {response, body} = this.#failureResponse;
      this.#response.sendBuffered(response, body);
      return {kind: 'delivered', status: response.statusCode ?? 0};
    }
    // Only a request that no endpoint may have run is refused with a promise.
    if (this.#possibleRunCount > 0) {
      const failure = this.#isTimeOver || status === 504 ? 504 : 502;
      return {kind: 'failed', status: failure, reason};
    }
    const refused = status === 401 || status === 404 ? status : 503;
    return {kind: 'refused', refusal: {status: refused, reason, retryAfterMs: BUSY_RETRY_AFTER_MS}};
  }

  #finish(end: ExchangeOutcome): void {
    const {clock, metrics} = this.#options;
    const totalMs = clock.now() - this.#arrivedAtMs;
    const fields = {
      outcome: end.kind,
      totalMs: Math.round(totalMs),
      sends: this.#attemptCount,
      runs: this.#possibleRunCount,
      ...this.#describeArrival(),
    };
    let reason = '';
    switch (end.kind) {
      case 'delivered': {
        const firstAtMs = end.flight?.firstEventAtMs;
        metrics.observeFirstByte(
          this.#routeName,
          firstAtMs === undefined ? totalMs : firstAtMs - this.#arrivedAtMs,
        );
        this.#log(
          'answered',
          {...fields, status: end.status, ...this.#describeTimings(end.flight)},
          'debug',
        );
        break;
      }
      case 'refused': {
        const {status, retryAfterMs} = end.refusal;
        reason = end.refusal.reason;
        this.#response.sendError(status, reason, retryAfterMs);
        this.#log('refused', {...fields, status, reason, beliefAgeMs: this.#configurationAgeMs()});
        break;
      }
      case 'failed':
        reason = end.reason;
        this.#response.sendError(end.status, reason);
        this.#log('failed', {...fields, status: end.status, reason});
        break;
      case 'cut':
        reason = end.reason;
        this.#response.abort();
        this.#log('cut', {...fields, reason, lastEventId: this.#lastEventId});
        break;
      case 'gone':
        this.#log('client gone', {
          ...fields,
          stage: this.#response.hasStarted ? 'answering' : this.#stage,
          passedOnMs: Math.round(clock.now() - (this.#clientGoneAtMs ?? clock.now())),
        });
        break;
    }
    metrics.requests.inc({route: this.#routeName, outcome: end.kind, reason});
  }

  /** When the first event came, counted from the request's arrival, and the longest pause after it. */
  #describeTimings(flight: InFlightRequest | undefined) {
    if (flight?.firstEventAtMs === undefined) return {};
    return {
      firstEventMs: Math.round(flight.firstEventAtMs - this.#arrivedAtMs),
      longestPauseMs: Math.round(flight.longestPauseMs),
      readMs: Math.round(flight.prefillMs),
    };
  }

  #describeArrival() {
    const {unacceptedMs, unreadMs} = this.#arrival;
    return {unacceptedMs: Math.round(unacceptedMs), unreadMs: Math.round(unreadMs)};
  }

  #configurationAgeMs(): number {
    return Math.round(this.#options.configurationState().ageMs);
  }

  /** Routine lines are of the lowest level: they are the first to be left out under load. */
  #log(
    message: string,
    fields: Readonly<Record<string, string | number | undefined>>,
    level: 'debug' | 'info' = 'info',
  ): void {
    const line = {request: this.#metadata.id, route: this.#routeName, ...fields};
    this.#options.logger[level](message, line);
  }
}

function bodyErrorOutcome(error: BodyError): ExchangeOutcome {
  switch (error) {
    case 'too_large':
      return {kind: 'refused', refusal: {status: 413, reason: 'body_too_large'}};
    case 'timed_out':
      return {kind: 'refused', refusal: {status: 408, reason: 'body_not_in_time'}};
    case 'aborted':
      return {kind: 'gone'};
  }
}
