/**
 * Division of an account's limit within a region. A small fraction is split evenly among the entries for use
 * without coordination; the account's home holds the rest and grants it on demand.
 */
import type {Account} from '@marigoldfold/state';
import type {BucketLimit} from './tokenBucket.js';

/** Fraction of a limit that all entries together may use without a grant, if there are several. */
export const LOCAL_LIMIT_FRACTION = 0.1;

/** Usual validity of a grant, in milliseconds. */
export const GRANT_PERIOD_MS = 2000;

/** Part of an account's limits: requests per second, burst and requests in flight. */
export interface AccountLimit extends BucketLimit {
  readonly concurrency: number;
}

/** Share that one entry may use without a grant; the whole limit if it is the only entry. */
export function computeEntryShare(account: Account, entries: number): AccountLimit {
  return scaleLimit(account, (entries > 1 ? LOCAL_LIMIT_FRACTION : 1) / entries);
}

/** Share that an entry may use while the home is unreachable: an equal part of the whole limit. */
export function computeFallbackShare(account: Account, entries: number): AccountLimit {
  return scaleLimit(account, 1 / entries);
}

/** Share that the home grants to entries: the limit without `LOCAL_LIMIT_FRACTION`. */
export function computeHomeShare(account: Account): AccountLimit {
  return scaleLimit(account, 1 - LOCAL_LIMIT_FRACTION);
}

function scaleLimit(
  {requestsPerSecond, burst, concurrency}: Account,
  fraction: number,
): AccountLimit {
  // Each share allows at least one request; otherwise accounts with small limits could never use their shares.
  return {
    ratePerSecond: requestsPerSecond * fraction,
    capacity: Math.max(1, burst * fraction),
    concurrency: Math.max(1, Math.floor(concurrency * fraction)),
  };
}

/** Fraction of a limit reserved for the top tier, so that the account's lower tiers cannot starve it. */
const TOP_TIER_FRACTION = 0.25;
/** Minimum limit, in requests, from which a part is reserved for the top tier. */
const MIN_RESERVABLE_LIMIT = 4;

/** Number of requests within a limit that are reserved for the top tier. */
export function computeTopTierReserve(limit: number): number {
  return limit >= MIN_RESERVABLE_LIMIT ? Math.floor(limit * TOP_TIER_FRACTION) : 0;
}
