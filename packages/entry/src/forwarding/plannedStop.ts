/** Tells the requests of a process when a planned stop ends it. */

/** A planned stop, once it has begun. */
export class PlannedStop {
  readonly #onEnd = new Set<() => void>();
  /** Clock time in milliseconds at which requests in flight are ended; infinite before a stop. */
  endsAtMs = Number.POSITIVE_INFINITY;

  /** Calls back when requests in flight are ended, unless disposed of before. */
  onEnd(callback: () => void): Disposable {
    this.#onEnd.add(callback);
    return {
      [Symbol.dispose]: () => {
        this.#onEnd.delete(callback);
      },
    };
  }

  /** Ends the requests in flight, so that they answer their clients before the process ends. */
  end(): void {
    for (const callback of [...this.#onEnd]) callback();
  }
}
