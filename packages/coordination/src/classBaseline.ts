/** What time to the first token is usual for each class, so that endpoints with unlike work can be compared. */

const SMOOTHING = 0.05;

/** Means of one entry by class; there are as many as there are classes. */
export class ClassBaseline {
  readonly #meanMs = new Map<string, number>();

  /** Takes a measured time and returns it in proportion to the mean of its class before. */
  observeRatio(className: string, ms: number): number {
    const before = this.#meanMs.get(className) ?? ms;
    this.#meanMs.set(className, before + SMOOTHING * (ms - before));
    return before > 0 ? ms / before : 1;
  }

  /** Forgets classes that no longer exist. */
  retain(classNames: ReadonlySet<string>): void {
    for (const name of this.#meanMs.keys()) {
      if (!classNames.has(name)) this.#meanMs.delete(name);
    }
  }
}
