/** How often something arrives, older arrivals counting less. */

/** A rate that fades. */
export class ArrivalRate {
  readonly #windowMs: number;
  #count = 0;
  #updatedAtMs = 0;

  /** The window is the time constant in milliseconds. */
  constructor(windowMs: number) {
    this.#windowMs = windowMs;
  }

  /** Notes an arrival; an amount may stand for several. */
  add(nowMs: number, amount = 1): void {
    this.#count = this.#decayedCount(nowMs) + amount;
    this.#updatedAtMs = nowMs;
  }

  /** Arrivals for each millisecond. */
  perMs(nowMs: number): number {
    return this.#decayedCount(nowMs) / this.#windowMs;
  }

  #decayedCount(nowMs: number): number {
    return this.#count * Math.exp(-(nowMs - this.#updatedAtMs) / this.#windowMs);
  }
}
