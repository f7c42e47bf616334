/** Mean time to first token of each class, so that endpoints that process different classes can be compared. */

const SMOOTHING = 0.05;

/** Exponentially weighted mean of the time to first token, one value per class. */
export class ClassBaseline {
  readonly #meanMs = new Map<string, number>();

  /** Records a time to first token and returns its ratio to the previous mean of the class. */
  observeRatio(className: string, ms: number): number {
    const before = this.#meanMs.get(className) ?? ms;
    this.#meanMs.set(className, before + SMOOTHING * (ms - before));
    return before > 0 ? ms / before : 1;
  }

  /** Drops classes that are not in `classNames`. */
  retain(classNames: ReadonlySet<string>): void {
    for (const name of this.#meanMs.keys()) {
      if (!classNames.has(name)) this.#meanMs.delete(name);
    }
  }
}
