/** Exponentially decaying arrival rates, for example of long prompts at an endpoint. */

/** Sum of weighted arrivals that decays exponentially, read as a rate. */
export class ArrivalRate {
  readonly #windowMs: number;
  #count = 0;
  #updatedAtMs = 0;

  /** The window is the time constant of the decay, in milliseconds. */
  constructor(windowMs: number) {
    this.#windowMs = windowMs;
  }

  /** Records an arrival at `nowMs`; `amount` is its weight, for example a number of tokens. */
  add(nowMs: number, amount = 1): void {
    this.#count = this.#decayedCount(nowMs) + amount;
    this.#updatedAtMs = nowMs;
  }

  /** Weighted arrivals per millisecond, as of `nowMs`. */
  perMs(nowMs: number): number {
    return this.#decayedCount(nowMs) / this.#windowMs;
  }

  #decayedCount(nowMs: number): number {
    return this.#count * Math.exp(-(nowMs - this.#updatedAtMs) / this.#windowMs);
  }
}
