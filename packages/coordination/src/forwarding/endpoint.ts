/** What this process knows of one endpoint. */
import type {Clock} from '@marigoldfold/runtime';
import type {EndpointRecord} from '@marigoldfold/state';
import {ArrivalRate} from './arrivalRate.js';
import type {Flight} from './flight.js';
import type {LoadReport} from './loadReport.js';
import {PromptResidency} from './promptResidency.js';

/** Time after which a report of slowness says nothing any more: neighbours change several times a second. */
const SLOWNESS_AGE_LIMIT_MS = 400;
/** Time after which a request of another process is taken to have ended if nothing told so, in milliseconds. */
export const REMOTE_FLIGHT_LIMIT_MS = 10_000;
/** Time after which a report of load says nothing any more, in milliseconds. */
const LOAD_AGE_LIMIT_MS = 1500;
/** Neighbours slow an endpoint down to about this; more comes from prompts that nobody told of. */
const MAX_SLOWNESS = 3;
/** First time that an unreachable endpoint is left out, in milliseconds. */
const MIN_BAR_MS = 250;
/** Longest time that an endpoint is left out before the next trial, in milliseconds. */
const MAX_BAR_MS = 4000;
/** Weight of the newest answer in the share of failures. */
const FAILURE_WEIGHT = 0.1;

/** Time constant with which arrivals of long prompts are followed, in milliseconds: the length of a short stream. */
const LONG_PROMPT_WINDOW_MS = 3000;

/** One endpoint with its requests in flight and its condition. */
export class Endpoint {
  readonly #clock: Clock;
  /** Requests of this process. */
  readonly flights = new Set<Flight>();
  /** Requests of other processes by their ids, as far as they tell. */
  readonly remoteFlights = new Map<string, Flight>();
  readonly residency = new PromptResidency();
  record: EndpointRecord;
  #load: {readonly report: LoadReport; readonly atMs: number; readonly known: number} | undefined;
  #slowness: {readonly value: number; readonly atMs: number} | undefined;
  #failures = 0;
  #barredUntilMs = Number.NEGATIVE_INFINITY;
  /** Share of recent requests that the endpoint failed, from 0 to 1. */
  failureShare = 0;
  /** Long prompts that arrive. */
  readonly longPrompts = new ArrivalRate(LONG_PROMPT_WINDOW_MS);

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
    this.residency.clear();
    this.#load = undefined;
    this.failureShare = 0;
    this.trust();
  }

  /** Takes a load report. */
  observe(report: LoadReport): void {
    this.#load = {report, atMs: this.#clock.now(), known: this.#knownFlights};
    if (report.slowness !== undefined) this.observeSlowness(report.slowness);
  }

  /** Takes how long work takes there; 1 is the usual time. */
  observeSlowness(value: number): void {
    this.#slowness = {value: Math.min(MAX_SLOWNESS, value), atMs: this.#clock.now()};
  }

  /** Requests there that this process knows of, its own and those of others. */
  *knownFlights(): Generator<Flight, void> {
    yield* this.flights;
    const fromMs = this.#clock.now() - REMOTE_FLIGHT_LIMIT_MS;
    for (const [id, flight] of this.remoteFlights) {
      if (flight.sentAtMs < fromMs) this.remoteFlights.delete(id);
      else yield flight;
    }
  }

  get #knownFlights(): number {
    return this.flights.size + this.remoteFlights.size;
  }

  /** Requests there; those that nobody told of are taken from the last report. */
  get occupancy(): number {
    const known = this.#knownFlights;
    const load = this.#load;
    if (load === undefined) return known;
    const ageMs = this.#clock.now() - load.atMs;
    if (ageMs > LOAD_AGE_LIMIT_MS) return known;
    const others = Math.max(0, load.report.running + load.report.waiting - load.known);
    return known + others * (1 - ageMs / LOAD_AGE_LIMIT_MS);
  }

  /** How long work takes there; 1 is the usual time. */
  get slowness(): number {
    if (this.#slowness === undefined) return 1;
    if (this.#clock.now() - this.#slowness.atMs > SLOWNESS_AGE_LIMIT_MS) return 1;
    return Math.max(1, this.#slowness.value);
  }

  /** Whether the endpoint is left out after failures to reach it. */
  get isBarred(): boolean {
    return this.#clock.now() < this.#barredUntilMs;
  }

  /** Leaves the endpoint out for a while; returns for how long, in milliseconds. */
  bar(): number {
    const limitMs = Math.min(MAX_BAR_MS, MIN_BAR_MS * 2 ** this.#failures);
    this.#failures += 1;
    this.#barredUntilMs = this.#clock.now() + limitMs;
    return limitMs;
  }

  /** Notes that the endpoint answers. */
  trust(): void {
    this.#failures = 0;
    this.#barredUntilMs = Number.NEGATIVE_INFINITY;
  }

  /** Notes whether an answer was a failure of the endpoint. */
  noteAnswer(hasFailed: boolean): void {
    this.failureShare += FAILURE_WEIGHT * ((hasFailed ? 1 : 0) - this.failureShare);
  }
}
