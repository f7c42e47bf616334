/** What an engine reads of prompts and when, as far as this process knows. */
import type {EngineTimings} from './engineTimings.js';
import type {InFlightRequest} from './inFlightRequest.js';

/** Part of a prompt that is taken to be read at most before its first event shows that it is. */
const MAX_PREFILL_PROGRESS = 0.8;
/** Time from a send until the engine can begin to read, in milliseconds: the way there within a region. */
const NETWORK_DELAY_MS = 2;

/** A span of time in milliseconds. */
export interface TimeSpan {
  readonly fromMs: number;
  readonly toMs: number;
}

/** Milliseconds of reading that an engine has before it. */
export function prefillBacklogMs(flights: Iterable<InFlightRequest>, nowMs: number): number {
  let totalMs = 0;
  let oldest: InFlightRequest | undefined;
  let lastBegunMs = 0;
  for (const flight of flights) {
    if (flight.firstEventAtMs !== undefined) {
      lastBegunMs = Math.max(lastBegunMs, flight.firstEventAtMs);
      continue;
    }
    totalMs += flight.prefillMs;
    if (oldest === undefined || flight.sentAtMs < oldest.sentAtMs) oldest = flight;
  }
  if (oldest === undefined) return 0;
  // Prompts are read one after the other: only the first of them can be partly read.
  const elapsedMs = nowMs - Math.max(oldest.sentAtMs, lastBegunMs);
  return totalMs - Math.min(elapsedMs, oldest.prefillMs * MAX_PREFILL_PROGRESS);
}

/**
 * Tokens of prompts that an engine should have read in a span at the usual pace: those of streams that have
 * begun before their first events, the others after these, in the order in which they were sent.
 */
export function estimatePrefilledTokens(
  flights: Iterable<InFlightRequest>,
  pace: EngineTimings,
  span: TimeSpan,
): number {
  let tokens = 0;
  let readUntilMs = Number.NEGATIVE_INFINITY;
  const waiting: InFlightRequest[] = [];
  for (const flight of flights) {
    const {firstEventAtMs, uncachedTokens} = flight;
    if (uncachedTokens === 0) continue;
    if (firstEventAtMs === undefined) {
      waiting.push(flight);
      continue;
    }
    const endMs = firstEventAtMs - pace.firstEventDelayMs;
    readUntilMs = Math.max(readUntilMs, endMs);
    if (endMs < span.fromMs) continue;
    const fromMs = endMs - pace.prefillDurationMs(uncachedTokens);
    tokens += uncachedTokens * overlapShare({fromMs, toMs: endMs}, span);
  }
  waiting.sort((a, b) => a.sentAtMs - b.sentAtMs);
  for (const {sentAtMs, uncachedTokens} of waiting) {
    const fromMs = Math.max(readUntilMs, sentAtMs + NETWORK_DELAY_MS);
    readUntilMs = fromMs + pace.prefillDurationMs(uncachedTokens);
    tokens += uncachedTokens * overlapShare({fromMs, toMs: readUntilMs}, span);
  }
  return tokens;
}

/** The part of a span that lies in another one. */
function overlapShare({fromMs, toMs}: TimeSpan, other: TimeSpan): number {
  const insideMs = Math.min(toMs, other.toMs) - Math.max(fromMs, other.fromMs);
  return Math.max(0, insideMs) / Math.max(Number.EPSILON, toMs - fromMs);
}
