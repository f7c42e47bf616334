/** Measures arrival rates in which older arrivals count less. */

/** An arrival rate with exponential decay. */
export class ArrivalRate {
  readonly #windowMs: number;
  #count = 0;
  #updatedAtMs = 0;

  /** The window is the time constant of the decay, in milliseconds. */
  constructor(windowMs: number) {
    this.#windowMs = windowMs;
  }

  /** Records an arrival, weighted by an amount. */
  add(nowMs: number, amount = 1): void {
    this.#count = this.#decayedCount(nowMs) + amount;
    this.#updatedAtMs = nowMs;
  }

  /** Weighted arrivals per millisecond. */
  perMs(nowMs: number): number {
    return this.#decayedCount(nowMs) / this.#windowMs;
  }

  #decayedCount(nowMs: number): number {
    return this.#count * Math.exp(-(nowMs - this.#updatedAtMs) / this.#windowMs);
  }
}
