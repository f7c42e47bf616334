/** The requests that run on the endpoint. */
import {tierCount} from '@marigoldfold/protocol';
import {isLong} from './longWork.js';
import type {MutableScheduledRequest} from './scheduledRequest.js';

/** A request that was asked to pause and has not done so by then is asked again. */
const PAUSE_TIMEOUT_MS = 2000;

/** The set, with the counts that decisions need. */
export class RunningSet {
  readonly #requests = new Map<string, MutableScheduledRequest>();
  readonly #byTier = Array<number>(tierCount).fill(0);

  /** Number of requests that run. */
  get size(): number {
    return this.#requests.size;
  }

  /** Number of requests that run in each tier. */
  get byTier(): readonly number[] {
    return this.#byTier;
  }

  get(id: string): MutableScheduledRequest | undefined {
    return this.#requests.get(id);
  }

  values(): Iterable<MutableScheduledRequest> {
    return this.#requests.values();
  }

  /** Notes that a request begins to run, or goes on. */
  add(request: MutableScheduledRequest, nowMs: number): void {
    request.startedAtMs = nowMs;
    request.pausedAtMs = undefined;
    this.#requests.set(request.item.id, request);
    this.#byTier[request.item.tier] = (this.#byTier[request.item.tier] ?? 0) + 1;
  }

  /** Notes that a request has ended or is paused. */
  remove(request: MutableScheduledRequest, nowMs: number): void {
    request.servedMs += nowMs - (request.startedAtMs ?? nowMs);
    request.startedAtMs = undefined;
    request.pauseRequestedAtMs = undefined;
    request.lastTokenAtMs = undefined;
    this.#requests.delete(request.item.id);
    this.#byTier[request.item.tier] = (this.#byTier[request.item.tier] ?? 0) - 1;
  }

  /** Whether anything of a lower tier runs. */
  hasLowerTier(tier: number): boolean {
    return this.#byTier.some((count, other) => other > tier && count > 0);
  }

  /** Number of requests that keep their slots against a tier. */
  countBefore(tier: number, countsLower: boolean, reservedSlots: (tier: number) => number): number {
    let total = 0;
    for (const [other, count] of this.#byTier.entries()) {
      const keepsAll = other <= tier || countsLower;
      total += keepsAll ? count : Math.min(count, reservedSlots(other));
    }
    return total;
  }

  /** Number of requests that have outlived their class and are not asked to pause. */
  longWorkCount(): number {
    let count = 0;
    for (const request of this.#requests.values()) {
      if (request.pauseRequestedAtMs === undefined && isLong(request)) count += 1;
    }
    return count;
  }

  /** Number of requests that were asked to pause. */
  pauseRequestedCount(nowMs: number): number {
    let count = 0;
    for (const request of this.#requests.values()) {
      if (request.pauseRequestedAtMs === undefined) continue;
      if (nowMs - request.pauseRequestedAtMs < PAUSE_TIMEOUT_MS) count += 1;
      else request.pauseRequestedAtMs = undefined;
    }
    return count;
  }

  /** The request of the highest tier among those with a target between tokens. */
  highestTierWithTokenTarget(): MutableScheduledRequest | undefined {
    let found: MutableScheduledRequest | undefined;
    for (const request of this.#requests.values()) {
      if (request.item.interTokenTargetMs === undefined) continue;
      if (found === undefined || request.item.tier < found.item.tier) found = request;
    }
    return found;
  }
}
