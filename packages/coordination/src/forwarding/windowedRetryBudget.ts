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

/** Fraction of the ratio and of the slack that is used; the margin allows for checkers whose windows start at other times. */
const SAFETY_FACTOR = 0.8;
/** Number of processes assumed to share `slack` before any is known. */
const ASSUMED_PROCESS_COUNT = 50;
/** Time for which a process that is no longer seen counts, in milliseconds: it may only have lost the store. */
const PROCESS_MEMORY_MS = 30_000;

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
  /** Number of processes that share the budget; undefined before the first one is recorded. */
  #processCount: number | undefined;
  /** Earlier numbers of processes that still count, with the time until which they do. */
  #earlierCounts: readonly {readonly count: number; readonly untilMs: number}[] = [];

  constructor(clock: Clock, bounds: WindowedRetryBudgetBounds) {
    this.#clock = clock;
    this.bounds = bounds;
  }

  /** Records a client request for a service, which adds `ratio` retries to its budget. */
  recordRequest(service: string): void {
    this.#window(service).requestTimesMs.push(this.#clock.now());
  }

  /**
   * Records how many processes, including this one, are seen to share the budget. The largest recent number counts,
   * so that processes which do not see each other for a while do not spend more than the whole together.
   */
  recordProcessCount(count: number): void {
    if (count === this.#processCount) return;
    if (this.#processCount !== undefined) {
      const untilMs = this.#clock.now() + PROCESS_MEMORY_MS;
      const earlier = {count: this.#processCount, untilMs};
      this.#earlierCounts = [...this.#unexpiredCounts(), earlier];
    }
    this.#processCount = count;
  }

  #unexpiredCounts() {
    return this.#earlierCounts.filter(({untilMs}) => untilMs > this.#clock.now());
  }

  /** Part of the slack that this process may use. */
  get #slackShare(): number {
    if (this.#processCount === undefined) return 1 / ASSUMED_PROCESS_COUNT;
    const counts = this.#unexpiredCounts().map(({count}) => count);
    return SAFETY_FACTOR / Math.max(this.#processCount, ...counts);
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
    const byRatio = this.bounds.ratio * SAFETY_FACTOR * requestTimesMs.length;
    return Math.floor(byRatio + this.bounds.slack * this.#slackShare) - retryTimesMs.length;
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
