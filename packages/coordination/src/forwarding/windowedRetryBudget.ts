/** Limits retries to a fraction of the client requests; each send after a request's first is a retry. */
import type {Clock} from '@marigoldfold/runtime';

/** Ratio, window and allowance that bound the retries of a service. */
export interface WindowedRetryBudgetBounds {
  /** Maximum retries per client request in a window, for example 0.1. */
  readonly ratio: number;
  /** Length of the sliding window, in milliseconds. */
  readonly windowMs: number;
  /** Retries per window beyond the ratio, for all processes together. */
  readonly slack: number;
}

/** Fraction of the ratio that is used; the margin allows for checkers whose windows start at other times. */
const RATIO_SAFETY_FACTOR = 0.8;
/** Fraction of `slack` that one process may use; the number of processes is not known to it. */
const PROCESS_SLACK_SHARE = 1 / 50;

interface Window {
  readonly requestTimesMs: number[];
  readonly retryTimesMs: number[];
}

/**
 * Retry budget of one process, kept separately for each service. As each process keeps the ratio for its own
 * requests, all processes together keep it without coordination.
 */
export class WindowedRetryBudget {
  readonly #clock: Clock;
  readonly #windows = new Map<string, Window>();
  bounds: WindowedRetryBudgetBounds;

  constructor(clock: Clock, bounds: WindowedRetryBudgetBounds) {
    this.#clock = clock;
    this.bounds = bounds;
  }

  /** Records a client request for a service, which adds `ratio` retries to its budget. */
  recordRequest(service: string): void {
    this.#window(service).requestTimesMs.push(this.#clock.now());
  }

  /** Takes one retry from the budget of a service; returns false if none is left. */
  takeRetry(service: string): boolean {
    if (this.available(service) <= 0) return false;
    this.#window(service).retryTimesMs.push(this.#clock.now());
    return true;
  }

  /** Number of retries that a service may make now; 0 or less when the budget is spent. */
  available(service: string): number {
    const {requestTimesMs, retryTimesMs} = this.#window(service);
    const byRatio = this.bounds.ratio * RATIO_SAFETY_FACTOR * requestTimesMs.length;
    return Math.floor(byRatio + this.bounds.slack * PROCESS_SLACK_SHARE) - retryTimesMs.length;
  }

  /** Names of services with recorded requests. */
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
