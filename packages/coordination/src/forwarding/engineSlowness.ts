/** Finds how slow an engine is now by the events of its streams, beside what it says itself. */
import type {Endpoint} from './endpoint.js';
import type {EngineTimings} from './engineTimings.js';
import {estimatePrefilledTokens} from './prefillEstimate.js';

/** Silence counts as slowness up to this: a longer one is not explained by neighbours. */
const MAX_SILENCE_SLOWNESS = 3;

/**
 * Takes the time that some events of a stream took and returns how slow that was; 1 is usual. What was read
 * meanwhile explains a part of it.
 */
export function measureSlowness(
  endpoint: Endpoint,
  pace: EngineTimings,
  events: number,
  span: {readonly nowMs: number; readonly tookMs: number},
): number {
  const {nowMs, tookMs} = span;
  const read = prefilledTokensWithin(endpoint, pace, nowMs, tookMs);
  const slowness = Math.max(1, tookMs / expectedEventsMs(pace, events, read));
  if (read === 0) pace.recordEventGap(tookMs / events);
  endpoint.recordSlowness(slowness);
  return slowness;
}

/** How long work takes at an endpoint, also by the time that no event has come; 1 is usual. */
export function estimateSlowness(endpoint: Endpoint, pace: EngineTimings, nowMs: number): number {
  let lastEventMs = 0;
  for (const {lastEventAtMs} of endpoint.localRequests) {
    lastEventMs = Math.max(lastEventMs, lastEventAtMs ?? 0);
  }
  if (lastEventMs === 0) return endpoint.slowness;
  const silentMs = nowMs - lastEventMs;
  const silence =
    silentMs / expectedEventsMs(pace, 1, prefilledTokensWithin(endpoint, pace, nowMs, silentMs));
  return Math.min(MAX_SILENCE_SLOWNESS, Math.max(endpoint.slowness, silence));
}

function prefilledTokensWithin(
  endpoint: Endpoint,
  pace: EngineTimings,
  nowMs: number,
  tookMs: number,
): number {
  return estimatePrefilledTokens(endpoint.knownRequests(), pace, {
    fromMs: nowMs - tookMs,
    toMs: nowMs,
  });
}

/** The time for some events at the usual pace beside what is read. */
function expectedEventsMs(pace: EngineTimings, events: number, readTokens: number): number {
  const read = Math.min(readTokens, events * pace.prefillTokensPerEvent);
  return events * pace.eventGapMs + read * pace.prefillMsPerToken;
}
