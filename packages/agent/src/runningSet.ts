/** The requests that run on the endpoint. */
import {tierCount} from '@marigoldfold/protocol';
import {isLong} from './longWork.js';
import type {MutableQueueEntry} from './queueEntry.js';

/** A request that was asked to pause and has not done so by then is asked again. */
const PAUSE_TIMEOUT_MS = 2000;

/** The set, with the counts that decisions need. */
export class RunningSet {
  readonly #entries = new Map<string, MutableQueueEntry>();
  readonly #byTier = Array<number>(tierCount).fill(0);

  /** Number of requests that run. */
  get size(): number {
    return this.#entries.size;
  }

  /** Number of requests that run in each tier. */
  get byTier(): readonly number[] {
    return this.#byTier;
  }

  get(id: string): MutableQueueEntry | undefined {
    return this.#entries.get(id);
  }

  values(): Iterable<MutableQueueEntry> {
    return this.#entries.values();
  }

  /** Notes that a request begins to run, or goes on. */
  add(entry: MutableQueueEntry, nowMs: number): void {
    entry.startedAtMs = nowMs;
    entry.pausedAtMs = undefined;
    this.#entries.set(entry.item.id, entry);
    this.#byTier[entry.item.tier] = (this.#byTier[entry.item.tier] ?? 0) + 1;
  }

  /** Notes that a request has ended or is paused. */
  remove(entry: MutableQueueEntry, nowMs: number): void {
    entry.servedMs += nowMs - (entry.startedAtMs ?? nowMs);
    entry.startedAtMs = undefined;
    entry.stoppingAtMs = undefined;
    entry.lastTokenAtMs = undefined;
    this.#entries.delete(entry.item.id);
    this.#byTier[entry.item.tier] = (this.#byTier[entry.item.tier] ?? 0) - 1;
  }

  /** Whether anything of a lower tier runs. */
  servesBelow(tier: number): boolean {
    return this.#byTier.some((count, other) => other > tier && count > 0);
  }

  /** Number of requests that keep their slots against a tier. */
  countBefore(tier: number, countsLower: boolean, keptSlots: (tier: number) => number): number {
    let total = 0;
    for (const [other, count] of this.#byTier.entries()) {
      const keepsAll = other <= tier || countsLower;
      total += keepsAll ? count : Math.min(count, keptSlots(other));
    }
    return total;
  }

  /** Number of requests that have outlived their class and are not asked to pause. */
  longCount(): number {
    let count = 0;
    for (const entry of this.#entries.values()) {
      if (entry.stoppingAtMs === undefined && isLong(entry)) count += 1;
    }
    return count;
  }

  /** Number of requests that were asked to pause. */
  stoppingCount(nowMs: number): number {
    let count = 0;
    for (const entry of this.#entries.values()) {
      if (entry.stoppingAtMs === undefined) continue;
      if (nowMs - entry.stoppingAtMs < PAUSE_TIMEOUT_MS) count += 1;
      else entry.stoppingAtMs = undefined;
    }
    return count;
  }

  /** The request of the highest tier among those with a target between tokens. */
  mostSensitive(): MutableQueueEntry | undefined {
    let found: MutableQueueEntry | undefined;
    for (const entry of this.#entries.values()) {
      if (entry.item.interTokenTargetMs === undefined) continue;
      if (found === undefined || entry.item.tier < found.item.tier) found = entry;
    }
    return found;
  }
}
