/** State of one endpoint at an entry: last load report, requests sent since, and measured latency. */
import type {Clock, Random} from '@marigoldfold/runtime';
import type {Load, Tier} from '@marigoldfold/protocol';
import {FailureBackoff} from './failureBackoff.js';
import {RecentSamples} from './recentSamples.js';
import {TrafficWeight} from './trialTraffic.js';

/** Handle of a request that this entry sent; dispose of it when the request has ended or moved. */
export interface TrackedRequest extends Disposable {
  readonly sentAtMs: number;
  /** Records that the endpoint started processing the request. */
  recordStart(): void;
  /** Records the time to first token as a ratio to the mean of the class. */
  observeFirstToken(ratio: number): void;
  /** Records one inter-token latency in milliseconds. */
  observeInterToken(ms: number): void;
}

/** Recent latency of an endpoint; a field is undefined without recent measurements. */
export interface RecentLatency {
  /** Smoothed ratio of the time to first token to the mean of the class. */
  readonly firstTokenRatio: number | undefined;
  readonly interTokenMs: number | undefined;
}

interface UnreportedRequest {
  readonly tier: Tier;
  readonly sentAtMs: number;
}

const INITIAL_SERVICE_MS = 1000;
const SMOOTHING = 0.3;
/** Milliseconds after which the report of a busy endpoint is stale. */
const BUSY_REPORT_MAX_AGE_MS = 250;
/** Milliseconds after which the report of an endpoint with free slots is stale. */
const IDLE_REPORT_MAX_AGE_MS = 4000;
const BUSY_UTILIZATION = 0.7;
const LATENCY_MAX_AGE_MS = 10_000;
/**
 * Number of inter-token samples whose median is used. They cover several tokens of several streams, so that one
 * long prompt that stalls all streams once does not make the endpoint count as slow.
 */
const INTER_TOKEN_SAMPLES = 32;
/** Minimum number of inter-token samples for which a median is computed. */
const MIN_INTER_TOKEN_SAMPLES = 8;
const MEDIAN = 0.5;

/** Estimates wait and utilization of one endpoint from its reports and this entry's own requests. */
export class EndpointState {
  readonly backoff: FailureBackoff;
  readonly weight: TrafficWeight;
  readonly #clock: Clock;
  readonly #unreported = new Set<UnreportedRequest>();
  #load: Load | undefined;
  #loadAtMs = Number.NEGATIVE_INFINITY;
  #loadAsOfMs = Number.NEGATIVE_INFINITY;
  #ownInFlight = 0;
  #meanServiceMs = INITIAL_SERVICE_MS;
  #firstTokenRatio: number | undefined;
  #firstTokenAtMs = Number.NEGATIVE_INFINITY;
  readonly #interTokenSamples = new RecentSamples(INTER_TOKEN_SAMPLES);
  #interTokenAtMs = Number.NEGATIVE_INFINITY;

  constructor(
    clock: Clock,
    random: Random,
    private readonly slots: number,
  ) {
    this.#clock = clock;
    this.backoff = new FailureBackoff(clock, random);
    this.weight = new TrafficWeight(clock);
  }

  /** Whether a load report was received. */
  get hasReport(): boolean {
    return this.#load !== undefined;
  }

  /** Whether the agent reported that it is leaving. */
  get isLeaving(): boolean {
    return this.#load?.isLeaving === true;
  }

  /** Milliseconds since the last report; infinite before the first. */
  get reportAgeMs(): number {
    return this.#clock.now() - this.#loadAtMs;
  }

  /**
   * Whether the report is too old to select by; the limit is lower
   * for busy endpoints, whose state changes faster.
   */
  get isStale(): boolean {
    const maxAgeMs =
      this.utilization >= BUSY_UTILIZATION ? BUSY_REPORT_MAX_AGE_MS : IDLE_REPORT_MAX_AGE_MS;
    return this.reportAgeMs > maxAgeMs;
  }

  /** Ratio of requests at the endpoint to its concurrency window; above 1 when requests queue. */
  get utilization(): number {
    const total = this.#reportedRequests() + this.#unreported.size;
    return Math.max(this.#ownInFlight, total) / this.#window();
  }

  /** Recent latency; for the inter-token latency, the newer of the agent's and this entry's measurement. */
  get latency(): RecentLatency {
    const now = this.#clock.now();
    const isFresh = now - this.#firstTokenAtMs <= LATENCY_MAX_AGE_MS;
    const reportedMs = this.#load?.interTokenMs ?? 0;
    const isReportNewer = reportedMs > 0 && this.#loadAsOfMs >= this.#interTokenAtMs;
    const areSamplesFresh = now - this.#interTokenAtMs <= LATENCY_MAX_AGE_MS;
    const isMeasured = areSamplesFresh && this.#interTokenSamples.count >= MIN_INTER_TOKEN_SAMPLES;
    const ownMs = isMeasured ? this.#interTokenSamples.quantile(MEDIAN) : undefined;
    return {
      firstTokenRatio: isFresh ? this.#firstTokenRatio : undefined,
      interTokenMs: isReportNewer ? reportedMs : (ownMs ?? (reportedMs || undefined)),
    };
  }

  /**
   * Records a report that includes the requests sent up to
   * `asOfMs`; reports of an earlier incarnation are ignored.
   */
  observe(load: Load, asOfMs: number): void {
    if (this.#load !== undefined && this.#load.incarnation !== load.incarnation) {
      if (incarnationStart(load.incarnation) < incarnationStart(this.#load.incarnation)) return;
      this.backoff.reset();
      this.#firstTokenAtMs = Number.NEGATIVE_INFINITY;
      this.#interTokenSamples.clear();
    }
    this.backoff.recordSuccess();
    this.#load = load;
    this.#loadAtMs = this.#clock.now();
    this.#loadAsOfMs = asOfMs;
    for (const request of this.#unreported) {
      if (request.sentAtMs <= asOfMs) this.#unreported.delete(request);
    }
  }

  /** Counts a request as in flight at the endpoint until the handle is disposed of. */
  trackRequest(tier: Tier): TrackedRequest {
    const sentAtMs = this.#clock.now();
    const request: UnreportedRequest = {tier, sentAtMs};
    let startedAtMs: number | undefined;
    let isOpen = true;
    this.#unreported.add(request);
    this.#ownInFlight += 1;
    return {
      sentAtMs,
      recordStart: () => {
        startedAtMs ??= this.#clock.now();
      },
      observeFirstToken: (ratio) => {
        this.#firstTokenRatio = this.#smoothFirstToken(this.#firstTokenRatio, ratio);
      },
      observeInterToken: (ms) => {
        this.#observeInterToken(ms);
      },
      [Symbol.dispose]: () => {
        if (!isOpen) return;
        isOpen = false;
        this.#ownInFlight -= 1;
        this.#unreported.delete(request);
        if (startedAtMs === undefined) return;
        this.#meanServiceMs += SMOOTHING * (this.#clock.now() - startedAtMs - this.#meanServiceMs);
      },
    };
  }

  /** Estimated queueing time of a new request of a tier, in milliseconds. */
  waitMs(tier: Tier): number {
    const waits = this.#load?.waitMs ?? [];
    // A report omits the last tiers if their wait equals that of the preceding tier.
    const reportedMs = waits[tier] ?? waits.at(-1) ?? 0;
    let ahead = 0;
    for (const request of this.#unreported) {
      if (request.tier <= tier) ahead += 1;
    }
    const free = Math.max(0, this.#window() - this.#reportedRequests());
    const waiting = Math.max(0, ahead + 1 - Math.max(1, free));
    return reportedMs + (waiting * this.#meanServiceMs) / this.#window();
  }

  /** Whether work of a lower tier is running or queued, which a request of `tier` can preempt. */
  hasPreemptibleWork(tier: Tier): boolean {
    const {running = [], queued = []} = this.#load ?? {};
    return sum(running.slice(tier + 1)) + sum(queued.slice(tier + 1)) > 0;
  }

  #observeInterToken(ms: number): void {
    const now = this.#clock.now();
    if (now - this.#interTokenAtMs > LATENCY_MAX_AGE_MS) this.#interTokenSamples.clear();
    this.#interTokenAtMs = now;
    this.#interTokenSamples.add(ms);
  }

  #smoothFirstToken(before: number | undefined, value: number): number {
    const now = this.#clock.now();
    const isFresh = now - this.#firstTokenAtMs <= LATENCY_MAX_AGE_MS;
    this.#firstTokenAtMs = now;
    return before === undefined || !isFresh ? value : before + SMOOTHING * (value - before);
  }

  #window(): number {
    return Math.max(1, this.#load?.window ?? this.slots);
  }

  #reportedRequests(): number {
    return sum(this.#load?.running ?? []) + sum(this.#load?.queued ?? []);
  }
}

const INCARNATION_RADIX = 36;

/** Start time of a process, parsed from the first part of its incarnation; 0 if that is not a number. */
function incarnationStart(incarnation: string): number {
  return Number.parseInt(incarnation.split('-')[0] ?? '', INCARNATION_RADIX) || 0;
}

function sum(values: readonly number[]): number {
  let total = 0;
  for (const value of values) total += value;
  return total;
}
