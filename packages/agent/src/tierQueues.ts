/** One queue per tier, ordered by deadline within a tier. */
import {tierCount} from '@marigoldfold/protocol';
import type {ScheduledRequest} from './scheduledRequest.js';

/** Waiting requests by tier. Requests with the same deadline keep their order of arrival. */
export class TierQueues<R extends ScheduledRequest> {
  readonly #tiers: readonly R[][] = Array.from({length: tierCount}, () => []);
  #size = 0;

  /** Number of requests in all tiers. */
  get size(): number {
    return this.#size;
  }

  /** The requests of a tier, earliest deadline first. */
  inTier(tier: number): readonly R[] {
    return this.#tiers[tier] ?? [];
  }

  /** All requests, most urgent tier first. */
  *values(): Generator<R, void> {
    for (const requests of this.#tiers) yield* requests;
  }

  /** Number of requests ahead of a new request of `tier` with the deadline `dueAtMs`. */
  countBefore(tier: number, dueAtMs: number): number {
    let count = 0;
    for (let other = 0; other < tier; other += 1) count += this.inTier(other).length;
    const sameTier = this.inTier(tier);
    const later = sameTier.findIndex(({item}) => item.dueAtMs > dueAtMs);
    return count + (later === -1 ? sameTier.length : later);
  }

  /** Inserts a request after all requests of its tier that are due no later; throws for an unknown tier. */
  insert(request: R): void {
    const requests = this.#tiers[request.item.tier];
    if (requests === undefined) throw new Error(`unknown tier ${request.item.tier}`);
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

  /** Removes a request; returns false when it is not queued. */
  remove(request: R): boolean {
    const requests = this.#tiers[request.item.tier];
    const index = requests?.indexOf(request) ?? -1;
    if (index === -1) return false;
    requests?.splice(index, 1);
    this.#size -= 1;
    return true;
  }
}
