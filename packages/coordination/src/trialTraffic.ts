/** Share of traffic for an endpoint that is slower than its peers: it falls at once and recovers slowly. */
import type {Clock} from '@marigoldfold/runtime';
import {lowerMedian} from './quantile.js';

/** Slower than the median of its peers by this factor, an endpoint counts as slowed. */
const SLOWED_RATIO = 1.8;
/** Share that a slowed endpoint keeps, so that its recovery is seen. */
const TRIAL_WEIGHT = 0.02;
const RECOVERY_MS = 10_000;

/** The weight of one endpoint: 1 is the full share. */
export class TrafficWeight {
  #weight = 1;
  #updatedAtMs: number;

  constructor(private readonly clock: Clock) {
    this.#updatedAtMs = clock.now();
  }

  /** Whether the endpoint gets trial traffic only, or is still recovering. */
  get isReduced(): boolean {
    return this.#weight < 1;
  }

  /** The share of the choices that may fall on the endpoint, from 0 to 1. */
  get value(): number {
    return this.#weight;
  }

  /** Takes how many times slower than its peers the endpoint is now. */
  update(slowdown: number): void {
    const now = this.clock.now();
    const elapsedMs = now - this.#updatedAtMs;
    this.#updatedAtMs = now;
    if (slowdown >= SLOWED_RATIO) this.#weight = TRIAL_WEIGHT;
    else this.#weight = Math.min(1, this.#weight + elapsedMs / RECOVERY_MS);
  }
}

/** How many times slower than the middle of its peers each one is; 1 where nothing is known. */
export function slowdowns(times: readonly (number | undefined)[]): readonly number[] {
  const known = times.filter((time) => time !== undefined);
  const middle = known.length < 2 ? undefined : lowerMedian(known);
  return times.map((time) =>
    time === undefined || middle === undefined || middle <= 0 ? 1 : time / middle,
  );
}
