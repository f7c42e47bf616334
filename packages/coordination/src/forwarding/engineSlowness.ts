/** Finds how slow an engine is now by the events of its streams, beside what it says itself. */
import type {Endpoint} from './endpoint.js';
import type {EnginePace} from './enginePace.js';
import {tokensRead} from './engineReading.js';

/** Silence counts as slowness up to this: a longer one is not explained by neighbours. */
const MAX_SILENCE = 3;

/**
 * Takes the time that some events of a stream took and returns how slow that was; 1 is usual. What was read
 * meanwhile explains a part of it.
 */
export function observeEvents(
  endpoint: Endpoint,
  pace: EnginePace,
  events: number,
  span: {readonly nowMs: number; readonly tookMs: number},
): number {
  const {nowMs, tookMs} = span;
  const read = readBefore(endpoint, pace, nowMs, tookMs);
  const slowness = Math.max(1, tookMs / usualMs(pace, events, read));
  if (read === 0) pace.observeGap(tookMs / events);
  endpoint.observeSlowness(slowness);
  return slowness;
}

/** How long work takes at an endpoint, also by the time that no event has come; 1 is usual. */
export function slownessOf(endpoint: Endpoint, pace: EnginePace, nowMs: number): number {
  let lastEventMs = 0;
  for (const {lastEventAtMs} of endpoint.flights) {
    lastEventMs = Math.max(lastEventMs, lastEventAtMs ?? 0);
  }
  if (lastEventMs === 0) return endpoint.slowness;
  const silentMs = nowMs - lastEventMs;
  const silence = silentMs / usualMs(pace, 1, readBefore(endpoint, pace, nowMs, silentMs));
  return Math.min(MAX_SILENCE, Math.max(endpoint.slowness, silence));
}

function readBefore(endpoint: Endpoint, pace: EnginePace, nowMs: number, tookMs: number): number {
  return tokensRead(endpoint.knownFlights(), pace, {fromMs: nowMs - tookMs, toMs: nowMs});
}

/** The time for some events at the usual pace beside what is read. */
function usualMs(pace: EnginePace, events: number, readTokens: number): number {
  const read = Math.min(readTokens, events * pace.eventReadTokens);
  return events * pace.eventMs + read * pace.readMsPerToken;
}
