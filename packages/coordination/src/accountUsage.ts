/** Tracks the requests that one entry has admitted for one account and may still admit. */
import type {Clock} from '@marigoldfold/runtime';
import {
  type AccountGrantRequest,
  type AccountGrant,
  compactGrantRequest,
  type Tier,
} from '@marigoldfold/protocol';
import type {Account} from '@marigoldfold/state';
import {
  type AccountLimit,
  computeEntryShare,
  computeFallbackShare,
  GRANT_PERIOD_MS,
  computeTopTierReserve,
} from './accountShares.js';
import {TokenBucket} from './tokenBucket.js';

const MS_PER_SECOND = 1000;
/** Milliseconds for which an entry uses its fallback share after a grant request without a response. */
const FALLBACK_MS = 1000;

/** Period, in milliseconds, for whose expected requests tokens are requested in advance. */
const PREFETCH_MS = GRANT_PERIOD_MS / 2;
const MIN_RATE_WINDOW_MS = 100;
const PERMIT_RETRY_MS = 100;

/** The tier whose requests never wait for a grant. */
export const TOP_TIER: Tier = 0;

interface Grant {
  tokens: number;
  readonly initialTokens: number;
  readonly expiresAtMs: number;
}

interface Permits {
  readonly count: number;
  readonly expiresAtMs: number;
}

const noGrant: Grant = {tokens: 0, initialTokens: 0, expiresAtMs: Number.NEGATIVE_INFINITY};

/** Local share, current grant and permits of one account at one entry. */
export class AccountUsage {
  readonly #clock: Clock;
  readonly #share: TokenBucket;
  #grant: Grant = noGrant;
  #permits: Permits = {count: 0, expiresAtMs: Number.NEGATIVE_INFINITY};
  #fallbackUntilMs = Number.NEGATIVE_INFINITY;
  #deniedUntilMs = Number.NEGATIVE_INFINITY;
  #inFlight = 0;
  /** Granted tokens used since the last grant request. */
  #usedTokens = 0;
  #requestedAtMs = Number.NEGATIVE_INFINITY;
  /** Number of requests waiting for a grant. */
  waitingRequests = 0;
  /** Settles when the grant request in flight completes; undefined if there is none. */
  pendingGrant: Promise<void> | undefined;

  constructor(clock: Clock, account: Account, entries: number) {
    this.#clock = clock;
    this.#share = new TokenBucket(clock, computeEntryShare(account, entries).capacity);
  }

  /** Number of requests in flight. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** Milliseconds until the home can grant tokens again, according to its last response; 0 if it granted enough. */
  get deniedForMs(): number {
    return Math.max(0, this.#deniedUntilMs - this.#clock.now());
  }

  /** Whether at most a quarter of the grant remains, so that the next one should be requested. */
  get isRunningLow(): boolean {
    const {tokens, initialTokens, expiresAtMs} = this.#grant;
    return expiresAtMs > this.#clock.now() && initialTokens > 1 && tokens * 4 <= initialTokens;
  }

  /** Admits a request if a grant or the local share allows it. */
  tryAdmit(account: Account, entries: number, tier: Tier): boolean {
    if (!this.hasPermit(account, entries, tier)) return false;
    if (this.#grant.tokens >= 1 && this.#grant.expiresAtMs > this.#clock.now()) {
      this.#grant.tokens -= 1;
      this.#usedTokens += 1;
    } else {
      const limit = this.#limit(account, entries);
      const floor = tier === TOP_TIER ? 0 : computeTopTierReserve(limit.capacity);
      if (!this.#share.take(limit, 1, floor)) return false;
    }
    this.#inFlight += 1;
    return true;
  }

  /**
   * Admits a top-tier request on credit, up to the tokens of one
   * grant period, while a grant is requested.
   */
  tryAdmitOnCredit(account: Account, entries: number): boolean {
    if (this.#inFlight >= account.concurrency) return false;
    const perPeriod = (account.requestsPerSecond * GRANT_PERIOD_MS) / MS_PER_SECOND;
    const credit = Math.max(1, Math.min(account.burst, perPeriod));
    if (!this.#share.take(this.#limit(account, entries), 1, -credit)) return false;
    this.#inFlight += 1;
    return true;
  }

  /** Records the end of an admitted request, which frees its place under the concurrency limit. */
  release(): void {
    this.#inFlight -= 1;
  }

  /** Whether the concurrency limit allows another request in flight. */
  hasPermit(account: Account, entries: number, tier: Tier): boolean {
    const {count, expiresAtMs} = this.#permits;
    const permits = expiresAtMs > this.#clock.now() ? count : 0;
    const {concurrency} = this.#limit(account, entries);
    const reserve = tier === TOP_TIER ? 0 : computeTopTierReserve(concurrency);
    return this.#inFlight < concurrency - reserve + permits;
  }

  /** Milliseconds until the local share allows another request. */
  shareWaitMs(account: Account, entries: number): number {
    return this.#share.msUntil(this.#limit(account, entries), 1);
  }

  /** Builds a grant request that covers waiting requests, debt, expected requests and permits. */
  buildGrantRequest(name: string, account: Account, entries: number): AccountGrantRequest {
    const limit = this.#limit(account, entries);
    const debt = Math.max(0, -Math.floor(this.#share.level(limit)));
    const held = Math.max(0, this.#inFlight - limit.concurrency);
    const permits = this.#wantedPermits(account, entries);
    const tokens = this.waitingRequests + this.#prefetchTokens(account, entries);
    return compactGrantRequest({account: name, tokens, urgent: debt, permits, held});
  }

  /**
   * Additional tokens needed in the next `PREFETCH_MS` at the current request rate; at most an equal part, per
   * entry, of the account's tokens for one grant period.
   */
  #prefetchTokens(account: Account, entries: number): number {
    const now = this.#clock.now();
    const elapsedMs = Math.max(MIN_RATE_WINDOW_MS, now - this.#requestedAtMs);
    const perPeriod = (account.requestsPerSecond * GRANT_PERIOD_MS) / MS_PER_SECOND;
    const expected = Math.min((this.#usedTokens / elapsedMs) * PREFETCH_MS, perPeriod / entries);
    const remaining = this.#grant.expiresAtMs > now ? this.#grant.tokens : 0;
    return Math.max(0, Math.ceil(expected) - remaining);
  }

  /** Records that a grant request was sent and resets the count of tokens used since. */
  recordGrantRequest(): void {
    this.#requestedAtMs = this.#clock.now();
    this.#usedTokens = 0;
  }

  /**
   * Applies the response to a grant request sent at
   * `requestedAtMs`; undefined switches to the fallback share.
   */
  applyGrant(
    grant: AccountGrant | undefined,
    requestedAtMs: number,
    account: Account,
    entries: number,
  ): void {
    const now = this.#clock.now();
    if (grant === undefined) {
      this.#fallbackUntilMs = now + FALLBACK_MS;
      return;
    }
    this.#fallbackUntilMs = Number.NEGATIVE_INFINITY;
    this.#permits = {count: grant.permits ?? 0, expiresAtMs: requestedAtMs + grant.validMs};
    if (grant.tokens === 0) this.#deniedUntilMs = now + (grant.retryAfterMs ?? 0);
    if ((grant.permits ?? 0) < this.#wantedPermits(account, entries)) {
      this.#deniedUntilMs = Math.max(this.#deniedUntilMs, now + PERMIT_RETRY_MS);
    }
    const expiresAtMs = requestedAtMs + grant.validMs;
    if (expiresAtMs <= now) return;
    const remaining = this.#grant.expiresAtMs > now ? this.#grant.tokens : 0;
    const repaid = this.#share.repay(this.#limit(account, entries), grant.tokens);
    const tokens = remaining + grant.tokens - repaid;
    this.#grant = {tokens, initialTokens: tokens, expiresAtMs};
  }

  /** Whether requests in flight depend on permits that expire within `withinMs`. */
  needsRenewal(account: Account, entries: number, withinMs: number): boolean {
    const {expiresAtMs} = this.#permits;
    if (expiresAtMs - this.#clock.now() > withinMs) return false;
    return this.#inFlight > this.#limit(account, entries).concurrency;
  }

  /** Whether the state equals that of an unused account, so that it can be dropped. */
  isIdle(account: Account, entries: number): boolean {
    if (this.#inFlight > 0 || this.waitingRequests > 0 || this.pendingGrant !== undefined)
      return false;
    if (this.#grant.expiresAtMs > this.#clock.now()) return false;
    const limit = this.#limit(account, entries);
    return this.#share.level(limit) >= limit.capacity;
  }

  #wantedPermits(account: Account, entries: number): number {
    const {concurrency} = this.#limit(account, entries);
    return Math.max(0, this.#inFlight + this.waitingRequests - concurrency);
  }

  #limit(account: Account, entries: number): AccountLimit {
    const isFallback = this.#fallbackUntilMs > this.#clock.now();
    return isFallback
      ? computeFallbackShare(account, entries)
      : computeEntryShare(account, entries);
  }
}
