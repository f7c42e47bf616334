/**
 * Token bucket whose rate and capacity are passed to each
 * call, because they change with the configuration.
 */
import type {Clock} from '@marigoldfold/runtime';

const MS_PER_SECOND = 1000;

/** Refill rate and capacity of a bucket. */
export interface BucketLimit {
  readonly ratePerSecond: number;
  readonly capacity: number;
}

/** Token bucket whose level may become negative (debt), as far as the `floor` of a call allows. */
export class TokenBucket {
  readonly #clock: Clock;
  #tokens: number;
  #updatedAtMs: number;

  constructor(clock: Clock, tokens: number) {
    this.#clock = clock;
    this.#tokens = tokens;
    this.#updatedAtMs = clock.now();
  }

  /** Refills the bucket and returns its tokens; negative when in debt. */
  level({ratePerSecond, capacity}: BucketLimit): number {
    const now = this.#clock.now();
    const refilled = (Math.max(0, now - this.#updatedAtMs) / MS_PER_SECOND) * ratePerSecond;
    this.#updatedAtMs = now;
    this.#tokens = Math.min(capacity, this.#tokens + refilled);
    return this.#tokens;
  }

  /** Takes tokens; if the level would fall below `floor`, takes none and returns false. */
  take(limit: BucketLimit, tokens: number, floor = 0): boolean {
    if (this.level(limit) - tokens < floor) return false;
    this.#tokens -= tokens;
    return true;
  }

  /** Uses up to `tokens` tokens to reduce the debt and returns the number used. */
  repay(limit: BucketLimit, tokens: number): number {
    const repaid = Math.min(tokens, Math.max(0, Math.ceil(-this.level(limit))));
    this.#tokens += repaid;
    return repaid;
  }

  /** Milliseconds until the bucket contains `tokens` tokens. */
  msUntil(limit: BucketLimit, tokens: number): number {
    const missing = tokens - this.level(limit);
    return missing <= 0 ? 0 : (missing / limit.ratePerSecond) * MS_PER_SECOND;
  }
}
