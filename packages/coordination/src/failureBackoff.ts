/** Bars what failed for a while: exponential backoff with jitter. */
import type {Clock, Random} from '@marigoldfold/runtime';

const FIRST_BACKOFF_MS = 500;
const MAX_BACKOFF_MS = 30_000;
const MAX_DOUBLINGS = 6;

/** The backoff of one endpoint. */
export class FailureBackoff {
  #failures = 0;
  #untilMs = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  /** Whether the endpoint is kept out now. */
  get isActive(): boolean {
    return this.remainingMs > 0;
  }

  /** Milliseconds until the endpoint may be tried again. */
  get remainingMs(): number {
    return Math.max(0, this.#untilMs - this.clock.now());
  }

  /** Notes a failure. Failures while barred come from one cause and do not lengthen the time. */
  recordFailure(): void {
    if (this.isActive) return;
    const doublings = Math.min(this.#failures, MAX_DOUBLINGS);
    const backoffMs = Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** doublings);
    this.#failures += 1;
    this.#untilMs = this.clock.now() + backoffMs * (1 + this.random());
  }

  /** Notes a sign of life that came after the bar had run out. */
  recordSuccess(): void {
    if (!this.isActive) this.#failures = 0;
  }

  /** Forgets all failures: the endpoint is a new one. */
  reset(): void {
    this.#failures = 0;
    this.#untilMs = Number.NEGATIVE_INFINITY;
  }
}
