/** Bounds the sends beyond the first of each request to a share of the requests. */
import type {Clock} from '@marigoldfold/runtime';

/** Bounds of the budget. */
export interface RepeatBudgetBounds {
  /** Repeats for each request. */
  readonly ratio: number;
  /** Length of the sliding window, in milliseconds. */
  readonly windowMs: number;
  /** Repeats in a window beyond the ratio, for all processes together. */
  readonly slack: number;
}

/** Part of the ratio that is used: windows of the process and of its judge begin at other moments. */
const USED_RATIO = 0.8;
/** Part of the common slack that one process may use without knowing how many others there are. */
const SLACK_SHARE = 1 / 50;

interface Window {
  /** Times of the requests, in milliseconds. */
  readonly requests: number[];
  readonly repeats: number[];
}

/**
 * The budget of one process, by service. Each process earns from its own requests alone, so that the
 * sum over all processes keeps the ratio without any of them asking another.
 */
export class RepeatBudget {
  readonly #clock: Clock;
  readonly #windows = new Map<string, Window>();
  bounds: RepeatBudgetBounds;

  constructor(clock: Clock, bounds: RepeatBudgetBounds) {
    this.#clock = clock;
    this.bounds = bounds;
  }

  /** Notes a request of a client for a service. */
  earn(service: string): void {
    this.#window(service).requests.push(this.#clock.now());
  }

  /** Takes one repeat; false when the budget is spent. */
  spend(service: string): boolean {
    if (this.left(service) <= 0) return false;
    this.#window(service).repeats.push(this.#clock.now());
    return true;
  }

  /** Repeats that are allowed now. */
  left(service: string): number {
    const {requests, repeats} = this.#window(service);
    const earned = this.bounds.ratio * USED_RATIO * requests.length;
    return Math.floor(earned + this.bounds.slack * SLACK_SHARE) - repeats.length;
  }

  /** Services that requests were noted for. */
  get services(): Iterable<string> {
    return this.#windows.keys();
  }

  #window(service: string): Window {
    let window = this.#windows.get(service);
    if (window === undefined) {
      window = {requests: [], repeats: []};
      this.#windows.set(service, window);
    }
    const fromMs = this.#clock.now() - this.bounds.windowMs;
    dropBefore(window.requests, fromMs);
    dropBefore(window.repeats, fromMs);
    return window;
  }
}

function dropBefore(times: number[], fromMs: number): void {
  let count = 0;
  while (count < times.length && (times[count] ?? 0) < fromMs) count += 1;
  if (count > 0) times.splice(0, count);
}
