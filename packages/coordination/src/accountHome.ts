/**
 * Server side of account limits. One entry of the region, the home of an account, holds the main share of the
 * account's limit and grants it to other entries on demand.
 */
import type {Clock} from '@marigoldfold/runtime';
import {type AccountGrantRequest, type AccountGrant, compactGrant} from '@marigoldfold/protocol';
import type {Account} from '@marigoldfold/state';
import {
  type AccountLimit,
  GRANT_PERIOD_MS,
  computeHomeShare,
  computeTopTierReserve,
} from './accountShares.js';
import type {EntryDirectory} from './entryDirectory.js';
import {TokenBucket} from './tokenBucket.js';

/** Entry directory, account lookup and clock of an account home. */
export interface AccountHomeOptions {
  readonly clock: Clock;
  readonly directory: Pick<EntryDirectory, 'size' | 'changedAtMs' | 'homeOf'>;
  readonly accountOf: (name: string) => Account | undefined;
}

interface Permits {
  readonly count: number;
  readonly expiresAtMs: number;
}

interface Headroom {
  /** Number of requests granted in advance, in addition to those waiting at the entry. */
  readonly extraRequests: number;
  readonly tokens: number;
  readonly permits: number;
}

interface PermitTerms {
  readonly limit: number;
  readonly headroom: number;
  readonly validMs: number;
}

interface HomeState {
  readonly bucket: TokenBucket;
  /** Granted concurrency permits, by entry name. */
  readonly permits: Map<string, Permits>;
}

const MS_PER_SECOND = 1000;
/** An account counts as far below its limit if more than this fraction of its token bucket is left. */
const SLACK_FRACTION = 0.5;
/** Validity of a grant for an account far below its limit, in milliseconds. */
const SLACK_GRANT_MS = 120_000;

/** Grants entries the tokens and permits that they need beyond their own share. */
export class AccountHome {
  readonly #options: AccountHomeOptions;
  readonly #states = new Map<string, HomeState>();

  constructor(options: AccountHomeOptions) {
    this.#options = options;
  }

  /** Number of tracked accounts; idle ones are removed by `sweep`. */
  get size(): number {
    return this.#states.size;
  }

  /**
   * Drops the state of accounts whose home is now another entry. The state would be wrong if the home moved back,
   * since this entry does not know what the other one granted in the meantime.
   */
  dropMovedAccounts(): void {
    for (const name of this.#states.keys()) {
      if (this.#options.directory.homeOf(name) !== undefined) this.#states.delete(name);
    }
  }

  /**
   * Grants tokens and permits to an entry; returns undefined if this entry is not the account's home or the
   * account is unknown.
   */
  grant(entry: string, request: AccountGrantRequest): AccountGrant | undefined {
    const {directory, accountOf} = this.#options;
    const account = accountOf(request.account);
    if (account === undefined || directory.homeOf(request.account) !== undefined) return undefined;
    const state = this.#state(request.account, account);
    const limit = computeHomeShare(account);
    const headroom = this.#headroom(state, account, limit);
    const available = Math.max(0, Math.floor(state.bucket.level(limit)));
    const urgent = Math.min(available, Math.ceil(request.urgent ?? 0));
    const others = Math.max(0, available - urgent - computeTopTierReserve(limit.capacity));
    const wanted = Math.ceil(request.tokens);
    const tokens =
      urgent + Math.min(others, Math.max(wanted + headroom.extraRequests, headroom.tokens));
    state.bucket.take(limit, tokens);
    const isSlack =
      headroom.extraRequests > 0 &&
      wanted <= Math.max(1, headroom.tokens) &&
      (request.permits ?? 0) <= headroom.permits;
    const validMs = isSlack ? SLACK_GRANT_MS : GRANT_PERIOD_MS;
    const permits = this.#grantPermits(state, entry, request, {
      limit: limit.concurrency,
      headroom: headroom.permits,
      validMs,
    });
    const next = computeTopTierReserve(limit.capacity) + 1;
    const retryAfterMs = Math.ceil(state.bucket.msUntil(limit, next));
    return compactGrant({tokens, permits, validMs, retryAfterMs});
  }

  /**
   * Tokens and permits that an entry may hold in advance, for `SLACK_GRANT_MS`, if the account is far below its
   * limit. All entries together hold at most the tokens of one grant period.
   */
  #headroom({bucket}: HomeState, account: Account, limit: AccountLimit): Headroom {
    if (bucket.level(limit) <= limit.capacity * SLACK_FRACTION)
      return {extraRequests: 0, tokens: 0, permits: 0};
    const entries = this.#options.directory.size;
    const perPeriod = (account.requestsPerSecond * GRANT_PERIOD_MS) / MS_PER_SECOND;
    return {
      extraRequests: 1,
      tokens: Math.floor(perPeriod / entries),
      permits: Math.floor((limit.concurrency * SLACK_FRACTION) / entries),
    };
  }

  #grantPermits(
    state: HomeState,
    entry: string,
    request: AccountGrantRequest,
    terms: PermitTerms,
  ): number {
    const {clock, directory} = this.#options;
    const now = clock.now();
    // A new home issues no further permits until every entry has reported the permits that it holds.
    const isNew = now - directory.changedAtMs < GRANT_PERIOD_MS;
    const wanted = isNew ? (request.held ?? 0) : Math.max(request.permits ?? 0, terms.headroom);
    const count = Math.max(0, Math.min(wanted, terms.limit - permitsOfOthers(state, entry, now)));
    if (count === 0) state.permits.delete(entry);
    else state.permits.set(entry, {count, expiresAtMs: now + terms.validMs});
    return count;
  }

  #state(name: string, account: Account): HomeState {
    const existing = this.#states.get(name);
    if (existing !== undefined) return existing;
    const {clock, directory} = this.#options;
    // The previous home may have granted all tokens up to the last change of the list of entries.
    const limit = computeHomeShare(account);
    const sinceChangeMs = clock.now() - directory.changedAtMs;
    const refilled = (limit.ratePerSecond * sinceChangeMs) / MS_PER_SECOND;
    const bucket = new TokenBucket(clock, Math.min(limit.capacity, refilled));
    const state = {bucket, permits: new Map<string, Permits>()};
    this.#states.set(name, state);
    return state;
  }

  /** Removes expired permits, and accounts whose state equals the initial state. */
  sweep(): void {
    const {clock, accountOf} = this.#options;
    const now = clock.now();
    for (const [name, {bucket, permits}] of this.#states) {
      for (const [entry, {expiresAtMs}] of permits) {
        if (expiresAtMs <= now) permits.delete(entry);
      }
      const account = accountOf(name);
      if (account === undefined) this.#states.delete(name);
      else if (permits.size === 0) {
        const limit = computeHomeShare(account);
        if (bucket.level(limit) >= limit.capacity) this.#states.delete(name);
      }
    }
  }
}

function permitsOfOthers({permits}: HomeState, entry: string, now: number): number {
  let total = 0;
  for (const [holder, {count, expiresAtMs}] of permits) {
    if (holder !== entry && expiresAtMs > now) total += count;
  }
  return total;
}
