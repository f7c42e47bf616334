/** Issues the permits to send to one endpoint at the rate that the endpoint takes. */
import type {Clock} from '@marigoldfold/runtime';
import {type BucketLimit, TokenBucket} from '../tokenBucket.js';

/** Rank of a request that needs a permit, and how long it may wait for one. */
export interface PermitRequest {
  /** Lower ranks get permits first. */
  readonly rank: number;
  /** Longest wait, in milliseconds; 0 if the request can go elsewhere. */
  readonly waitMs: number;
}

/** Permission to send one request to an endpoint, or the time in milliseconds after which to ask again. */
export type Permit =
  {readonly isGranted: true} | {readonly isGranted: false; readonly retryAfterMs: number};

/** Permits that may be issued at once after a time without requests. */
const BURST = 2;
/**
 * Lowest rate, in permits per second. Only responses tell that a limit has changed, so that an endpoint with a lower
 * one still gets a request now and then.
 */
const MIN_PER_SECOND = 0.25;
/** At most every eighth permit goes to a rank that has not had one of as many, so that no rank starves. */
const PERMITS_PER_STARVED = 8;

interface WaitingRequest {
  readonly rank: number;
  readonly resolve: (permit: Permit) => void;
  readonly expiry: Disposable;
}

/** Permits of one endpoint; requests wait by rank, and in order of arrival within a rank. */
export class PermitQueue implements Disposable {
  readonly #clock: Clock;
  /** Starts empty, since another instance may just have issued permits. */
  readonly #bucket: TokenBucket;
  #limit: BucketLimit;
  /** In order of arrival. */
  readonly #waiting = new Set<WaitingRequest>();
  #issuedCount = 0;
  /** Value of `#issuedCount` at the last permit of each rank. */
  readonly #lastIssued = new Map<number, number>();
  /** Value of `#issuedCount` at the last permit that went to a rank without any. */
  #starvedIssued = 0;
  #timer: Disposable | undefined;

  constructor(clock: Clock, perSecond: number) {
    this.#clock = clock;
    this.#bucket = new TokenBucket(clock, 0);
    this.#limit = toBucketLimit(perSecond);
  }

  /** Changes the rate, in permits per second. */
  set perSecond(perSecond: number) {
    if (perSecond === this.#limit.ratePerSecond) return;
    this.#bucket.level(this.#limit);
    this.#limit = toBucketLimit(perSecond);
    this.#schedule();
  }

  /** Resolves to a permit at once, after a wait, or to a denial once it is clear that the wait would be too long. */
  request({rank, waitMs}: PermitRequest): Promise<Permit> {
    if (this.#waiting.size === 0 && this.#take(rank)) return Promise.resolve({isGranted: true});
    if (this.#expectedWaitMs(rank) > waitMs) return Promise.resolve(this.#deny());
    return new Promise((resolve) => {
      const expiry = this.#clock.schedule(waitMs, () => {
        this.#waiting.delete(waiting);
        resolve(this.#deny());
      });
      const waiting = {rank, resolve, expiry};
      this.#waiting.add(waiting);
      this.#schedule();
    });
  }

  /** Denies all waiting requests. */
  [Symbol.dispose](): void {
    this.#timer?.[Symbol.dispose]();
    for (const {expiry, resolve} of this.#waiting) {
      expiry[Symbol.dispose]();
      resolve(this.#deny());
    }
    this.#waiting.clear();
  }

  #isStarved(rank: number): boolean {
    const lastIssued = Math.max(this.#lastIssued.get(rank) ?? 0, this.#starvedIssued);
    return this.#issuedCount - lastIssued >= PERMITS_PER_STARVED;
  }

  #take(rank: number): boolean {
    if (!this.#bucket.take(this.#limit, 1)) return false;
    if (this.#isStarved(rank)) this.#starvedIssued = this.#issuedCount;
    this.#issuedCount += 1;
    this.#lastIssued.set(rank, this.#issuedCount);
    return true;
  }

  #deny(): Permit {
    const waitMs = this.#bucket.msUntil(this.#limit, this.#waiting.size + 1);
    const retryAfterMs = Math.max(1, Math.ceil(waitMs));
    return {isGranted: false, retryAfterMs};
  }

  /** The first waiting request of a rank only needs the next permit, since each rank gets some in any case. */
  #expectedWaitMs(rank: number): number {
    const isFirstOfRank = ![...this.#waiting].some((waiting) => waiting.rank === rank);
    const ahead = [...this.#waiting].filter((waiting) => waiting.rank <= rank).length;
    return this.#bucket.msUntil(this.#limit, isFirstOfRank ? 1 : ahead + 1);
  }

  #schedule(): void {
    this.#timer?.[Symbol.dispose]();
    this.#timer = undefined;
    if (this.#waiting.size === 0) return;
    const delayMs = Math.ceil(this.#bucket.msUntil(this.#limit, 1));
    this.#timer = this.#clock.schedule(delayMs, () => {
      this.#issue();
    });
  }

  #issue(): void {
    while (true) {
      const next = this.#selectNext();
      if (next === undefined || !this.#take(next.rank)) break;
      this.#waiting.delete(next);
      next.expiry[Symbol.dispose]();
      next.resolve({isGranted: true});
    }
    this.#schedule();
  }

  #selectNext(): WaitingRequest | undefined {
    let best: WaitingRequest | undefined;
    for (const waiting of this.#waiting) {
      if (this.#isStarved(waiting.rank)) return waiting;
      if (best === undefined || waiting.rank < best.rank) best = waiting;
    }
    return best;
  }
}

function toBucketLimit(perSecond: number): BucketLimit {
  return {ratePerSecond: Math.max(MIN_PER_SECOND, perSecond), capacity: BURST};
}
