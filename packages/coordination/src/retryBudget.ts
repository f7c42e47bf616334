/** Bounds retries to a share of successful requests, so that failures cannot multiply the load. */

/** Retries for each successful request. */
const RETRY_RATIO = 0.1;
/** Retries that a process may make before any success. */
const INITIAL_BALANCE = 10;
const MAX_BALANCE = 100;

/** The budget of one process. */
export class RetryBudget {
  #balance = INITIAL_BALANCE;

  /** Notes a successful request. */
  recordSuccess(): void {
    this.#balance = Math.min(MAX_BALANCE, this.#balance + RETRY_RATIO);
  }

  /** Takes one retry; false when the budget is spent. */
  takeRetry(): boolean {
    if (this.#balance < 1) return false;
    this.#balance -= 1;
    return true;
  }
}
