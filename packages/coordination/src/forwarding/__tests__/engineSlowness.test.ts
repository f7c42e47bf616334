import {VirtualClock} from '@marigoldfold/runtime';
import {describe, expect, test} from 'vitest';
import {Endpoint} from '../endpoint.js';
import {EngineTimings} from '../engineTimings.js';
import {estimatePrefilledTokens} from '../prefillEstimate.js';
import {measureSlowness, estimateSlowness} from '../engineSlowness.js';
import type {InFlightRequest} from '../inFlightRequest.js';

const EVENT_MS = 20;

function create() {
  const clock = new VirtualClock(10_000);
  const endpoint = new Endpoint(clock, {
    id: 'e1',
    service: 'model',
    address: '10.0.0.1:80',
    failureDomain: 'a',
    slots: 48,
    isLeaving: false,
    startedAtMs: 1,
  });
  const pace = new EngineTimings();
  pace.tokensPerEvent = 4;
  pace.eventGapMs = EVENT_MS;
  pace.firstEventDelayMs = EVENT_MS;
  pace.prefillMsPerToken = 0.02;
  return {clock, endpoint, pace};
}

function flightOf(
  sentAtMs: number,
  uncachedTokens: number,
  firstEventAtMs?: number,
): InFlightRequest {
  return {
    requestId: `r${sentAtMs}`,
    sentAtMs,
    prefillMs: uncachedTokens * 0.02,
    prompt: undefined,
    pauseTargetMs: undefined,
    uncachedTokens,
    firstEventAtMs,
    lastEventAtMs: firstEventAtMs,
    lastGapMs: undefined,
    longestPauseMs: 0,
  };
}

describe('the slowness of an engine', () => {
  test('is found although a prompt was read a moment before', () => {
    const {clock, endpoint, pace} = create();
    const now = clock.now();
    // Its prompt had been read before the two events that came too late.
    endpoint.localRequests.add(flightOf(now - 160, 800, now - 90));
    const tookMs = 2 * 2.5 * EVENT_MS;
    expect(measureSlowness(endpoint, pace, 2, {nowMs: now, tookMs})).toBeGreaterThan(2);
  });

  test('is not what reading a prompt takes', () => {
    const {clock, endpoint, pace} = create();
    const now = clock.now();
    const readMs = pace.prefillDurationMs(2000);
    endpoint.localRequests.add(flightOf(now - readMs - EVENT_MS - 5, 2000, now));
    const tookMs = 2 * EVENT_MS + 2000 * pace.prefillMsPerToken;
    expect(measureSlowness(endpoint, pace, 2, {nowMs: now, tookMs})).toBeLessThan(1.2);
  });

  test('shows in silence that no prompt explains', () => {
    const {clock, endpoint, pace} = create();
    const now = clock.now();
    endpoint.localRequests.add({...flightOf(now - 900, 800, now - 800), lastEventAtMs: now - 60});
    expect(estimateSlowness(endpoint, pace, now)).toBeCloseTo(3, 1);
    endpoint.localRequests.add(flightOf(now - 70, 4000));
    expect(estimateSlowness(endpoint, pace, now)).toBeLessThan(1.5);
  });
});

describe('the pace of engines', () => {
  test('is taken only from events beside which nothing was read', () => {
    const {clock, endpoint, pace} = create();
    const now = clock.now();
    endpoint.localRequests.add(flightOf(now - 30, 4000));
    for (let count = 0; count < 50; count += 1) {
      measureSlowness(endpoint, pace, 2, {nowMs: now, tookMs: 200});
    }
    expect(pace.eventGapMs).toBe(EVENT_MS);
    endpoint.localRequests.clear();
    for (let count = 0; count < 50; count += 1) {
      measureSlowness(endpoint, pace, 2, {nowMs: now, tookMs: 60});
    }
    expect(pace.eventGapMs).toBeGreaterThan(25);
  });
});

describe('what an engine has read', () => {
  test('follows the order in which prompts were sent', () => {
    const {pace} = create();
    const readMs = pace.prefillDurationMs(1000);
    const flights = [flightOf(40, 1000), flightOf(0, 1000)];
    const first = estimatePrefilledTokens(flights, pace, {fromMs: 0, toMs: 2 + readMs});
    expect(first).toBeCloseTo(1000, 0);
    const second = {fromMs: 2 + readMs, toMs: 1000};
    expect(estimatePrefilledTokens(flights, pace, second)).toBeCloseTo(1000, 0);
    expect(estimatePrefilledTokens(flights, pace, {fromMs: 1000, toMs: 2000})).toBe(0);
  });
});
