/** A queue for each tier, earliest deadline first within a tier. */
import {tierCount} from '@marigoldfold/protocol';
import type {QueueEntry} from './queueEntry.js';

/** The queues. Entries with the same deadline keep their order of arrival. */
export class TierQueues<E extends QueueEntry> {
  readonly #tiers: readonly E[][] = Array.from({length: tierCount}, () => []);
  #size = 0;

  /** Number of entries. */
  get size(): number {
    return this.#size;
  }

  /** The entries of a tier, earliest deadline first. */
  tier(tier: number): readonly E[] {
    return this.#tiers[tier] ?? [];
  }

  /** All entries, most urgent tier first. */
  *entries(): Generator<E, void> {
    for (const entries of this.#tiers) yield* entries;
  }

  /** Number of entries that go before a new one of a tier with a deadline. */
  countBefore(tier: number, dueAtMs: number): number {
    let count = 0;
    for (let other = 0; other < tier; other += 1) count += this.tier(other).length;
    const equals = this.tier(tier);
    const later = equals.findIndex(({item}) => item.dueAtMs > dueAtMs);
    return count + (later === -1 ? equals.length : later);
  }

  /** Puts an entry in its place. */
  insert(entry: E): void {
    const entries = this.#tiers[entry.item.tier];
    if (entries === undefined) throw new Error(`no tier ${entry.item.tier}`);
    let low = 0;
    let high = entries.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      const other = entries[middle];
      if (other !== undefined && other.item.dueAtMs <= entry.item.dueAtMs) low = middle + 1;
      else high = middle;
    }
    entries.splice(low, 0, entry);
    this.#size += 1;
  }

  /** Takes an entry out; false when it is not here. */
  remove(entry: E): boolean {
    const entries = this.#tiers[entry.item.tier];
    const index = entries?.indexOf(entry) ?? -1;
    if (index === -1) return false;
    entries?.splice(index, 1);
    this.#size -= 1;
    return true;
  }
}
