/** Decides which request is refused when not all can be served. */
import {type Failure, refusal} from '@marigoldfold/protocol';
import type {ScheduledRequest} from './scheduledRequest.js';
import type {TierQueues} from './tierQueues.js';

/** The shortest time after which another try is suggested. */
const MIN_RETRY_AFTER_MS = 100;

/** The request that makes room for one of a tier: the latest of the lowest tier below it that has not run. */
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

/** The refusal of a request for which there is no room. */
export function queueFull(waitMs: number): Failure {
  return refusal('overloaded', 'the queue of the endpoint is full', retryAfter(waitMs));
}

/** The refusal of a request whose deadline cannot be met. */
export function deadlineUnreachable(waitMs: number, budgetMs: number): Failure {
  const message = `the wait of about ${Math.ceil(waitMs)} ms exceeds the ${Math.ceil(Math.max(0, budgetMs))} ms that are left`;
  return refusal('target_unreachable', message, retryAfter(waitMs - budgetMs));
}

function retryAfter(durationMs: number): number {
  return Math.ceil(Math.max(MIN_RETRY_AFTER_MS, durationMs));
}
