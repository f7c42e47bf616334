/** Load shedding: selects the request to drop and builds the refusals. */
import {type Failure, refusal} from '@marigoldfold/protocol';
import type {ScheduledRequest} from './scheduledRequest.js';
import type {TierQueues} from './tierQueues.js';

/** Lower bound of the suggested retry delay. */
const MIN_RETRY_AFTER_MS = 100;

/**
 * Selects the request to drop for a new request of `tier`: the last one in the lowest tier below it that has never
 * run. Paused requests are never dropped. Returns undefined when there is none.
 */
export function chooseShedVictim<R extends ScheduledRequest>(
  queues: TierQueues<R>,
  tier: number,
  lowestTier: number,
): R | undefined {
  for (let lower = lowestTier; lower > tier; lower -= 1) {
    const request = queues.inTier(lower).findLast(({pausedAtMs}) => pausedAtMs === undefined);
    if (request !== undefined) return request;
  }
  return undefined;
}

/** Builds the `overloaded` refusal for a full queue; the retry delay is the estimated wait. */
export function createQueueFullFailure(waitMs: number): Failure {
  return refusal('overloaded', 'the queue of the endpoint is full', retryAfter(waitMs));
}

/** Builds the `target_unreachable` refusal for a request whose estimated wait exceeds its remaining budget. */
export function createDeadlineFailure(waitMs: number, budgetMs: number): Failure {
  const message = `the estimated wait of ${Math.ceil(waitMs)} ms exceeds the remaining budget of ${Math.ceil(Math.max(0, budgetMs))} ms`;
  return refusal('target_unreachable', message, retryAfter(waitMs - budgetMs));
}

function retryAfter(durationMs: number): number {
  return Math.ceil(Math.max(MIN_RETRY_AFTER_MS, durationMs));
}
