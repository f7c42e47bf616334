/** The newest samples of a measurement. */

/** Keeps a fixed number of samples; a newer one takes the place of the oldest. */
export class RecentSamples {
  readonly #samples: Float64Array;
  #count = 0;
  #next = 0;
  /** The samples in order, until another one comes. */
  #sorted: Float64Array | undefined;

  constructor(capacity: number) {
    this.#samples = new Float64Array(capacity);
  }

  /** Number of samples that are kept. */
  get count(): number {
    return this.#count;
  }

  /** Adds a sample. */
  add(value: number): void {
    this.#samples[this.#next] = value;
    this.#next = (this.#next + 1) % this.#samples.length;
    this.#count = Math.min(this.#samples.length, this.#count + 1);
    this.#sorted = undefined;
  }

  /** Forgets all samples. */
  clear(): void {
    this.#count = 0;
    this.#next = 0;
    this.#sorted = undefined;
  }

  /** The sample that a part of all samples does not exceed; 0 when there is none. */
  quantile(part: number): number {
    this.#sorted ??= this.#samples.slice(0, this.#count).sort();
    const index = Math.min(this.#count - 1, Math.floor(part * this.#count));
    return this.#sorted[index] ?? 0;
  }
}
