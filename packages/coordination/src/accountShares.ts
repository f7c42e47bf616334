/**
 * How the limit of an account is divided in a region. One part is split evenly among the entries, which
 * use it without asking anybody; the rest is held by the account's home, which grants it on demand.
 */
import type {Account} from '@marigoldfold/state';
import type {BucketLimit} from './tokenBucket.js';

/** Part of the limit that entries use without asking, when there are several. */
export const LOCAL_FRACTION = 0.1;

/** Milliseconds that a grant holds. */
export const GRANT_PERIOD_MS = 2000;

/** The limits of one side. */
export interface AccountLimit extends BucketLimit {
  readonly concurrency: number;
}

/** What one of several entries may use without asking. */
export function entryShare(account: Account, entries: number): AccountLimit {
  return scaleLimit(account, (entries > 1 ? LOCAL_FRACTION : 1) / entries);
}

/** What an entry may use while it cannot reach the home. */
export function fallbackShare(account: Account, entries: number): AccountLimit {
  return scaleLimit(account, 1 / entries);
}

/** What the home has to grant. */
export function homeShare(account: Account): AccountLimit {
  return scaleLimit(account, 1 - LOCAL_FRACTION);
}

function scaleLimit({requestsPerSecond, burst, concurrency}: Account, part: number): AccountLimit {
  // One request must always fit, or accounts with small limits could never use their share.
  return {
    ratePerSecond: requestsPerSecond * part,
    capacity: Math.max(1, burst * part),
    concurrency: Math.max(1, Math.floor(concurrency * part)),
  };
}

/** Part of a limit that only the top tier may use, so that an account's other work cannot crowd it out. */
const TOP_TIER_FRACTION = 0.25;
/** Smaller limits have no part to spare. */
const MIN_RESERVABLE_LIMIT = 4;

/** What other tiers must leave of a number of requests. */
export function topTierReserve(limit: number): number {
  return limit >= MIN_RESERVABLE_LIMIT ? Math.floor(limit * TOP_TIER_FRACTION) : 0;
}
