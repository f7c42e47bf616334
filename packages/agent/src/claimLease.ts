/** Lease with which stored call outcomes expire; all outcomes stored in the same period share one lease. */
import type {Clock} from '@marigoldfold/runtime';
import type {KeyValue} from '@marigoldfold/state';

const MS_PER_SECOND = 1000;
/** Time after which new outcomes get a new lease, as a fraction of the retention time. */
const LEASE_PERIOD_FRACTION = 1 / 8;

/** Requests a new lease each period, so that each outcome is kept at least for the retention time. */
export class ClaimLease {
  #lease: string | undefined;
  #grantedAtMs = 0;

  constructor(
    private readonly store: KeyValue,
    private readonly clock: Clock,
    private readonly retentionMs: number,
  ) {}

  /** Returns the lease for an outcome stored now, or undefined if the key-value service fails to grant one. */
  async current(): Promise<string | undefined> {
    const periodMs = this.retentionMs * LEASE_PERIOD_FRACTION;
    const now = this.clock.now();
    if (this.#lease !== undefined && now - this.#grantedAtMs < periodMs) return this.#lease;
    const ttlSeconds = Math.ceil((this.retentionMs + periodMs) / MS_PER_SECOND);
    const granted = await this.store.grantLease(ttlSeconds);
    // Without a lease the outcome never expires, which is safe.
    if (granted.isErr()) return undefined;
    this.#lease = granted.value;
    this.#grantedAtMs = now;
    return this.#lease;
  }
}
