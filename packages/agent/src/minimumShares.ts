/** Guaranteed minimum shares of service time, kept by a deficit for each tier. */
import {tierCount} from '@marigoldfold/protocol';
import type {Configuration} from '@marigoldfold/state';

/** Share of each tier; a missing or zero share guarantees nothing. */
export type TierShares = readonly number[];

/** What happens at the endpoint while time goes by; lists have one item for each tier. */
export interface Occupancy {
  readonly running: readonly number[];
  readonly queued: readonly number[];
  readonly window: number;
}

/** A deficit never exceeds what a share gives in this time. */
const MAX_DEFICIT_MS = 10_000;

/** A tier is served this far ahead, so that its share is a minimum and not a mean. */
const SHARE_LEAD_MS = 3000;

/** Keeps account of the slot time that tiers are owed. */
export class MinimumShares {
  readonly #shares: () => TierShares;
  readonly #deficits = Array<number>(tierCount).fill(0);
  #updatedAtMs: number;

  constructor(shares: () => TierShares, nowMs: number) {
    this.#shares = shares;
    this.#updatedAtMs = nowMs;
  }

  /** Accounts for the time since the last call, in which the occupancy was the same. */
  advance(nowMs: number, {running, queued, window}: Occupancy): void {
    const elapsedMs = nowMs - this.#updatedAtMs;
    this.#updatedAtMs = nowMs;
    // More than the window runs while it shrinks.
    const slots = Math.max(window, sum(running));
    for (const [tier, share] of this.#shares().entries()) {
      const runningCount = running[tier] ?? 0;
      const isIdle = runningCount === 0 && (queued[tier] ?? 0) === 0;
      const guaranteedMs = share * slots * elapsedMs;
      const before = this.#deficits[tier] ?? 0;
      const limit = share * slots * MAX_DEFICIT_MS;
      const after = before + guaranteedMs - runningCount * elapsedMs;
      this.#deficits[tier] = isIdle
        ? decayTowardsZero(before, guaranteedMs)
        : Math.max(-limit, Math.min(limit, after));
    }
  }

  /** Whether a tier has had less than its share, or soon will have. */
  isBelowShare(tier: number): boolean {
    return (this.#shares()[tier] ?? 0) > 0 && (this.#deficits[tier] ?? 0) > -SHARE_LEAD_MS;
  }

  /** Number of slots that a tier may hold against preemption; none when it has had its share. */
  guaranteedSlots(tier: number, window: number): number {
    if (!this.isBelowShare(tier)) return 0;
    return Math.ceil((this.#shares()[tier] ?? 0) * window);
  }
}

function sum(counts: readonly number[]): number {
  return counts.reduce((total, count) => total + count, 0);
}

/** A tier without work has nothing to be owed, and is forgiven what it had too much. */
function decayTowardsZero(deficit: number, step: number): number {
  return deficit > 0 ? Math.max(0, deficit - step) : Math.min(0, deficit + step);
}

/** The shares that the classes of an endpoint set have. */
export function tierShares(configuration: Configuration, set: string): TierShares {
  const shares = Array<number>(tierCount).fill(0);
  for (const {tier, guaranteedShare, endpointSets} of configuration.all('class').values()) {
    if (endpointSets.includes(set)) shares[tier] = Math.max(shares[tier] ?? 0, guaranteedShare);
  }
  return shares;
}
