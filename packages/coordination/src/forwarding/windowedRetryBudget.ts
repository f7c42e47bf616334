/** Limits retries, the sends after the first of each request, to a share of the requests. */
import type {Clock} from '@marigoldfold/runtime';

/** Limits of a retry budget. */
export interface WindowedRetryBudgetBounds {
  /** Retries per request. */
  readonly ratio: number;
  /** Length of the sliding window, in milliseconds. */
  readonly windowMs: number;
  /** Retries per window beyond the ratio, for all processes together. */
  readonly slack: number;
}

/** Used fraction of the ratio; the margin covers checkers whose windows start at other moments. */
const RATIO_SAFETY_FACTOR = 0.8;
/** Fraction of the common slack for one process, which has no count of the other processes. */
const PROCESS_SLACK_SHARE = 1 / 50;

interface Window {
  readonly requestTimesMs: number[];
  readonly retryTimesMs: number[];
}

/**
 * Retry budget of one process, by service. Each process counts only its own requests, so the sum over
 * all processes keeps the ratio without coordination.
 */
export class WindowedRetryBudget {
  readonly #clock: Clock;
  readonly #windows = new Map<string, Window>();
  bounds: WindowedRetryBudgetBounds;

  constructor(clock: Clock, bounds: WindowedRetryBudgetBounds) {
    this.#clock = clock;
    this.bounds = bounds;
  }

  /** Records a client request for a service. */
  recordRequest(service: string): void {
    this.#window(service).requestTimesMs.push(this.#clock.now());
  }

  /** Takes one retry; returns false when the budget is used up. */
  takeRetry(service: string): boolean {
    if (this.available(service) <= 0) return false;
    this.#window(service).retryTimesMs.push(this.#clock.now());
    return true;
  }

  /** Number of retries allowed now. */
  available(service: string): number {
    const {requestTimesMs, retryTimesMs} = this.#window(service);
    const byRatio = this.bounds.ratio * RATIO_SAFETY_FACTOR * requestTimesMs.length;
    return Math.floor(byRatio + this.bounds.slack * PROCESS_SLACK_SHARE) - retryTimesMs.length;
  }

  /** Services with recorded requests. */
  get services(): Iterable<string> {
    return this.#windows.keys();
  }

  #window(service: string): Window {
    let window = this.#windows.get(service);
    if (window === undefined) {
      window = {requestTimesMs: [], retryTimesMs: []};
      this.#windows.set(service, window);
    }
    const fromMs = this.#clock.now() - this.bounds.windowMs;
    dropBefore(window.requestTimesMs, fromMs);
    dropBefore(window.retryTimesMs, fromMs);
    return window;
  }
}

function dropBefore(times: number[], fromMs: number): void {
  let count = 0;
  while (count < times.length && (times[count] ?? 0) < fromMs) count += 1;
  if (count > 0) times.splice(0, count);
}
