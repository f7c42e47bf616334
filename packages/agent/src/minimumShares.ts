/** Tracks guaranteed minimum shares of slot time with a deficit counter per tier. */
import {tierCount} from '@marigoldfold/protocol';
import type {Configuration} from '@marigoldfold/state';

/** Share of the service time by tier, from 0 to 1; a missing or zero share guarantees nothing. */
export type TierShares = readonly number[];

/** Slot usage of the endpoint over an interval; lists have one item per tier. */
export interface Occupancy {
  readonly running: readonly number[];
  readonly queued: readonly number[];
  readonly window: number;
}

/** Bounds a deficit to the slot time that a share accrues in this period. */
const MAX_DEFICIT_MS = 10_000;

/**
 * A tier keeps its guarantee until it has received this much slot time more than its share, so the share is a
 * minimum rather than a mean.
 */
const SHARE_LEAD_MS = 3000;

/** Tracks the slot time that each tier has received against its guaranteed share. */
export class MinimumShares {
  readonly #shares: () => TierShares;
  readonly #deficits = Array<number>(tierCount).fill(0);
  #updatedAtMs: number;

  constructor(shares: () => TierShares, nowMs: number) {
    this.#shares = shares;
    this.#updatedAtMs = nowMs;
  }

  /** Updates the deficits for the time since the last call, during which the occupancy was constant. */
  advance(nowMs: number, {running, queued, window}: Occupancy): void {
    const elapsedMs = nowMs - this.#updatedAtMs;
    this.#updatedAtMs = nowMs;
    // While the window shrinks, more requests run than it admits.
    const slots = Math.max(window, sum(running));
    for (const [tier, share] of this.#shares().entries()) {
      const runningCount = running[tier] ?? 0;
      const isIdle = runningCount === 0 && (queued[tier] ?? 0) === 0;
      const guaranteedMs = share * slots * elapsedMs;
      const deficit = this.#deficits[tier] ?? 0;
      const limit = share * slots * MAX_DEFICIT_MS;
      const updated = deficit + guaranteedMs - runningCount * elapsedMs;
      this.#deficits[tier] = isIdle
        ? decayTowardsZero(deficit, guaranteedMs)
        : Math.max(-limit, Math.min(limit, updated));
    }
  }

  /** Whether a tier with a guaranteed share has received less slot time than this share plus `SHARE_LEAD_MS`. */
  isBelowShare(tier: number): boolean {
    return (this.#shares()[tier] ?? 0) > 0 && (this.#deficits[tier] ?? 0) > -SHARE_LEAD_MS;
  }

  /** Number of slots of a tier that are protected from preemption; 0 once it has received its share. */
  guaranteedSlots(tier: number, window: number): number {
    if (!this.isBelowShare(tier)) return 0;
    return Math.ceil((this.#shares()[tier] ?? 0) * window);
  }
}

function sum(counts: readonly number[]): number {
  return counts.reduce((total, count) => total + count, 0);
}

/** Reduces the deficit or surplus of a tier without requests, so an idle tier accumulates no service time. */
function decayTowardsZero(deficit: number, step: number): number {
  return deficit > 0 ? Math.max(0, deficit - step) : Math.min(0, deficit + step);
}

/** The guaranteed share of each tier in an endpoint set: the largest among its classes. */
export function computeTierShares(configuration: Configuration, set: string): TierShares {
  const shares = Array<number>(tierCount).fill(0);
  for (const {tier, guaranteedShare, endpointSets} of configuration.all('class').values()) {
    if (endpointSets.includes(set)) shares[tier] = Math.max(shares[tier] ?? 0, guaranteedShare);
  }
  return shares;
}
