/** Chooses which running request is paused for one that waits. */
import {isLong, longWorkLevel} from './longWork.js';
import type {ScheduledRequest} from './scheduledRequest.js';

/** The situation in which a victim is sought. */
export interface PreemptionContext {
  /** Requests that run. */
  readonly running: Iterable<ScheduledRequest>;
  /** The request that is to run instead. */
  readonly beneficiary: ScheduledRequest;
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
  readonly isWithinGuarantee: (tier: number) => boolean;
}

/** The victim: of the lowest tier, then the one that has outlived its class most, then the least done. */
export function chooseVictim<R extends ScheduledRequest>(
  context: PreemptionContext & {readonly running: Iterable<R>},
): R | undefined {
  let victim: R | undefined;
  for (const request of context.running) {
    if (request.pauseRequestedAtMs !== undefined || !isVictim(request, context)) continue;
    if (victim === undefined || isPreferredVictim(request, victim)) victim = request;
  }
  return victim;
}

function isVictim(request: ScheduledRequest, context: PreemptionContext): boolean {
  const {beneficiary, isUrgent, isAtRisk, isLongWorkOverShare} = context;
  const {tier} = request.item;
  if (request.preemptions > 0) {
    const ranMs = context.nowMs - (request.startedAtMs ?? 0);
    const leastMs = isUrgent ? 0 : context.minRunMs;
    // Strictly more, so that no request is resumed and paused again in the same instant.
    if (ranMs <= leastMs) return false;
  }
  if (request.preemptions >= context.maxPreemptions && !isUrgent) return false;
  if (tier === beneficiary.item.tier) {
    // The bound on preemptions holds among equals in any tier, so that long work completes.
    const isBounded = request.preemptions >= context.maxPreemptions;
    return isLongWorkOverShare && isLong(request) && !isLong(beneficiary) && !isBounded;
  }
  if (tier < beneficiary.item.tier) return false;
  if (!context.isWithinGuarantee(tier)) return true;
  return isUrgent && isAtRisk;
}

function isPreferredVictim(a: ScheduledRequest, b: ScheduledRequest): boolean {
  if (a.item.tier !== b.item.tier) return a.item.tier > b.item.tier;
  const levels = longWorkLevel(a) - longWorkLevel(b);
  if (levels !== 0) return levels > 0;
  return a.generatedTokens < b.generatedTokens;
}
