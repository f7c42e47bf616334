/** Estimates when an engine prefills prompts, from the recorded requests. */
import type {EngineTimings} from './engineTimings.js';
import type {InFlightRequest} from './inFlightRequest.js';

/** Maximum fraction of a prompt that is assumed to be prefilled while its first event is outstanding. */
const MAX_PREFILL_PROGRESS = 0.8;
/** Time from a send until prefill can start, in milliseconds: the network delay within a region. */
const NETWORK_DELAY_MS = 2;

/** Interval between two clock times, in milliseconds. */
export interface TimeSpan {
  readonly fromMs: number;
  readonly toMs: number;
}

/** Estimated remaining prefill time of the requests without a first event, in milliseconds. */
export function estimatePrefillBacklogMs(
  requests: Iterable<InFlightRequest>,
  nowMs: number,
): number {
  let totalMs = 0;
  let oldest: InFlightRequest | undefined;
  let lastFirstEventMs = 0;
  for (const request of requests) {
    if (request.firstEventAtMs !== undefined) {
      lastFirstEventMs = Math.max(lastFirstEventMs, request.firstEventAtMs);
      continue;
    }
    totalMs += request.prefillMs;
    if (oldest === undefined || request.sentAtMs < oldest.sentAtMs) oldest = request;
  }
  if (oldest === undefined) return 0;
  // Prompts are prefilled one after the other, so only the oldest can be partly prefilled.
  const elapsedMs = nowMs - Math.max(oldest.sentAtMs, lastFirstEventMs);
  return totalMs - Math.min(elapsedMs, oldest.prefillMs * MAX_PREFILL_PROGRESS);
}

/**
 * Prompt tokens that an engine should have prefilled in a time span at its usual speed. A prompt is assumed to
 * be prefilled before its first event; prompts without one follow in the order in which they were sent.
 */
export function estimatePrefilledTokens(
  requests: Iterable<InFlightRequest>,
  timings: EngineTimings,
  span: TimeSpan,
): number {
  let tokens = 0;
  let prefilledUntilMs = Number.NEGATIVE_INFINITY;
  const waiting: InFlightRequest[] = [];
  for (const request of requests) {
    const {firstEventAtMs, uncachedTokens} = request;
    if (uncachedTokens === 0) continue;
    if (firstEventAtMs === undefined) {
      waiting.push(request);
      continue;
    }
    const endMs = firstEventAtMs - timings.firstEventDelayMs;
    prefilledUntilMs = Math.max(prefilledUntilMs, endMs);
    if (endMs < span.fromMs) continue;
    const fromMs = endMs - timings.prefillDurationMs(uncachedTokens);
    tokens += uncachedTokens * overlapShare({fromMs, toMs: endMs}, span);
  }
  waiting.sort((a, b) => a.sentAtMs - b.sentAtMs);
  for (const {sentAtMs, uncachedTokens} of waiting) {
    const fromMs = Math.max(prefilledUntilMs, sentAtMs + NETWORK_DELAY_MS);
    prefilledUntilMs = fromMs + timings.prefillDurationMs(uncachedTokens);
    tokens += uncachedTokens * overlapShare({fromMs, toMs: prefilledUntilMs}, span);
  }
  return tokens;
}

/** Fraction of the first time span that overlaps `other`. */
function overlapShare({fromMs, toMs}: TimeSpan, other: TimeSpan): number {
  const insideMs = Math.min(toMs, other.toMs) - Math.max(fromMs, other.fromMs);
  return Math.max(0, insideMs) / Math.max(Number.EPSILON, toMs - fromMs);
}
