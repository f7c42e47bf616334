/** Exponential backoff with jitter after failures. */
import type {Clock, Random} from '@marigoldfold/runtime';

const FIRST_BACKOFF_MS = 500;
const MAX_BACKOFF_MS = 30_000;
const MAX_DOUBLINGS = 6;

/** Backoff state of one endpoint. */
export class FailureBackoff {
  #failures = 0;
  #untilMs = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  /** Whether the endpoint is currently excluded from selection. */
  get isActive(): boolean {
    return this.remainingMs > 0;
  }

  /** Milliseconds until the endpoint may be tried again; 0 when the backoff is not active. */
  get remainingMs(): number {
    return Math.max(0, this.#untilMs - this.clock.now());
  }

  /** Records a failure. Failures during an active backoff have the same cause and do not extend it. */
  recordFailure(): void {
    if (this.isActive) return;
    const doublings = Math.min(this.#failures, MAX_DOUBLINGS);
    const backoffMs = Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** doublings);
    this.#failures += 1;
    this.#untilMs = this.clock.now() + backoffMs * (1 + this.random());
  }

  /** Resets the backoff; ignored while it is active, since the response may predate the failure. */
  recordSuccess(): void {
    if (!this.isActive) this.#failures = 0;
  }

  /** Clears all failures when the endpoint has restarted. */
  reset(): void {
    this.#failures = 0;
    this.#untilMs = Number.NEGATIVE_INFINITY;
  }
}
