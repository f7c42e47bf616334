/** The newest samples of a measurement. */

/** Keeps a fixed number of samples; a newer one takes the place of the oldest. */
export class RecentSamples {
  readonly #capacity: number;
  readonly #samples: number[] = [];
  #next = 0;

  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  /** Number of samples that are kept. */
  get count(): number {
    return this.#samples.length;
  }

  /** Adds a sample. */
  add(value: number): void {
    this.#samples[this.#next] = value;
    this.#next = (this.#next + 1) % this.#capacity;
  }

  /** Forgets all samples. */
  clear(): void {
    this.#samples.length = 0;
    this.#next = 0;
  }

  /** The sample that a part of all samples does not exceed; 0 when there is none. */
  quantile(part: number): number {
    const sorted = [...this.#samples].sort((a, b) => a - b);
    const index = Math.min(sorted.length - 1, Math.floor(part * sorted.length));
    return sorted[Math.max(0, index)] ?? 0;
  }
}
