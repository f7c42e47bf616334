/** Detects pauses of the process, so requests and readers that a pause delayed are not treated as abandoned. */

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

  /** Records a check; returns the milliseconds since the end of the last pause, or Infinity if there was none. */
  check(nowMs: number): number {
    if (nowMs - this.#checkedAtMs > this.limitMs) this.#resumedAtMs = nowMs;
    this.#checkedAtMs = nowMs;
    return nowMs - this.#resumedAtMs;
  }
}
