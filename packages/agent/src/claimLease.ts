/** The lease under which recorded outcomes lapse; one lease serves all outcomes of a period. */
import type {Clock} from '@marigoldfold/runtime';
import type {KeyValue} from '@marigoldfold/state';

const MS_PER_SECOND = 1000;
/** Part of the retention that one lease serves. */
const LEASE_PERIOD_FRACTION = 1 / 8;

/** Grants a lease when the last one is too old, so that each outcome is kept for the retention at least. */
export class ClaimLease {
  #lease: string | undefined;
  #grantedAtMs = 0;

  constructor(
    private readonly store: KeyValue,
    private readonly clock: Clock,
    private readonly retentionMs: number,
  ) {}

  /** The lease for an outcome that is recorded now; undefined when none can be had. */
  async current(): Promise<string | undefined> {
    const periodMs = this.retentionMs * LEASE_PERIOD_FRACTION;
    const now = this.clock.now();
    if (this.#lease !== undefined && now - this.#grantedAtMs < periodMs) return this.#lease;
    const ttlSeconds = Math.ceil((this.retentionMs + periodMs) / MS_PER_SECOND);
    const granted = await this.store.grantLease(ttlSeconds);
    // Without a lease the outcome is kept for good, which loses nothing.
    if (granted.isErr()) return undefined;
    this.#lease = granted.value;
    this.#grantedAtMs = now;
    return this.#lease;
  }
}
