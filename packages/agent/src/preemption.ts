/** Chooses which running request is paused for one that waits. */
import {isLong, longWorkLevel} from './longWork.js';
import type {QueueEntry} from './queueEntry.js';

/** The situation in which a victim is sought. */
export interface PreemptionContext {
  /** Requests that run. */
  readonly running: Iterable<QueueEntry>;
  /** The request that is to run instead. */
  readonly beneficiary: QueueEntry;
  readonly isUrgent: boolean;
  /** Whether the beneficiary misses its deadline unless it runs now. */
  readonly isAtRisk: boolean;
  /** Whether long work fills more than its share. */
  readonly isLongWorkOverShare: boolean;
  readonly maxPreemptions: number;
  readonly nowMs: number;
  /** How long a resumed request runs before it may be paused for work that is not urgent. */
  readonly minRunMs: number;
  /** Whether a tier runs no more than its guaranteed share. */
  readonly isGuaranteed: (tier: number) => boolean;
}

/** The victim: of the lowest tier, then the one that has outlived its class most, then the least done. */
export function chooseVictim<E extends QueueEntry>(
  context: PreemptionContext & {readonly running: Iterable<E>},
): E | undefined {
  let victim: E | undefined;
  for (const entry of context.running) {
    if (entry.stoppingAtMs !== undefined || !isVictim(entry, context)) continue;
    if (victim === undefined || goesBefore(entry, victim)) victim = entry;
  }
  return victim;
}

function isVictim(entry: QueueEntry, context: PreemptionContext): boolean {
  const {beneficiary, isUrgent, isAtRisk, isLongWorkOverShare} = context;
  const {tier} = entry.item;
  if (entry.preemptions > 0) {
    const ranMs = context.nowMs - (entry.startedAtMs ?? 0);
    const leastMs = isUrgent ? 0 : context.minRunMs;
    // Strictly more, so that no request is resumed and paused again in the same instant.
    if (ranMs <= leastMs) return false;
  }
  if (entry.preemptions >= context.maxPreemptions && !isUrgent) return false;
  if (tier === beneficiary.item.tier) {
    // The bound on preemptions holds among equals in any tier, so that long work completes.
    const isBounded = entry.preemptions >= context.maxPreemptions;
    return isLongWorkOverShare && isLong(entry) && !isLong(beneficiary) && !isBounded;
  }
  if (tier < beneficiary.item.tier) return false;
  if (!context.isGuaranteed(tier)) return true;
  return isUrgent && isAtRisk;
}

function goesBefore(a: QueueEntry, b: QueueEntry): boolean {
  if (a.item.tier !== b.item.tier) return a.item.tier > b.item.tier;
  const levels = longWorkLevel(a) - longWorkLevel(b);
  if (levels !== 0) return levels > 0;
  return a.generatedTokens < b.generatedTokens;
}
