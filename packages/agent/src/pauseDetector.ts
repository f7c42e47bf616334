/** Detects process pauses, so readers and requests delayed by one are not treated as abandoned. */

/** Detects a pause by the time between regular checks. */
export class PauseDetector {
  #checkedAtMs: number;
  #resumedAtMs = Number.NEGATIVE_INFINITY;

  constructor(
    startMs: number,
    /** A longer time between two checks is a pause. */
    private readonly limitMs: number,
  ) {
    this.#checkedAtMs = startMs;
  }

  /** Records a check; returns the milliseconds since the end of the last pause, infinite without one. */
  check(nowMs: number): number {
    if (nowMs - this.#checkedAtMs > this.limitMs) this.#resumedAtMs = nowMs;
    this.#checkedAtMs = nowMs;
    return nowMs - this.#resumedAtMs;
  }
}
