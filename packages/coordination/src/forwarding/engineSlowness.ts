/** Measures the slowness of an engine by the events of its streams, besides its own reports. */
import type {Endpoint} from './endpoint.js';
import type {EngineTimings} from './engineTimings.js';
import {estimatePrefilledTokens} from './prefillEstimate.js';

/** Largest slowness inferred from silence; neighbours do not explain a longer silence. */
const MAX_SILENCE_SLOWNESS = 3;

/**
 * Records the time that some events of a stream took and returns its ratio to the expected time. The
 * expected time includes the prefill of prompts meanwhile.
 */
export function measureSlowness(
  endpoint: Endpoint,
  timings: EngineTimings,
  events: number,
  span: {readonly nowMs: number; readonly elapsedMs: number},
): number {
  const {nowMs, elapsedMs} = span;
  const prefilledTokens = prefilledTokensWithin(endpoint, timings, nowMs, elapsedMs);
  const slowness = Math.max(1, elapsedMs / expectedEventsMs(timings, events, prefilledTokens));
  if (prefilledTokens === 0) timings.recordEventGap(elapsedMs / events);
  endpoint.recordSlowness(slowness);
  return slowness;
}

/** Current slowness of an endpoint, 1 being usual; time without events raises it. */
export function estimateSlowness(
  endpoint: Endpoint,
  timings: EngineTimings,
  nowMs: number,
): number {
  let lastEventMs = 0;
  for (const {lastEventAtMs} of endpoint.localRequests) {
    lastEventMs = Math.max(lastEventMs, lastEventAtMs ?? 0);
  }
  if (lastEventMs === 0) return endpoint.slowness;
  const sinceLastEventMs = nowMs - lastEventMs;
  const silenceSlowness =
    sinceLastEventMs /
    expectedEventsMs(timings, 1, prefilledTokensWithin(endpoint, timings, nowMs, sinceLastEventMs));
  return Math.min(MAX_SILENCE_SLOWNESS, Math.max(endpoint.slowness, silenceSlowness));
}

function prefilledTokensWithin(
  endpoint: Endpoint,
  timings: EngineTimings,
  nowMs: number,
  elapsedMs: number,
): number {
  return estimatePrefilledTokens(endpoint.knownRequests(), timings, {
    fromMs: nowMs - elapsedMs,
    toMs: nowMs,
  });
}

/** Usual time for some events while the given number of prompt tokens is prefilled. */
function expectedEventsMs(timings: EngineTimings, events: number, prefillTokens: number): number {
  const prefilledTokens = Math.min(prefillTokens, events * timings.prefillTokensPerEvent);
  return events * timings.eventGapMs + prefilledTokens * timings.prefillMsPerToken;
}
