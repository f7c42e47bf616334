/** The requests that run on the endpoint. */
import {tierCount} from '@marigoldfold/protocol';
import {isLong} from './longWork.js';
import type {MutableScheduledRequest} from './scheduledRequest.js';

/** If a running request has not paused this long after it was asked to, it may be preempted again. */
const PAUSE_TIMEOUT_MS = 2000;

/** Running requests with the counts that scheduling decisions use. */
export class RunningSet {
  readonly #requests = new Map<string, MutableScheduledRequest>();
  readonly #byTier = Array<number>(tierCount).fill(0);

  /** Number of running requests. */
  get size(): number {
    return this.#requests.size;
  }

  /** Number of running requests by tier. */
  get byTier(): readonly number[] {
    return this.#byTier;
  }

  get(id: string): MutableScheduledRequest | undefined {
    return this.#requests.get(id);
  }

  values(): Iterable<MutableScheduledRequest> {
    return this.#requests.values();
  }

  /** Adds a request that starts or resumes. */
  add(request: MutableScheduledRequest, nowMs: number): void {
    request.startedAtMs = nowMs;
    request.pausedAtMs = undefined;
    this.#requests.set(request.item.id, request);
    this.#byTier[request.item.tier] = (this.#byTier[request.item.tier] ?? 0) + 1;
  }

  /** Removes a request that ended or paused, and adds the run to its service time. */
  remove(request: MutableScheduledRequest, nowMs: number): void {
    request.servedMs += nowMs - (request.startedAtMs ?? nowMs);
    request.startedAtMs = undefined;
    request.pauseRequestedAtMs = undefined;
    request.lastTokenAtMs = undefined;
    this.#requests.delete(request.item.id);
    this.#byTier[request.item.tier] = (this.#byTier[request.item.tier] ?? 0) - 1;
  }

  /** Whether a request of a lower tier runs. */
  hasLowerTier(tier: number): boolean {
    return this.#byTier.some((count, other) => other > tier && count > 0);
  }

  /** Number of running requests that a request of `tier` cannot preempt. */
  countBefore(tier: number, countsLower: boolean, reservedSlots: (tier: number) => number): number {
    let total = 0;
    for (const [other, count] of this.#byTier.entries()) {
      const keepsAll = other <= tier || countsLower;
      total += keepsAll ? count : Math.min(count, reservedSlots(other));
    }
    return total;
  }

  /** Number of long requests without a pending pause request. */
  longWorkCount(): number {
    let count = 0;
    for (const request of this.#requests.values()) {
      if (request.pauseRequestedAtMs === undefined && isLong(request)) count += 1;
    }
    return count;
  }

  /** Number of requests with a pending pause request; clears expired pause requests. */
  pauseRequestedCount(nowMs: number): number {
    let count = 0;
    for (const request of this.#requests.values()) {
      if (request.pauseRequestedAtMs === undefined) continue;
      if (nowMs - request.pauseRequestedAtMs < PAUSE_TIMEOUT_MS) count += 1;
      else request.pauseRequestedAtMs = undefined;
    }
    return count;
  }

  /** The running request of the highest tier among those with an inter-token target. */
  highestTierWithTokenTarget(): MutableScheduledRequest | undefined {
    let found: MutableScheduledRequest | undefined;
    for (const request of this.#requests.values()) {
      if (request.item.interTokenTargetMs === undefined) continue;
      if (found === undefined || request.item.tier < found.item.tier) found = request;
    }
    return found;
  }
}
