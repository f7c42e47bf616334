/** What this process knows of one endpoint. */
import type {Clock} from '@marigoldfold/runtime';
import type {EndpointRecord} from '@marigoldfold/state';
import {ArrivalRate} from './arrivalRate.js';
import type {InFlightRequest} from './inFlightRequest.js';
import type {LoadReport} from './loadReport.js';
import {PromptCacheEstimate} from './promptCacheEstimate.js';

/** Time after which a report of slowness says nothing any more: neighbours change several times a second. */
const MAX_SLOWNESS_AGE_MS = 400;
/** Time after which a request of another process is taken to have ended if nothing told so, in milliseconds. */
export const REMOTE_REQUEST_TIMEOUT_MS = 10_000;
/** Time after which a report of load says nothing any more, in milliseconds. */
const MAX_LOAD_AGE_MS = 1500;
/** Neighbours slow an endpoint down to about this; more comes from prompts that nobody told of. */
const MAX_SLOWNESS = 3;
/** First time that an unreachable endpoint is left out, in milliseconds. */
const MIN_BACKOFF_MS = 250;
/** Longest time that an endpoint is left out before the next trial, in milliseconds. */
const MAX_BACKOFF_MS = 4000;
/** Weight of the newest answer in the share of failures. */
const NEWEST_RESPONSE_WEIGHT = 0.1;

/** Time constant with which arrivals of long prompts are followed, in milliseconds: the length of a short stream. */
const LONG_PROMPT_WINDOW_MS = 3000;

/** One endpoint with its requests in flight and its condition. */
export class Endpoint {
  readonly #clock: Clock;
  /** Requests of this process. */
  readonly localRequests = new Set<InFlightRequest>();
  /** Requests of other processes by their ids, as far as they tell. */
  readonly remoteRequests = new Map<string, InFlightRequest>();
  readonly cacheEstimate = new PromptCacheEstimate();
  record: EndpointRecord;
  #load: {readonly report: LoadReport; readonly atMs: number; readonly known: number} | undefined;
  #slowness: {readonly value: number; readonly atMs: number} | undefined;
  #connectFailures = 0;
  #backoffUntilMs = Number.NEGATIVE_INFINITY;
  /** Share of recent requests that the endpoint failed, from 0 to 1. */
  failureShare = 0;
  /** Long prompts that arrive. */
  readonly longPromptArrivals = new ArrivalRate(LONG_PROMPT_WINDOW_MS);

  constructor(clock: Clock, record: EndpointRecord) {
    this.#clock = clock;
    this.record = record;
  }

  /** Takes a newer record; a restart under the same id forgets what was known. */
  update(record: EndpointRecord): void {
    const hasRestarted =
      record.startedAtMs !== this.record.startedAtMs || record.address !== this.record.address;
    this.record = record;
    if (!hasRestarted) return;
    this.cacheEstimate.clear();
    this.#load = undefined;
    this.failureShare = 0;
    this.resetBackoff();
  }

  /** Takes a load report. */
  recordLoad(report: LoadReport): void {
    this.#load = {report, atMs: this.#clock.now(), known: this.#knownRequestCount};
    if (report.slowness !== undefined) this.recordSlowness(report.slowness);
  }

  /** Takes how long work takes there; 1 is the usual time. */
  recordSlowness(value: number): void {
    this.#slowness = {value: Math.min(MAX_SLOWNESS, value), atMs: this.#clock.now()};
  }

  /** Requests there that this process knows of, its own and those of others. */
  *knownRequests(): Generator<InFlightRequest, void> {
    yield* this.localRequests;
    const fromMs = this.#clock.now() - REMOTE_REQUEST_TIMEOUT_MS;
    for (const [id, flight] of this.remoteRequests) {
      if (flight.sentAtMs < fromMs) this.remoteRequests.delete(id);
      else yield flight;
    }
  }

  get #knownRequestCount(): number {
    return this.localRequests.size + this.remoteRequests.size;
  }

  /** Requests there; those that nobody told of are taken from the last report. */
  get occupancy(): number {
    const known = this.#knownRequestCount;
    const load = this.#load;
    if (load === undefined) return known;
    const ageMs = this.#clock.now() - load.atMs;
    if (ageMs > MAX_LOAD_AGE_MS) return known;
    const others = Math.max(0, load.report.running + load.report.waiting - load.known);
    return known + others * (1 - ageMs / MAX_LOAD_AGE_MS);
  }

  /** How long work takes there; 1 is the usual time. */
  get slowness(): number {
    if (this.#slowness === undefined) return 1;
    if (this.#clock.now() - this.#slowness.atMs > MAX_SLOWNESS_AGE_MS) return 1;
    return Math.max(1, this.#slowness.value);
  }

  /** Whether the endpoint is left out after failures to reach it. */
  get isBackedOff(): boolean {
    return this.#clock.now() < this.#backoffUntilMs;
  }

  /** Leaves the endpoint out for a while; returns for how long, in milliseconds. */
  backOff(): number {
    const limitMs = Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** this.#connectFailures);
    this.#connectFailures += 1;
    this.#backoffUntilMs = this.#clock.now() + limitMs;
    return limitMs;
  }

  /** Notes that the endpoint answers. */
  resetBackoff(): void {
    this.#connectFailures = 0;
    this.#backoffUntilMs = Number.NEGATIVE_INFINITY;
  }

  /** Notes whether an answer was a failure of the endpoint. */
  recordResponse(hasFailed: boolean): void {
    this.failureShare += NEWEST_RESPONSE_WEIGHT * ((hasFailed ? 1 : 0) - this.failureShare);
  }
}
