/** Selects the running request to pause for another request. */
import {isLong, computeLongWorkLevel} from './longWork.js';
import type {ScheduledRequest} from './scheduledRequest.js';

/** Queue state from which {@link chooseVictim} selects a request to pause. */
export interface PreemptionContext {
  /** Running requests, any of which may be selected. */
  readonly running: Iterable<ScheduledRequest>;
  /** The request that starts or runs faster because another one is paused. */
  readonly beneficiary: ScheduledRequest;
  readonly isUrgent: boolean;
  /** Whether the beneficiary misses its deadline unless it starts now. */
  readonly isAtRisk: boolean;
  /** Whether long work occupies more than its share of the window. */
  readonly isLongWorkOverShare: boolean;
  readonly maxPreemptions: number;
  readonly nowMs: number;
  /** Minimum run time in milliseconds of a resumed request before non-urgent work may preempt it. */
  readonly minRunMs: number;
  /** Whether a tier runs in no more than its guaranteed slots. */
  readonly isWithinGuarantee: (tier: number) => boolean;
}

/** Prefers the lowest tier, then the longest work relative to its class, then the fewest generated tokens. */
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
    // `<=` prevents a request from being paused at the clock time at which it resumed.
    if (ranMs <= leastMs) return false;
  }
  if (request.preemptions >= context.maxPreemptions && !isUrgent) return false;
  if (tier === beneficiary.item.tier) {
    // Within a tier, the preemption limit also applies to urgent requests, so that long requests can finish.
    const isBounded = request.preemptions >= context.maxPreemptions;
    return isLongWorkOverShare && isLong(request) && !isLong(beneficiary) && !isBounded;
  }
  if (tier < beneficiary.item.tier) return false;
  if (!context.isWithinGuarantee(tier)) return true;
  return isUrgent && isAtRisk;
}

function isPreferredVictim(a: ScheduledRequest, b: ScheduledRequest): boolean {
  if (a.item.tier !== b.item.tier) return a.item.tier > b.item.tier;
  const levels = computeLongWorkLevel(a) - computeLongWorkLevel(b);
  if (levels !== 0) return levels > 0;
  return a.generatedTokens < b.generatedTokens;
}
