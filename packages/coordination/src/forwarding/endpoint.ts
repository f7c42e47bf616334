/** State of one lifetime of an endpoint, as recorded by this process. */
import type {Clock} from '@marigoldfold/runtime';
import type {EndpointRecord} from '@marigoldfold/state';
import {ArrivalRate} from './arrivalRate.js';
import {
  applyLimitNotice,
  type LimitNotice,
  type LimitStatement,
  newerStatement,
} from './endpointLimit.js';
import {EndpointSpeed} from './endpointSpeed.js';
import type {EndpointPace} from './endpointPace.js';
import type {InFlightRequest} from './inFlightRequest.js';
import type {LoadReport} from './loadReport.js';
import {PromptCacheEstimate} from './promptCacheEstimate.js';

/**
 * Age in milliseconds after which a slowness report is ignored. Slowness is caused by other load on the same
 * machine, which changes several times a second.
 */
const MAX_SLOWNESS_AGE_MS = 400;
/** Milliseconds after which a request of another process counts as ended even if no end was reported. */
export const REMOTE_REQUEST_TIMEOUT_MS = 10_000;
/** Age in milliseconds after which a load report is ignored. */
const MAX_LOAD_AGE_MS = 1500;
/**
 * Upper limit of the recorded slowness. Other load on the same machine causes about this much; a higher value
 * is caused by prompts that were not reported to this process.
 */
const MAX_SLOWNESS = 3;
/** First backoff of an unreachable endpoint, in milliseconds. */
const MIN_BACKOFF_MS = 250;
/** Longest backoff before the next attempt, in milliseconds. */
const MAX_BACKOFF_MS = 4000;
/** Time in milliseconds for which a peer's report that the endpoint is unreachable counts. */
const REPORTED_UNREACHABLE_MS = 1000;
/** Weight of the newest response in the exponential moving average `failureShare`. */
const NEWEST_RESPONSE_WEIGHT = 0.1;

/** Time constant of the arrival rate of long prompts, in milliseconds: the length of a short stream. */
const LONG_PROMPT_WINDOW_MS = 3000;

/** In-flight requests, load, slowness and backoff of an endpoint, as far as this process knows them. */
export class Endpoint {
  readonly #clock: Clock;
  readonly #remoteCoverage: () => number;
  /** In-flight requests of this process. */
  readonly localRequests = new Set<InFlightRequest>();
  /** In-flight requests reported by other processes, by id. */
  readonly remoteRequests = new Map<string, InFlightRequest>();
  readonly cacheEstimate = new PromptCacheEstimate();
  readonly speed = new EndpointSpeed();
  record: EndpointRecord;
  #load:
    {readonly report: LoadReport; readonly atMs: number; readonly knownCount: number} | undefined;
  #slowness: {readonly value: number; readonly atMs: number} | undefined;
  #connectFailures = 0;
  #backoffUntilMs = Number.NEGATIVE_INFINITY;
  #reportedUnreachableUntilMs = Number.NEGATIVE_INFINITY;
  #isLeaving: boolean;
  #pausedUntilMs = Number.NEGATIVE_INFINITY;
  #limit: LimitStatement | undefined;
  #withheldUntilMs = Number.NEGATIVE_INFINITY;
  /** Time at which this process last told others of the limit, in milliseconds. */
  limitPublishedAtMs = Number.NEGATIVE_INFINITY;
  /** Limits the requests in flight after a start or an interruption; undefined at most times. */
  pace: EndpointPace | undefined;
  /** Whether the endpoint has answered, or its pace has ended, since its start or last interruption. */
  isEstablished = true;
  /** Time of the last interruption, or of the start as this process knows it, in milliseconds. */
  interruptedAtMs = Number.NEGATIVE_INFINITY;
  /** Fraction of recent requests that failed at the endpoint, from 0 to 1. */
  failureShare = 0;
  /** Time at which this process last received anything from the endpoint, in milliseconds. */
  lastReceivedAtMs = Number.NEGATIVE_INFINITY;
  /** Arrival rate of long prompts at this endpoint, from all processes. */
  readonly longPromptArrivals = new ArrivalRate(LONG_PROMPT_WINDOW_MS);

  /** `remoteCoverage` is the part of the requests of other processes that are reported to this one, above 0. */
  constructor(clock: Clock, record: EndpointRecord, remoteCoverage: () => number = () => 1) {
    this.#clock = clock;
    this.#remoteCoverage = remoteCoverage;
    this.record = record;
    this.#isLeaving = record.isLeaving;
  }

  /** Applies a newer record of the same lifetime. */
  update(record: EndpointRecord): void {
    this.record = record;
    if (record.isLeaving) this.announceLeaving();
  }

  /**
   * Whether the endpoint gets no new requests, because a record or a response has said that it is leaving. That holds
   * for the endpoint's lifetime: a record that says otherwise was written before.
   */
  get isLeaving(): boolean {
    return this.#isLeaving;
  }

  /** Records that a response stated that the endpoint is leaving; returns whether that is new. */
  announceLeaving(): boolean {
    const isNew = !this.#isLeaving;
    this.#isLeaving = true;
    this.pace = undefined;
    this.isEstablished = false;
    return isNew;
  }

  /** Milliseconds until the endpoint accepts requests of this instance again; 0 if it does. */
  get pausedForMs(): number {
    return Math.max(0, this.#pausedUntilMs - this.#clock.now());
  }

  /** Sends the endpoint no request for a time, in milliseconds, as it has asked. */
  pause(durationMs: number): void {
    this.#pausedUntilMs = Math.max(this.#pausedUntilMs, this.#clock.now() + durationMs);
  }

  /** Requests per second that the endpoint takes from all instances together; undefined if it has no limit. */
  get limitPerSecond(): number | undefined {
    return this.#limit?.perSecond;
  }

  /** What the endpoint or another instance last stated about its limit; undefined if nothing. */
  get limit(): LimitStatement | undefined {
    return this.#limit;
  }

  /** Milliseconds for which the limit certainly allows no request of this instance; 0 if it may allow one. */
  get withheldForMs(): number {
    if (this.limitPerSecond === undefined) return 0;
    return Math.max(0, this.#withheldUntilMs - this.#clock.now());
  }

  /** Records that the limit allows no request of this instance for a time, in milliseconds. */
  withhold(durationMs: number): void {
    this.#withheldUntilMs = this.#clock.now() + durationMs;
  }

  /** Applies a statement of another instance; returns whether the limit has changed. */
  mergeLimit(reported: LimitStatement): boolean {
    const previous = this.limitPerSecond;
    this.#limit = newerStatement(this.#limit, reported);
    return this.limitPerSecond !== previous;
  }

  /** Applies the limit of a response; returns whether the limit has changed. */
  recordLimit(notice: LimitNotice): boolean {
    const previous = this.limitPerSecond;
    this.#limit = applyLimitNotice(this.#limit, notice);
    return this.limitPerSecond !== previous;
  }

  /** Records that the endpoint has sent something, which shows that it can be reached. */
  recordReceived(): void {
    this.lastReceivedAtMs = this.#clock.now();
  }

  /** Records a load report, including its slowness if present. */
  recordLoad(report: LoadReport): void {
    this.#load = {report, atMs: this.#clock.now(), knownCount: this.#expectedRequestCount};
    if (report.slowness !== undefined) this.recordSlowness(report.slowness);
  }

  /** Records how long work takes relative to its usual duration; 1 is usual, 2 is twice as long. */
  recordSlowness(value: number): void {
    this.#slowness = {value: Math.min(MAX_SLOWNESS, value), atMs: this.#clock.now()};
  }

  /** In-flight requests of this process and unexpired ones of other processes. */
  *knownRequests(): Generator<InFlightRequest, void> {
    yield* this.localRequests;
    const fromMs = this.#clock.now() - REMOTE_REQUEST_TIMEOUT_MS;
    for (const [id, request] of this.remoteRequests) {
      if (request.sentAtMs < fromMs) this.remoteRequests.delete(id);
      else yield request;
    }
  }

  get #knownRequestCount(): number {
    return this.localRequests.size + this.remoteRequests.size;
  }

  /**
   * Estimated number of requests in flight for each known one, 1 or more: other processes report only a part of
   * theirs to this one.
   */
  get requestsPerKnown(): number {
    const known = this.#knownRequestCount;
    return known === 0 ? 1 : this.#expectedRequestCount / known;
  }

  /** Number of requests of other processes that each reported one stands for, 1 or more. */
  get requestsPerReported(): number {
    return 1 / this.#remoteCoverage();
  }

  get #expectedRequestCount(): number {
    return this.localRequests.size + this.remoteRequests.size / this.#remoteCoverage();
  }

  /**
   * Estimated number of requests at the endpoint: known ones with their unreported share, plus others that the last
   * load report counted.
   */
  get occupancy(): number {
    const knownCount = this.#expectedRequestCount;
    const load = this.#load;
    if (load === undefined) return knownCount;
    const ageMs = this.#clock.now() - load.atMs;
    if (ageMs > MAX_LOAD_AGE_MS) return knownCount;
    const unreported = Math.max(0, load.report.running + load.report.waiting - load.knownCount);
    return knownCount + unreported * (1 - ageMs / MAX_LOAD_AGE_MS);
  }

  /** Current duration of work divided by its usual duration; 1 without a recent report. */
  get slowness(): number {
    if (this.#slowness === undefined) return 1;
    if (this.#clock.now() - this.#slowness.atMs > MAX_SLOWNESS_AGE_MS) return 1;
    return Math.max(1, this.#slowness.value);
  }

  /** Whether the endpoint is in backoff after failures to reach it. */
  get isBackedOff(): boolean {
    return this.#clock.now() < this.#backoffUntilMs;
  }

  /** Whether a peer has recently reported that it could not reach the endpoint. */
  get isReportedUnreachable(): boolean {
    return this.#clock.now() < this.#reportedUnreachableUntilMs;
  }

  /** Records a peer's report that it could not reach the endpoint. */
  recordReportedUnreachable(): void {
    this.#reportedUnreachableUntilMs = this.#clock.now() + REPORTED_UNREACHABLE_MS;
  }

  /** Starts an exponential backoff and returns its length in milliseconds. */
  backOff(): number {
    const backoffMs = Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** this.#connectFailures);
    this.#connectFailures += 1;
    this.#backoffUntilMs = this.#clock.now() + backoffMs;
    return backoffMs;
  }

  /** Ends the backoff, after a response. */
  resetBackoff(): void {
    this.#connectFailures = 0;
    this.#backoffUntilMs = Number.NEGATIVE_INFINITY;
    this.#reportedUnreachableUntilMs = Number.NEGATIVE_INFINITY;
  }

  /**
   * Updates `failureShare` with the outcome of a request. The failure of one that was sent before an interruption is
   * part of that, and the share never decays: it would keep all work from the endpoint after its return.
   */
  recordResponse(hasFailed: boolean, sentAtMs = Number.POSITIVE_INFINITY): void {
    if (hasFailed && sentAtMs < this.interruptedAtMs) return;
    this.failureShare += NEWEST_RESPONSE_WEIGHT * ((hasFailed ? 1 : 0) - this.failureShare);
  }
}
