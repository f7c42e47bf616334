/** Chooses which waiting request starts next. */
import {tierCount} from '@marigoldfold/protocol';
import {isLong} from './longWork.js';
import type {QueueEntry} from './queueEntry.js';
import type {TierQueues} from './tierQueues.js';

/** The situation in which a request is to start. */
export interface StartContext<E extends QueueEntry> {
  readonly queues: TierQueues<E>;
  readonly nowMs: number;
  readonly urgentTierCount: number;
  readonly maxPauseMs: number;
  /** Whether long work has to leave free slots to shorter work that waits. */
  readonly holdsLongWorkBack: boolean;
  /** Whether a request still meets its deadline when another one goes first. */
  readonly canWait: (entry: E) => boolean;
  /** Whether a tier has had less than its guaranteed share. */
  readonly isOwed: (tier: number) => boolean;
}

/**
 * Urgent work goes first, unless it can wait for work that was paused too long or for a tier that
 * is owed its share. All other work goes by tier.
 */
export function chooseStart<E extends QueueEntry>(context: StartContext<E>): E | undefined {
  const {urgentTierCount} = context;
  const urgent = firstOf(context, 0, urgentTierCount);
  if (!canUrgentWait(context)) return urgent;
  return (
    longestPaused(context) ?? firstOwed(context) ?? urgent ?? firstOf(context, urgentTierCount)
  );
}

function canUrgentWait<E extends QueueEntry>(context: StartContext<E>): boolean {
  for (let tier = 0; tier < context.urgentTierCount; tier += 1) {
    const [first] = context.queues.tier(tier);
    if (first !== undefined && !context.canWait(first)) return false;
  }
  return true;
}

function firstOf<E extends QueueEntry>(
  context: StartContext<E>,
  from: number,
  to: number = tierCount,
): E | undefined {
  for (let tier = from; tier < to; tier += 1) {
    const entry = firstIn(context, tier);
    if (entry !== undefined) return entry;
  }
  return undefined;
}

function firstIn<E extends QueueEntry>(
  {queues, holdsLongWorkBack}: StartContext<E>,
  tier: number,
): E | undefined {
  for (const entry of queues.tier(tier)) {
    if (!holdsLongWorkBack || !isLong(entry)) return entry;
  }
  return undefined;
}

function firstOwed<E extends QueueEntry>(context: StartContext<E>): E | undefined {
  for (let tier = context.urgentTierCount; tier < tierCount; tier += 1) {
    if (!context.isOwed(tier)) continue;
    const entry = firstIn(context, tier);
    if (entry !== undefined) return entry;
  }
  return undefined;
}

function longestPaused<E extends QueueEntry>({
  queues,
  nowMs,
  maxPauseMs,
}: StartContext<E>): E | undefined {
  let longest: E | undefined;
  for (const entry of queues.entries()) {
    const {pausedAtMs} = entry;
    if (pausedAtMs === undefined || nowMs - pausedAtMs < maxPauseMs) continue;
    if (pausedAtMs < (longest?.pausedAtMs ?? Number.POSITIVE_INFINITY)) longest = entry;
  }
  return longest;
}
