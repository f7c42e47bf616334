/** Bounds the sends beyond the first of each request to a share of the requests. */
import type {Clock} from '@marigoldfold/runtime';

/** Bounds of the budget. */
export interface WindowedRetryBudgetBounds {
  /** Repeats for each request. */
  readonly ratio: number;
  /** Length of the sliding window, in milliseconds. */
  readonly windowMs: number;
  /** Repeats in a window beyond the ratio, for all processes together. */
  readonly slack: number;
}

/** Part of the ratio that is used: windows of the process and of its judge begin at other moments. */
const RATIO_SAFETY_FACTOR = 0.8;
/** Part of the common slack that one process may use without knowing how many others there are. */
const PROCESS_SLACK_SHARE = 1 / 50;

interface Window {
  /** Times of the requests, in milliseconds. */
  readonly requestTimesMs: number[];
  readonly retryTimesMs: number[];
}

/**
 * The budget of one process, by service. Each process earns from its own requests alone, so that the
 * sum over all processes keeps the ratio without any of them asking another.
 */
export class WindowedRetryBudget {
  readonly #clock: Clock;
  readonly #windows = new Map<string, Window>();
  bounds: WindowedRetryBudgetBounds;

  constructor(clock: Clock, bounds: WindowedRetryBudgetBounds) {
    this.#clock = clock;
    this.bounds = bounds;
  }

  /** Notes a request of a client for a service. */
  recordRequest(service: string): void {
    this.#window(service).requestTimesMs.push(this.#clock.now());
  }

  /** Takes one repeat; false when the budget is spent. */
  trySpend(service: string): boolean {
    if (this.available(service) <= 0) return false;
    this.#window(service).retryTimesMs.push(this.#clock.now());
    return true;
  }

  /** Repeats that are allowed now. */
  available(service: string): number {
    const {requestTimesMs, retryTimesMs} = this.#window(service);
    const earned = this.bounds.ratio * RATIO_SAFETY_FACTOR * requestTimesMs.length;
    return Math.floor(earned + this.bounds.slack * PROCESS_SLACK_SHARE) - retryTimesMs.length;
  }

  /** Services that requests were noted for. */
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
