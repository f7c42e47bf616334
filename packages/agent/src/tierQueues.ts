/** A queue for each tier, earliest deadline first within a tier. */
import {tierCount} from '@marigoldfold/protocol';
import type {ScheduledRequest} from './scheduledRequest.js';

/** The queues. Entries with the same deadline keep their order of arrival. */
export class TierQueues<R extends ScheduledRequest> {
  readonly #tiers: readonly R[][] = Array.from({length: tierCount}, () => []);
  #size = 0;

  /** Number of entries. */
  get size(): number {
    return this.#size;
  }

  /** The entries of a tier, earliest deadline first. */
  inTier(tier: number): readonly R[] {
    return this.#tiers[tier] ?? [];
  }

  /** All entries, most urgent tier first. */
  *values(): Generator<R, void> {
    for (const requests of this.#tiers) yield* requests;
  }

  /** Number of entries that go before a new one of a tier with a deadline. */
  countBefore(tier: number, dueAtMs: number): number {
    let count = 0;
    for (let other = 0; other < tier; other += 1) count += this.inTier(other).length;
    const sameTier = this.inTier(tier);
    const later = sameTier.findIndex(({item}) => item.dueAtMs > dueAtMs);
    return count + (later === -1 ? sameTier.length : later);
  }

  /** Puts an entry in its place. */
  insert(request: R): void {
    const requests = this.#tiers[request.item.tier];
    if (requests === undefined) throw new Error(`no tier ${request.item.tier}`);
    let low = 0;
    let high = requests.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      const other = requests[middle];
      if (other !== undefined && other.item.dueAtMs <= request.item.dueAtMs) low = middle + 1;
      else high = middle;
    }
    requests.splice(low, 0, request);
    this.#size += 1;
  }

  /** Takes an entry out; false when it is not here. */
  remove(request: R): boolean {
    const requests = this.#tiers[request.item.tier];
    const index = requests?.indexOf(request) ?? -1;
    if (index === -1) return false;
    requests?.splice(index, 1);
    this.#size -= 1;
    return true;
  }
}
