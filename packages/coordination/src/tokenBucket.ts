/** A token bucket whose rate and capacity are given at each use, because they change with the configuration. */
import type {Clock} from '@marigoldfold/runtime';

const MS_PER_SECOND = 1000;

/** Rate and capacity of a bucket. */
export interface BucketLimit {
  readonly ratePerSecond: number;
  readonly capacity: number;
}

/** A token bucket. */
export class TokenBucket {
  readonly #clock: Clock;
  #tokens: number;
  #updatedAtMs: number;

  constructor(clock: Clock, tokens: number) {
    this.#clock = clock;
    this.#tokens = tokens;
    this.#updatedAtMs = clock.now();
  }

  /** The tokens in the bucket now; a negative number is owed. */
  level({ratePerSecond, capacity}: BucketLimit): number {
    const now = this.#clock.now();
    const earned = (Math.max(0, now - this.#updatedAtMs) / MS_PER_SECOND) * ratePerSecond;
    this.#updatedAtMs = now;
    this.#tokens = Math.min(capacity, this.#tokens + earned);
    return this.#tokens;
  }

  /** Takes tokens if the bucket does not fall below a floor; false leaves it as it was. */
  take(size: BucketLimit, tokens: number, floor = 0): boolean {
    if (this.level(size) - tokens < floor) return false;
    this.#tokens -= tokens;
    return true;
  }

  /** Pays what is owed from other tokens and returns how many it took. */
  repay(size: BucketLimit, tokens: number): number {
    const owed = Math.min(tokens, Math.max(0, Math.ceil(-this.level(size))));
    this.#tokens += owed;
    return owed;
  }

  /** Milliseconds until the bucket holds a number of tokens. */
  msUntil(size: BucketLimit, tokens: number): number {
    const missing = tokens - this.level(size);
    return missing <= 0 ? 0 : (missing / size.ratePerSecond) * MS_PER_SECOND;
  }
}
