/** Handles a client request from its arrival to the end of its response. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {containTimers, DisposableStore, type LogFields} from '@marigoldfold/runtime';
import type {Route, RoutedAccount} from '@marigoldfold/state';
import {
  type BodyMemory,
  type HeldBody,
  onClientDisconnect,
  readHeldBody,
} from '@marigoldfold/transport';
import {type Admission, resolveAdmission} from './admission.js';
import {ABORT_REASON, type AttemptOutcome} from './attempt.js';
import {AttemptSeries} from './attemptSeries.js';
import {ClientResponseWriter} from './clientResponseWriter.js';
import type {RequestMetadata} from './metadataCodec.js';
import type {ForwardOptions} from './forwardOptions.js';
import {
  bodyErrorOutcome,
  type ExchangeOutcome,
  reportOutcome,
  type Stage,
} from './exchangeReport.js';
import {memoryOwner} from './forwardMemory.js';
import {chooseRetryAfterMs} from './retryAfter.js';
import type {ArrivedRequest} from './forwardServer.js';
import {chooseService, computeQueueRank, isIdempotent, queueLimitMs} from './routePolicy.js';

/** Time after the deadline in which the timeout response of an endpoint can still arrive. */
const TIMEOUT_GRACE_MS = 100;
/** No attempt is made with less time than this until the deadline: a round trip and one token. */
const MIN_REMAINING_MS = 20;
/** Lower bound of `retry-after` when a client should try another instance. */
const MIN_RETRY_AFTER_MS = 50;
/** Value of `retry-after` for a quarantined prompt, which the quarantine outlasts in most cases. */
const QUARANTINE_RETRY_AFTER_MS = 60_000;

/** Serves a client request; resolves once its outcome has been recorded. */
export async function serveExchange(
  options: ForwardOptions,
  request: IncomingMessage,
  response: ServerResponse,
  arrival: ArrivedRequest,
): Promise<void> {
  await new Exchange(options, request, response, arrival).run();
}

class Exchange {
  readonly #options: ForwardOptions;
  readonly #request: IncomingMessage;
  readonly #response: ClientResponseWriter;
  readonly #metadata: RequestMetadata;
  readonly #arrivedAtMs: number;
  readonly #arrival: ArrivedRequest;
  #isClientGone = false;
  #isTimeOver = false;
  /** Whether the body was evicted from memory before the first attempt. */
  #isEvicted = false;
  readonly #attempts: AttemptSeries;
  #routeName = '';
  /** Rank in the dispatch queue; requests with lower ranks are sent first. */
  #rank = 0;
  /** Time for which the first attempt may queue, in milliseconds. */
  #queueLimitMs = 0;
  #queuedAtMs = 0;
  #stage: Stage = 'reading';
  #clientGoneAtMs: number | undefined;

  constructor(
    options: ForwardOptions,
    request: IncomingMessage,
    response: ServerResponse,
    arrival: ArrivedRequest,
  ) {
    const clock = containTimers(options.clock, (error) => {
      this.#endAfterTimer(error);
    });
    this.#options = {...options, clock};
    this.#request = request;
    this.#response = new ClientResponseWriter(response, options.codec.responseHeaders);
    this.#metadata = options.codec.decodeRequest(request.headers);
    this.#arrivedAtMs = options.clock.now();
    this.#arrival = arrival;
    options.metrics.observeArrival(arrival);
    this.#attempts = new AttemptSeries({
      options: this.#options,
      request,
      metadata: this.#metadata,
      response: this.#response,
      arrivedAtMs: this.#arrivedAtMs,
      arrival,
      admit: () => this.#admit(),
      isCancelled: () => this.#isCancelled,
      onSent: () => {
        this.#stage = 'sent';
      },
      log: (message, fields, level) => {
        this.#log(message, fields, level);
      },
    });
  }

  async run(): Promise<void> {
    const {metrics} = this.#options;
    metrics.inFlight.inc();
    const disconnectListener = onClientDisconnect(this.#request, () => {
      this.#clientGoneAtMs = this.#options.clock.now();
      this.#isClientGone = true;
      this.#attempts.abort(ABORT_REASON);
    });
    const outcome = await this.#serve().catch((error: unknown) => this.#fail(error));
    disconnectListener[Symbol.dispose]();
    metrics.inFlight.dec();
    this.#finish(outcome);
  }

  /** Ends the request after an exception in one of its timers, like one whose time is over. */
  #endAfterTimer(error: unknown): void {
    this.#options.reportDefect('timer', error, {request: this.#metadata.id});
    this.#isTimeOver = true;
    this.#attempts.abort(ABORT_REASON);
  }

  /** Ends the request after an exception; the endpoints may have executed it. */
  #fail(error: unknown): ExchangeOutcome {
    this.#options.reportDefect('request', error, {request: this.#metadata.id});
    this.#attempts.abort(ABORT_REASON);
    const reason = 'unexpected_exception';
    if (this.#isClientGone) return {kind: 'gone'};
    return this.#response.hasStarted
      ? {kind: 'cut', reason}
      : {kind: 'failed', status: 502, reason};
  }

  async #serve(): Promise<ExchangeOutcome> {
    if (this.#metadata.id === undefined) {
      return {kind: 'refused', refusal: {status: 400, reason: 'no_request_id'}};
    }
    const admitted = this.#admit();
    if (admitted.isErr()) return {kind: 'refused', refusal: admitted.error};
    const {route, table, account} = admitted.value;
    this.#routeName = route.name;
    const service = chooseService(admitted.value, this.#metadata.id)?.name ?? '';
    this.#queueLimitMs = queueLimitMs(table, service);
    this.#rank = computeQueueRank(account?.priority, route.priority, true);
    const limitMs = Math.min(route.timeoutMs, this.#metadata.deadlineMs ?? route.timeoutMs);
    // The client's deadline counts from when it sent the request, not from when it was read here.
    const deadlineMs = this.#arrivedAtMs - this.#arrival.unreadMs + limitMs;
    const {plannedStop} = this.#options;
    if (route.kind === 'nonIdempotent' && deadlineMs > plannedStop.endsAtMs) {
      // A response after the end of the process would be lost, and the request could not be sent again.
      const retryAfterMs = MIN_RETRY_AFTER_MS;
      return {kind: 'refused', refusal: {status: 503, reason: 'stopping', retryAfterMs}};
    }
    const {maxBodyBytes} = table.configuration.limits;
    const bodyLimits = {maxBodyBytes, requestTimeoutMs: deadlineMs - this.#arrivedAtMs};
    const {clock} = this.#options;
    const body = await readHeldBody(this.#request, bodyLimits, {
      clock,
      memory: this.#bodyMemory(account),
    });
    if (body.isErr()) return bodyErrorOutcome(body.error);
    using disposables = new DisposableStore();
    disposables.add(body.value);
    const endRequest = () => {
      this.#isTimeOver = true;
      this.#attempts.abort(ABORT_REASON);
    };
    disposables.add(clock.schedule(deadlineMs - clock.now() + TIMEOUT_GRACE_MS, endRequest));
    disposables.add(plannedStop.onEnd(endRequest));
    this.#options.retryBudget.recordRequest(service);
    return await this.#forward(body.value, deadlineMs);
  }

  #bodyMemory(account: RoutedAccount | undefined): BodyMemory {
    const {memory: budget, metrics} = this.#options;
    const owner = memoryOwner(this.#request, account);
    return {
      budget,
      owner,
      onEvicted: () => {
        this.#isEvicted = true;
      },
      onRefused: (bytes) => {
        metrics.memoryRefusals.inc({kind: 'body', rule: 'no_room'});
        this.#log('memory refused', {kind: 'body', owner, bytes, rule: 'no_room'});
      },
    };
  }

  /** Whether the client has disconnected, the deadline has passed or the body has been evicted. */
  get #isCancelled(): boolean {
    return this.#isClientGone || this.#isTimeOver || this.#isEvicted;
  }

  #admit() {
    const {configurationState, configurationAgeLimits} = this.#options;
    return resolveAdmission(
      this.#request,
      this.#metadata,
      configurationState(),
      configurationAgeLimits(),
    );
  }

  /** Makes attempts until a response is delivered or no retry is allowed. */
  async #forward(body: HeldBody, deadlineMs: number): Promise<ExchangeOutcome> {
    while (true) {
      this.#stage = 'queued';
      this.#queuedAtMs = this.#options.clock.now();
      const waitingAttempt = {
        rank: this.#rank,
        overdueAtMs: this.#queueDeadlineMs(),
        isAbandoned: () => this.#isCancelled,
      };
      const dispatched = await this.#options.dispatch.enqueue(waitingAttempt, () =>
        this.#dispatchAttempt(body, deadlineMs),
      );
      if (dispatched.kind === 'overdue') return this.#refuseAfterQueueTimeout();
      if (dispatched.kind === 'over') return this.#endWithoutRetry(504, 'time_over');
      if (dispatched.result !== undefined) return dispatched.result;
    }
  }

  /**
   * Time until which the first attempt may queue; infinite for a retry, since work was already done for the
   * request.
   */
  #queueDeadlineMs(): number {
    if (this.#attempts.history.attemptCount > 0) return Number.POSITIVE_INFINITY;
    return this.#queuedAtMs - this.#arrival.unreadMs + this.#queueLimitMs;
  }

  #refuseAfterQueueTimeout(): ExchangeOutcome {
    const waitedMs = this.#options.clock.now() - this.#queuedAtMs + this.#arrival.unreadMs;
    const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, Math.round(waitedMs));
    return {kind: 'refused', refusal: {status: 503, reason: 'instance_busy', retryAfterMs}};
  }

  /** Makes one attempt; resolves to undefined when a retry may follow. */
  async #dispatchAttempt(body: HeldBody, deadlineMs: number): Promise<ExchangeOutcome | undefined> {
    if (deadlineMs - this.#options.clock.now() < MIN_REMAINING_MS)
      return this.#endWithoutRetry(504, 'time_over');
    // The configuration may have changed since the request arrived.
    const admitted = this.#admit();
    if (admitted.isErr())
      return this.#endWithoutRetry(admitted.error.status, admitted.error.reason);
    if (this.#options.quarantine.isQuarantined(this.#metadata.prompt))
      return this.#endWithoutRetry(503, 'quarantined_prompt', QUARANTINE_RETRY_AFTER_MS);
    const {route} = admitted.value;
    const isRetryable = isIdempotent(route);
    const outcome = await this.#attempts.run({
      admission: admitted.value,
      body,
      deadlineMs,
      isRetryable,
      rank: this.#rank,
      queuedAtMs: this.#queuedAtMs,
      waitMs: Math.min(
        this.#queueLimitMs,
        deadlineMs - this.#options.clock.now() - MIN_REMAINING_MS,
      ),
    });
    if (outcome === undefined) return this.#endWithoutEndpoint(admitted.value);
    if (outcome.kind === 'delivered') return outcome;
    if (!this.#mayRetry(outcome, route, isRetryable))
      return this.#endWithoutRetry(502, this.#attempts.history.lastFailureReason);
    return undefined;
  }

  #mayRetry(outcome: AttemptOutcome, route: Route, isRetryable: boolean): boolean {
    if (this.#isCancelled) return false;
    if (this.#response.hasStarted && !this.#attempts.events.canResume) return false;
    const mayHaveRun =
      outcome.kind === 'broken' || outcome.kind === 'failed' || outcome.kind === 'superseded';
    if (!mayHaveRun) return true;
    if (!isRetryable || this.#attempts.mayCrashEndpoints) return false;
    if (this.#response.hasStarted && !route.isResumable) return false;
    return this.#attempts.history.possibleRunCount < route.maxAttempts;
  }

  /** If all endpoints want no request for a time, the client should not return before the first one accepts again. */
  #endWithoutEndpoint(admission: Admission): ExchangeOutcome {
    const service = chooseService(admission, this.#metadata.id ?? '')?.name ?? '';
    const closedForMs = this.#options.placement.closedForMs(service);
    const retryAfterMs = closedForMs + chooseRetryAfterMs(this.#rank, this.#options.random);
    return this.#endWithoutRetry(503, this.#attempts.noEndpointReason, Math.round(retryAfterMs));
  }

  /** Determines the outcome of a request that is not retried. */
  #endWithoutRetry(
    status: number,
    reason: string,
    retryAfterMs = chooseRetryAfterMs(this.#rank, this.#options.random),
  ): ExchangeOutcome {
    if (this.#isClientGone) return {kind: 'gone'};
    if (this.#isEvicted) return bodyErrorOutcome('no_memory');
    if (this.#response.hasStarted) return {kind: 'cut', reason};
    if (this.#attempts.history.failureResponse !== undefined) {
      const {head, body} = this.#attempts.history.failureResponse;
      this.#response.sendBuffered(head, body);
      return {kind: 'delivered', status: head.status};
    }
    // A refusal states that the request was not executed, so no endpoint may have executed it.
    if (this.#attempts.history.possibleRunCount > 0) {
      const failureStatus = this.#isTimeOver || status === 504 ? 504 : 502;
      return {kind: 'failed', status: failureStatus, reason};
    }
    const refusalStatus = status === 401 || status === 404 ? status : 503;
    return {kind: 'refused', refusal: {status: refusalStatus, reason, retryAfterMs}};
  }

  #finish(outcome: ExchangeOutcome): void {
    reportOutcome(this.#options, outcome, {
      log: (message, fields, level) => {
        this.#log(message, fields, level);
      },
      response: this.#response,
      routeName: this.#routeName,
      arrivedAtMs: this.#arrivedAtMs,
      arrival: this.#arrival,
      sends: this.#attempts.history.attemptCount,
      runs: this.#attempts.history.possibleRunCount,
      stage: this.#stage,
      rank: this.#rank,
      lastEventId: this.#attempts.events.lastEventId,
      clientGoneAtMs: this.#clientGoneAtMs,
    });
  }

  /** Logs an event of the request; routine events use the level `debug`, which is dropped first under load. */
  #log(message: string, fields: LogFields, level: 'debug' | 'info' = 'info'): void {
    const line = {request: this.#metadata.id, route: this.#routeName, ...fields};
    this.#options.logger[level](message, line);
  }
}
