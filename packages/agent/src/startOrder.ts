/** Selects the waiting request to start next. */
import {tierCount} from '@marigoldfold/protocol';
import {isLong} from './longWork.js';
import type {ScheduledRequest} from './scheduledRequest.js';
import type {TierQueues} from './tierQueues.js';

/** Queue state from which {@link chooseStart} selects a request to start. */
export interface StartContext<R extends ScheduledRequest> {
  readonly queues: TierQueues<R>;
  readonly nowMs: number;
  readonly urgentTierCount: number;
  readonly maxPauseMs: number;
  /** Whether long work yields free slots to shorter waiting work. */
  readonly defersLongWork: boolean;
  /** Whether a request still meets its deadline when another request starts first. */
  readonly canWait: (request: R) => boolean;
  /** Whether a tier has received less than its guaranteed share. */
  readonly isBelowShare: (tier: number) => boolean;
}

/**
 * Starts urgent work first, unless it can wait for a request that was paused too long or for a tier
 * below its guaranteed share. Other work starts in the order of tiers.
 */
export function chooseStart<R extends ScheduledRequest>(context: StartContext<R>): R | undefined {
  const {urgentTierCount} = context;
  const urgent = firstOf(context, 0, urgentTierCount);
  if (!canUrgentWait(context)) return urgent;
  return (
    longestPaused(context) ??
    firstBelowShare(context) ??
    urgent ??
    firstOf(context, urgentTierCount)
  );
}

function canUrgentWait<R extends ScheduledRequest>(context: StartContext<R>): boolean {
  for (let tier = 0; tier < context.urgentTierCount; tier += 1) {
    const [first] = context.queues.inTier(tier);
    if (first !== undefined && !context.canWait(first)) return false;
  }
  return true;
}

function firstOf<R extends ScheduledRequest>(
  context: StartContext<R>,
  from: number,
  to: number = tierCount,
): R | undefined {
  for (let tier = from; tier < to; tier += 1) {
    const request = firstIn(context, tier);
    if (request !== undefined) return request;
  }
  return undefined;
}

function firstIn<R extends ScheduledRequest>(
  {queues, defersLongWork}: StartContext<R>,
  tier: number,
): R | undefined {
  for (const request of queues.inTier(tier)) {
    if (!defersLongWork || !isLong(request)) return request;
  }
  return undefined;
}

function firstBelowShare<R extends ScheduledRequest>(context: StartContext<R>): R | undefined {
  for (let tier = context.urgentTierCount; tier < tierCount; tier += 1) {
    if (!context.isBelowShare(tier)) continue;
    const request = firstIn(context, tier);
    if (request !== undefined) return request;
  }
  return undefined;
}

function longestPaused<R extends ScheduledRequest>({
  queues,
  nowMs,
  maxPauseMs,
}: StartContext<R>): R | undefined {
  let longest: R | undefined;
  for (const request of queues.values()) {
    const {pausedAtMs} = request;
    if (pausedAtMs === undefined || nowMs - pausedAtMs < maxPauseMs) continue;
    if (pausedAtMs < (longest?.pausedAtMs ?? Number.POSITIVE_INFINITY)) longest = request;
  }
  return longest;
}
