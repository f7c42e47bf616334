/** Notices that the process was paused, so that what waited meanwhile is not taken for abandoned. */

/** Compares the time between regular checks with their interval. */
export class PauseDetector {
  #checkedAtMs: number;
  #resumedAtMs = Number.NEGATIVE_INFINITY;

  constructor(
    startMs: number,
    /** Checks further apart than this show a pause. */
    private readonly limitMs: number,
  ) {
    this.#checkedAtMs = startMs;
  }

  /** Notes a check; milliseconds since the process went on after its last pause. */
  check(nowMs: number): number {
    if (nowMs - this.#checkedAtMs > this.limitMs) this.#resumedAtMs = nowMs;
    this.#checkedAtMs = nowMs;
    return nowMs - this.#resumedAtMs;
  }
}
