/** What an entry knows of one endpoint: the last report, its age, and its own requests since. */
import type {Clock, Random} from '@marigoldfold/runtime';
import type {Load, Tier} from '@marigoldfold/protocol';
import {FailureBackoff} from './failureBackoff.js';
import {RecentSamples} from './recentSamples.js';
import {TrafficWeight} from './trialTraffic.js';

/** A request of this entry at an endpoint; disposed of when the request has left it. */
export interface TrackedRequest extends Disposable {
  readonly sentAtMs: number;
  /** Notes that the endpoint has begun the work. */
  recordStart(): void;
  /** Notes the first part of the answer, in proportion to what is usual for the class. */
  observeFirstToken(ratio: number): void;
  /** Notes the time between two tokens of the answer, in milliseconds. */
  observeInterToken(ms: number): void;
}

/** Recent speed of an endpoint; undefined when nothing was measured. */
export interface RecentLatency {
  /** Time to the first token in proportion to what is usual for the class. */
  readonly firstTokenRatio: number | undefined;
  readonly interTokenMs: number | undefined;
}

interface UnreportedRequest {
  readonly tier: Tier;
  readonly sentAtMs: number;
}

const INITIAL_SERVICE_MS = 1000;
const SMOOTHING = 0.3;
/** A busy endpoint's report is trusted for this long. */
const BUSY_REPORT_MAX_AGE_MS = 250;
/** The report of an endpoint with free slots is trusted for this long. */
const IDLE_REPORT_MAX_AGE_MS = 4000;
const BUSY_UTILIZATION = 0.7;
const LATENCY_MAX_AGE_MS = 10_000;
/**
 * Gaps that the time between tokens is the median of: a few tokens of each of some streams, so that one
 * prompt that holds all of them up once is not taken for a slow endpoint.
 */
const INTER_TOKEN_SAMPLES = 32;
/** Fewer gaps say nothing. */
const MIN_INTER_TOKEN_SAMPLES = 8;
const MEDIAN = 0.5;

/** The state of one endpoint at this entry. */
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

  /** Whether a report has come. */
  get hasReport(): boolean {
    return this.#load !== undefined;
  }

  /** Whether the agent has said that it leaves. */
  get isLeaving(): boolean {
    return this.#load?.isLeaving === true;
  }

  /** Milliseconds since the last report. */
  get reportAgeMs(): number {
    return this.#clock.now() - this.#loadAtMs;
  }

  /** Whether the report is too old to decide by; a busy endpoint's state changes faster. */
  get isStale(): boolean {
    const boundMs =
      this.utilization >= BUSY_UTILIZATION ? BUSY_REPORT_MAX_AGE_MS : IDLE_REPORT_MAX_AGE_MS;
    return this.reportAgeMs > boundMs;
  }

  /** Requests at the endpoint in proportion to what it can run at once. */
  get utilization(): number {
    const known = this.#reportedRequests() + this.#unreported.size;
    return Math.max(this.#ownInFlight, known) / this.#window();
  }

  /** The recent speed; the time between tokens is the agent's or this entry's, whichever is newer. */
  get latency(): RecentLatency {
    const now = this.#clock.now();
    const isFresh = now - this.#firstTokenAtMs <= LATENCY_MAX_AGE_MS;
    const reportedMs = this.#load?.interTokenMs ?? 0;
    const isReportNewer = reportedMs > 0 && this.#loadAsOfMs >= this.#interTokenAtMs;
    const areGapsFresh = now - this.#interTokenAtMs <= LATENCY_MAX_AGE_MS;
    const isMeasured = areGapsFresh && this.#interTokenSamples.count >= MIN_INTER_TOKEN_SAMPLES;
    const ownMs = isMeasured ? this.#interTokenSamples.quantile(MEDIAN) : undefined;
    return {
      firstTokenRatio: isFresh ? this.#firstTokenRatio : undefined,
      interTokenMs: isReportNewer ? reportedMs : (ownMs ?? (reportedMs || undefined)),
    };
  }

  /**
   * Takes a report that was made after requests sent by a time had arrived. A report of an earlier
   * incarnation is ignored.
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

  /** Notes a request that goes to the endpoint. */
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

  /** Estimated wait of a new request of a tier, in milliseconds. */
  waitMs(tier: Tier): number {
    const waits = this.#load?.waitMs ?? [];
    // A report may leave out the last tiers when their wait is that of the tier before.
    const reportedMs = waits[tier] ?? waits.at(-1) ?? 0;
    let ahead = 0;
    for (const request of this.#unreported) {
      if (request.tier <= tier) ahead += 1;
    }
    const free = Math.max(0, this.#window() - this.#reportedRequests());
    const waiting = Math.max(0, ahead + 1 - Math.max(1, free));
    return reportedMs + (waiting * this.#meanServiceMs) / this.#window();
  }

  /** Whether work of a lower tier runs or waits there, which urgent work can displace. */
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

/** The start time that an incarnation begins with. */
function incarnationStart(incarnation: string): number {
  return Number.parseInt(incarnation.split('-')[0] ?? '', INCARNATION_RADIX) || 0;
}

function sum(values: readonly number[]): number {
  let total = 0;
  for (const value of values) total += value;
  return total;
}
