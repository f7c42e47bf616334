/** Estimates how long a new request waits until it starts. */
import {tierCount} from '@marigoldfold/protocol';

/** What stands before a new request. */
export interface Backlog {
  /** Requests that run and keep their slots. */
  readonly running: number;
  /** Requests that wait and start earlier. */
  readonly queued: number;
  /** Slots that the request and those before it can have. */
  readonly slots: number;
  /** Mean time that a request keeps its slot, in milliseconds. */
  readonly serviceMs: number;
}

const INITIAL_SERVICE_MS = 1000;
const SMOOTHING = 0.1;

/** Keeps the mean service time of each tier. */
export class WaitEstimate {
  readonly #serviceMs = Array<number | undefined>(tierCount).fill(undefined);

  /** Takes the service time of a request that has ended. */
  observe(tier: number, tookMs: number): void {
    const before = this.#serviceMs[tier];
    this.#serviceMs[tier] = before === undefined ? tookMs : before + SMOOTHING * (tookMs - before);
  }

  /** Mean service time of a tier, or of the nearest one that was measured, in milliseconds. */
  serviceMs(tier: number): number {
    for (let distance = 0; distance < tierCount; distance += 1) {
      const found = this.#serviceMs[tier - distance] ?? this.#serviceMs[tier + distance];
      if (found !== undefined) return found;
    }
    return INITIAL_SERVICE_MS;
  }

  /** Mean service time of the requests that run, or of a tier when none does, in milliseconds. */
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

  /** Milliseconds until a new request behind a line starts. */
  waitMs({running, queued, slots, serviceMs}: Backlog): number {
    const free = slots - running;
    if (queued < free) return 0;
    const before = queued - Math.max(0, free) + 1;
    return (before * serviceMs) / Math.max(1, slots);
  }
}
