/** Limits retries to a fraction of successful requests, so that failures cannot multiply the load. */

/** Retries allowed for each successful request. */
const RETRY_RATIO = 0.1;
/** Retries allowed before the first success. */
const INITIAL_BALANCE = 10;
const MAX_BALANCE = 100;

/** Retry budget of one process; successes add to it and retries take from it. */
export class RetryBudget {
  #balance = INITIAL_BALANCE;

  /** Records a successful request, which adds `RETRY_RATIO` retries. */
  recordSuccess(): void {
    this.#balance = Math.min(MAX_BALANCE, this.#balance + RETRY_RATIO);
  }

  /** Takes one retry; false when the budget is exhausted. */
  takeRetry(): boolean {
    if (this.#balance < 1) return false;
    this.#balance -= 1;
    return true;
  }
}
