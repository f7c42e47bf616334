/** Estimates the queueing delay of a new request. */
import {tierCount} from '@marigoldfold/protocol';

/** The requests ahead of a new request. */
export interface Backlog {
  /** Running requests that keep their slots. */
  readonly running: number;
  /** Waiting requests that start earlier. */
  readonly queued: number;
  /** Slots available to the request and those ahead of it. */
  readonly slots: number;
  /** Mean time that a request occupies a slot, in milliseconds. */
  readonly serviceMs: number;
}

const INITIAL_SERVICE_MS = 1000;
const SMOOTHING = 0.1;

/** Exponentially weighted mean service time of each tier. */
export class WaitEstimate {
  readonly #serviceMs = Array<number | undefined>(tierCount).fill(undefined);

  /** Records the service time of an ended request in milliseconds. */
  observe(tier: number, serviceMs: number): void {
    const previous = this.#serviceMs[tier];
    this.#serviceMs[tier] =
      previous === undefined ? serviceMs : previous + SMOOTHING * (serviceMs - previous);
  }

  /** Mean service time of a tier, or of the nearest tier with samples, in milliseconds. */
  serviceMs(tier: number): number {
    for (let distance = 0; distance < tierCount; distance += 1) {
      const found = this.#serviceMs[tier - distance] ?? this.#serviceMs[tier + distance];
      if (found !== undefined) return found;
    }
    return INITIAL_SERVICE_MS;
  }

  /** Mean service time of the running requests, or of `tier` when none runs, in milliseconds. */
  meanServiceMs(runningByTier: readonly number[], tier: number): number {
    let sum = 0;
    let count = 0;
    for (const [other, runningCount] of runningByTier.entries()) {
      if (runningCount === 0) continue;
      sum += runningCount * this.serviceMs(other);
      count += runningCount;
    }
    return count === 0 ? this.serviceMs(tier) : sum / count;
  }

  /** Estimated wait in milliseconds; 0 when a slot is free. */
  waitMs({running, queued, slots, serviceMs}: Backlog): number {
    const freeSlots = slots - running;
    if (queued < freeSlots) return 0;
    const ahead = queued - Math.max(0, freeSlots) + 1;
    return (ahead * serviceMs) / Math.max(1, slots);
  }
}
