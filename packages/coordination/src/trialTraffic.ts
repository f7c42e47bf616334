/** Reduces the traffic to an endpoint at once when it is slower than others, and restores it gradually. */
import type {Clock} from '@marigoldfold/runtime';
import {lowerMedian} from './quantile.js';

/** Ratio of an endpoint's latency to the median of all endpoints from which it counts as slow. */
const SLOW_RATIO = 1.8;
/** Minimum weight of a slow endpoint; the remaining requests detect its recovery. */
const TRIAL_WEIGHT = 0.02;
const RECOVERY_MS = 10_000;

/** Traffic weight of one endpoint; 1 is its full share. */
export class TrafficWeight {
  #weight = 1;
  #updatedAtMs: number;

  constructor(private readonly clock: Clock) {
    this.#updatedAtMs = clock.now();
  }

  /** Whether the endpoint gets only trial traffic or is still recovering. */
  get isReduced(): boolean {
    return this.#weight < 1;
  }

  /** Current weight, from 0 to 1. */
  get value(): number {
    return this.#weight;
  }

  /** Updates the weight from the current ratio of the endpoint's latency to the median of its peers. */
  update(slowdown: number): void {
    const now = this.clock.now();
    const elapsedMs = now - this.#updatedAtMs;
    this.#updatedAtMs = now;
    if (slowdown >= SLOW_RATIO) this.#weight = TRIAL_WEIGHT;
    else this.#weight = Math.min(1, this.#weight + elapsedMs / RECOVERY_MS);
  }
}

/** Ratio of each time to the median of all times; 1 for unknown times, or if fewer than two are known. */
export function computeSlowdowns(times: readonly (number | undefined)[]): readonly number[] {
  const known = times.filter((time) => time !== undefined);
  const median = known.length < 2 ? undefined : lowerMedian(known);
  return times.map((time) =>
    time === undefined || median === undefined || median <= 0 ? 1 : time / median,
  );
}
