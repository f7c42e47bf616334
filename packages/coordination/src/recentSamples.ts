/** Sliding window of the newest samples of a measurement. */

/** Ring buffer of a fixed number of samples. */
export class RecentSamples {
  readonly #samples: Float64Array;
  #count = 0;
  #next = 0;
  /** Cached sorted samples, invalidated by `add`. */
  #sorted: Float64Array | undefined;

  constructor(capacity: number) {
    this.#samples = new Float64Array(capacity);
  }

  /** Number of samples, at most the capacity. */
  get count(): number {
    return this.#count;
  }

  /** Adds a sample; replaces the oldest one when the buffer is full. */
  add(value: number): void {
    this.#samples[this.#next] = value;
    this.#next = (this.#next + 1) % this.#samples.length;
    this.#count = Math.min(this.#samples.length, this.#count + 1);
    this.#sorted = undefined;
  }

  /** Removes all samples. */
  clear(): void {
    this.#count = 0;
    this.#next = 0;
    this.#sorted = undefined;
  }

  /** Quantile for a share from 0 to 1; 0 without samples. */
  quantile(share: number): number {
    this.#sorted ??= this.#samples.slice(0, this.#count).sort();
    const index = Math.min(this.#count - 1, Math.floor(share * this.#count));
    return this.#sorted[index] ?? 0;
  }
}
