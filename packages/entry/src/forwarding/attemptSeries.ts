/** Makes the attempts of one request: one after another, or two at a time while an endpoint is silent. */
import type {IncomingMessage} from 'node:http';
import type {Endpoint, PlacementRequest} from '@marigoldfold/coordination';
import {DisposableStore, type LogFields} from '@marigoldfold/runtime';
import type {RoutedAccount, Service} from '@marigoldfold/state';
import type {HeldBody} from '@marigoldfold/transport';
import type {Result} from 'neverthrow';
import type {Admission, Refusal} from './admission.js';
import {type AttemptOutcome, runAttempt} from './attempt.js';
import {applyOutcome, AttemptHistory} from './attemptHistory.js';
import {AttemptRace, MAX_OVERLAP_MS} from './attemptRace.js';
import type {ClientResponseWriter} from './clientResponseWriter.js';
import {reserveEndpoint} from './endpointReservation.js';
import {endToEndHeaders} from './endToEndHeaders.js';
import {EventSequence} from './eventSequence.js';
import {describeArrival, describeBreak} from './exchangeReport.js';
import type {ForwardOptions} from './forwardOptions.js';
import {memoryOwner} from './forwardMemory.js';
import type {ArrivedRequest} from './forwardServer.js';
import type {RequestMetadata} from './metadataCodec.js';
import {chooseService, computeQueueRank, patienceMs} from './routePolicy.js';

/** Crashes of endpoints after which a request is not sent again, since it may be their cause. */
const MAX_CRASHES = 2;

/** The request for which attempts are made. */
export interface AttemptContext {
  readonly options: ForwardOptions;
  readonly request: IncomingMessage;
  readonly metadata: RequestMetadata;
  readonly response: ClientResponseWriter;
  /** Clock time in milliseconds. */
  readonly arrivedAtMs: number;
  readonly arrival: ArrivedRequest;
  /** Checks the request against the configuration in force. */
  readonly admit: () => Result<Admission, Refusal>;
  /** Whether the client has disconnected, the deadline has passed or the body has been evicted. */
  readonly isCancelled: () => boolean;
  readonly onSent: () => void;
  readonly log: (message: string, fields: LogFields, level?: 'debug' | 'info') => void;
}

/** What an attempt is made with. */
export interface AttemptPlan {
  readonly admission: Admission;
  readonly body: HeldBody;
  /** Clock time in milliseconds. */
  readonly deadlineMs: number;
  readonly isRetryable: boolean;
  /** Rank in the dispatch queue; requests with lower ranks are sent first. */
  readonly rank: number;
  /** Clock time in milliseconds. */
  readonly queuedAtMs: number;
  /** Time to wait for an endpoint whose limit is used up, in milliseconds. */
  readonly waitMs: number;
  /** The silent attempt that this one may replace. */
  readonly replaces?: {
    readonly controller: AbortController;
    /** Whether its endpoint can be reached, by the latest check. */
    readonly isReachable: () => boolean;
    /** Whether the response has not been continued since the attempt fell silent. */
    readonly isSilent: () => boolean;
  };
}

/** An attempt whose stream is silent. */
interface SilentAttempt {
  readonly endpoint: Endpoint;
  readonly controller: AbortController;
  readonly isReachable: boolean;
}

/** The attempts of one request and what they mean for the next one. */
export class AttemptSeries {
  readonly #context: AttemptContext;
  readonly #race: AttemptRace;
  readonly history = new AttemptHistory();
  /** Events that the client has received from all attempts. */
  readonly events = new EventSequence();
  /** Why no endpoint could be had. */
  noEndpointReason = 'no_endpoint';
  /** Whether the response has begun, at any attempt. */
  #hasBegun = false;

  constructor(context: AttemptContext) {
    this.#context = context;
    this.#race = new AttemptRace(context.options.clock);
  }

  /** Aborts the attempts in progress. */
  abort(reason: string): void {
    this.#race.abort(reason);
  }

  /** Makes an attempt, and another one beside it if it falls silent; resolves to undefined if none could be made. */
  async run(plan: AttemptPlan): Promise<AttemptOutcome | undefined> {
    const {admission, body, deadlineMs, isRetryable, rank, waitMs, replaces} = plan;
    const {options, request, isCancelled, metadata, response, arrival, arrivedAtMs} = this.#context;
    const {route, table, account} = admission;
    const {codec, placement, retryBudget, metrics, clock} = options;
    const service = chooseService({route, table}, metadata.id ?? '');
    if (service === undefined) return undefined;
    const elapsedMs = clock.now() - arrivedAtMs;
    const placementRequest: PlacementRequest = {
      id: metadata.id ?? '',
      service: service.name,
      targetLeftMs: route.targetMs - elapsedMs,
      targetMs: route.targetMs,
      patienceLeftMs: patienceMs(route) - elapsedMs,
      pauseTargetMs: route.pauseTargetMs,
      prompt: metadata.prompt,
    };
    const reservation = await reserveEndpoint(options, {
      placementRequest,
      engine: service.engine,
      excluded: new Set([...this.history.excludedEndpoints, ...this.#race.endpointIds]),
      rank,
      waitMs,
    });
    if (reservation.kind === 'limited') this.noEndpointReason = 'endpoints_limited';
    if (reservation.kind !== 'reserved' || isCancelled()) return undefined;
    if (replaces?.isSilent() === false) return undefined;
    const {endpoint} = reservation;
    // Not read before, as the body may have been evicted while the request waited.
    const {bytes} = body;
    // Attempts that never reached an endpoint put no load on the service, which is what the budget protects.
    if (this.history.arrivalCount + this.#race.size > 0 && !retryBudget.takeRetry(service.name)) {
      this.#log('retry refused', {endpoint: endpoint.record.id, reason: 'budget'});
      return undefined;
    }
    const leftMs = deadlineMs - clock.now();
    this.history.attemptCount += 1;
    body.pin();
    this.#context.onSent();
    const endpointRank = computeQueueRank(
      account?.priority,
      route.priority,
      placement.canMeetTarget(endpoint, placementRequest),
    );
    const method = request.method ?? 'GET';
    const headers = () => {
      const kept = endToEndHeaders(request.rawHeaders, codec.requestHeaders);
      const lines = codec.encodeRequest(kept, {
        deadlineMs: Math.max(1, Math.floor(leftMs)),
        endpointId: endpoint.record.id,
        accountName: account?.name,
        rank: endpointRank,
        lastEventId: this.events.lastEventId,
      });
      if (bytes.length > 0 || method === 'POST' || method === 'PUT')
        lines.push('content-length', String(bytes.length));
      return lines;
    };
    this.#log(
      'sent',
      {
        endpoint: endpoint.record.id,
        configuration: table.version,
        occupancy: Math.round(endpoint.occupancy),
        slowness: endpoint.slowness,
        limitPerSecond: endpoint.limitPerSecond,
        send: this.history.attemptCount,
        leftMs: Math.round(leftMs),
        queuedMs: Math.round(clock.now() - plan.queuedAtMs),
        ...describeArrival(arrival),
      },
      'debug',
    );
    const controller = this.#race.begin(endpoint.record.id);
    using disposables = new DisposableStore();
    if (replaces !== undefined) {
      disposables.add(
        this.#race.limitOverlap(() => (replaces.isReachable() ? replaces.controller : controller)),
      );
    }
    let standby: Promise<AttemptOutcome | undefined> | undefined;
    const sentAtMs = clock.now();
    const outcome = await runAttempt(options, {
      endpoint,
      engine: service.engine,
      route,
      placementRequest,
      method,
      target: request.url ?? '/',
      headers,
      body: bytes,
      memoryOwner: memoryOwner(request, account),
      isRetryable,
      isAllowed: () => this.#isStillAllowed(service, account),
      response,
      events: this.events,
      controller,
      claim: () => {
        this.#race.claim(controller);
      },
      onBegun: this.#begunListener(account),
      onSilent: (isReachable) => {
        this.#log('stream silent', {endpoint: endpoint.record.id, isReachable});
        const silent = {endpoint, controller, isReachable};
        standby ??= this.#runStandby(plan, silent)
          .catch((error: unknown) => {
            // Nothing awaits the standby until the silent attempt has ended, which goes on.
            options.reportDefect('standby', error, {request: metadata.id});
            return undefined;
          })
          .then((result) => {
            // A standby that was not made, or was given up, does not keep a later one from being made.
            if (result === undefined || result.kind === 'superseded') standby = undefined;
            return result;
          });
      },
    });
    this.#race.end(controller);
    metrics.recordAttempt(service.name, endpoint.record.id, outcome.kind);
    await this.#recordOutcome(endpoint, outcome, sentAtMs);
    const replacement = await standby;
    const isReplaced =
      outcome.kind !== 'delivered' &&
      replacement !== undefined &&
      replacement.kind !== 'superseded';
    return isReplaced ? replacement : outcome;
  }

  /** Counts the request for its account once, whichever attempt begins the response. */
  #begunListener(account: RoutedAccount | undefined): (() => void) | undefined {
    const {recordBegun} = this.#context.options;
    if (recordBegun === undefined || account === undefined) return undefined;
    return () => {
      if (this.#hasBegun) return;
      this.#hasBegun = true;
      recordBegun(account.name);
    };
  }

  /**
   * Asks another endpoint to continue a silent stream while the first attempt goes on; whichever sends the next event
   * continues the stream.
   */
  async #runStandby(
    plan: AttemptPlan,
    {endpoint, controller, isReachable: wasReachable}: SilentAttempt,
  ): Promise<AttemptOutcome | undefined> {
    const {claimCount} = this.#race;
    const isSilent = () => this.#race.claimCount === claimCount;
    const admitted = this.#context.admit();
    if (admitted.isErr()) return undefined;
    const admission = admitted.value;
    const runs = this.history.possibleRunCount + this.#race.size;
    const mayResume = !this.#context.response.hasStarted || this.events.canResume;
    if (!mayResume || runs >= admission.route.maxAttempts || this.mayCrashEndpoints)
      return undefined;
    const replaces = {
      controller,
      isReachable: wasReachable ? () => true : this.#checkAgain(endpoint),
      isSilent,
    };
    const dispatched = await this.#context.options.dispatch.enqueue(
      {
        rank: plan.rank,
        overdueAtMs: Number.POSITIVE_INFINITY,
        isAbandoned: () => this.#context.isCancelled() || !isSilent(),
      },
      () => this.run({...plan, admission, waitMs: 0, replaces}),
    );
    return dispatched.kind === 'sent' ? dispatched.result : undefined;
  }

  /**
   * Checks an endpoint again during the overlap of two attempts; the result tells whether that has succeeded so far. One
   * check fails if the endpoint's queue of connections is full for a moment, and a stream is not given up for that.
   */
  #checkAgain(endpoint: Endpoint): () => boolean {
    const {clock, reachability} = this.#context.options;
    let isReachable = false;
    clock.schedule(MAX_OVERLAP_MS / 2, () => {
      void reachability.check(endpoint, MAX_OVERLAP_MS / 2).then((result) => {
        isReachable = result;
      });
    });
    return () => isReachable;
  }

  /** Whether the configuration in force still sends the request to the service, on behalf of the account. */
  #isStillAllowed(service: Service, account: RoutedAccount | undefined): boolean {
    if (this.#context.options.quarantine.isQuarantined(this.#context.metadata.prompt)) return false;
    const admitted = this.#context.admit();
    return (
      admitted.isOk() &&
      admitted.value.account?.name === account?.name &&
      chooseService(admitted.value, this.#context.metadata.id ?? '')?.name === service.name
    );
  }

  /** Updates the state of the request and the endpoint after an attempt. */
  async #recordOutcome(
    endpoint: Endpoint,
    outcome: AttemptOutcome,
    sentAtMs: number,
  ): Promise<void> {
    const {placement, crashDetector} = this.#context.options;
    this.history.record(endpoint.record.id, outcome);
    const isCancelled = this.#context.isCancelled();
    applyOutcome(placement, endpoint, outcome, {isCancelled, sentAtMs});
    if (isCancelled || outcome.kind === 'delivered' || outcome.kind === 'failed') return;
    if (outcome.kind === 'superseded') {
      const {wasSilent} = outcome;
      this.#log('send superseded', {endpoint: endpoint.record.id, wasSilent});
      return;
    }
    const {prompt} = this.#context.metadata;
    this.#log('send failed', {
      endpoint: endpoint.record.id,
      outcome: outcome.kind,
      reason: 'reason' in outcome ? outcome.reason : String(outcome.status),
      failureShare: endpoint.failureShare,
      ...(outcome.kind === 'broken' ? describeBreak(outcome, prompt) : {}),
    });
    // Whether a retry may follow depends on whether the request may have crashed the endpoint.
    if (await crashDetector.recordOutcome(endpoint, outcome, prompt)) this.history.crashCount += 1;
  }

  /** Whether the request may be the cause of endpoints that crashed. */
  get mayCrashEndpoints(): boolean {
    const {quarantine} = this.#context.options;
    return (
      this.history.crashCount >= MAX_CRASHES || quarantine.isSuspect(this.#context.metadata.prompt)
    );
  }

  #log(message: string, fields: LogFields, level?: 'debug' | 'info'): void {
    this.#context.log(message, fields, level);
  }
}
