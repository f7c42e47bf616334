/** Measures the slowness of an engine from the event times of its streams, in addition to its load reports. */
import {MAX_COUNT} from '@marigoldfold/state';
import type {Endpoint} from './endpoint.js';
import type {EngineTimings} from './engineTimings.js';
import {estimatePrefilledTokens} from './prefillEstimate.js';

/** Upper limit of the slowness inferred from time without events; other load on the machine causes no more. */
const MAX_SILENCE_SLOWNESS = 3;
/**
 * Maximum fraction of the expected time that prefill may take in a sample of the lasting speed. The estimated prefill time
 * includes queueing, so samples with much prefill make endpoints with long prompts seem fast.
 */
const MAX_SAMPLE_PREFILL_SHARE = 0.1;

/**
 * Records the time that a number of stream events took and returns its ratio to the expected time, which
 * includes the prefill of other prompts during that time.
 */
export function measureSlowness(
  endpoint: Endpoint,
  timings: EngineTimings,
  events: number,
  span: {readonly nowMs: number; readonly elapsedMs: number},
): number {
  const {nowMs, elapsedMs} = span;
  const prefilledTokens = prefilledTokensWithin(endpoint, timings, nowMs, elapsedMs);
  const expectedMs = expectedEventsMs(timings, events, prefilledTokens);
  const ratio = Math.min(MAX_COUNT, elapsedMs / expectedMs);
  const slowness = Math.max(1, ratio);
  const prefillMs = expectedMs - events * timings.eventGapMs;
  if (prefillMs <= expectedMs * MAX_SAMPLE_PREFILL_SHARE) endpoint.speed.recordSample(ratio, nowMs);
  if (prefilledTokens === 0) timings.recordEventGap(elapsedMs / events);
  endpoint.recordSlowness(slowness);
  return slowness;
}

/** Current or lasting duration of work, whichever is longer, divided by its usual duration; rises while no events arrive. */
export function estimateSlowness(
  endpoint: Endpoint,
  timings: EngineTimings,
  nowMs: number,
): number {
  let lastEventMs = 0;
  for (const {lastEventAtMs} of endpoint.localRequests) {
    lastEventMs = Math.max(lastEventMs, lastEventAtMs ?? 0);
  }
  const slowness = Math.max(endpoint.slowness, endpoint.speed.slowness);
  if (lastEventMs === 0) return slowness;
  const sinceLastEventMs = nowMs - lastEventMs;
  const silenceSlowness =
    sinceLastEventMs /
    expectedEventsMs(timings, 1, prefilledTokensWithin(endpoint, timings, nowMs, sinceLastEventMs));
  return Math.max(slowness, Math.min(MAX_SILENCE_SLOWNESS, silenceSlowness));
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

/** Usual time, in milliseconds, for `events` stream events while `prefillTokens` prompt tokens are prefilled. */
function expectedEventsMs(timings: EngineTimings, events: number, prefillTokens: number): number {
  const prefilledTokens = Math.min(prefillTokens, events * timings.prefillTokensPerEvent);
  return events * timings.eventGapMs + prefilledTokens * timings.prefillMsPerToken;
}
