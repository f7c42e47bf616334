/**
 * How the limit of an account is divided in a region. One part is split evenly among the entries, which
 * use it without asking anybody; the rest is held by the account's home, which grants it on demand.
 */
import type {Account} from '@marigoldfold/state';
import type {BucketSize} from './tokenBucket.js';

/** Part of the limit that entries use without asking, when there are several. */
export const UNASKED_PART = 0.1;

/** Milliseconds that a grant holds. */
export const GRANT_PERIOD_MS = 2000;

/** The limits of one side. */
export interface AccountLimit extends BucketSize {
  readonly concurrency: number;
}

/** What one of several entries may use without asking. */
export function entryShare(account: Account, entries: number): AccountLimit {
  return divide(account, (entries > 1 ? UNASKED_PART : 1) / entries);
}

/** What an entry may use while it cannot reach the home. */
export function fallbackShare(account: Account, entries: number): AccountLimit {
  return divide(account, 1 / entries);
}

/** What the home has to grant. */
export function homePart(account: Account): AccountLimit {
  return divide(account, 1 - UNASKED_PART);
}

function divide({requestsPerSecond, burst, concurrency}: Account, part: number): AccountLimit {
  // One request must always fit, or accounts with small limits could never use their share.
  return {
    ratePerSecond: requestsPerSecond * part,
    capacity: Math.max(1, burst * part),
    concurrency: Math.max(1, Math.floor(concurrency * part)),
  };
}
