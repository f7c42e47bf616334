import {VirtualClock} from '@marigoldfold/runtime';
import {MAX_COUNT} from '@marigoldfold/state';
import {describe, expect, test} from 'vitest';
import {Endpoint} from '../endpoint.js';
import {EngineTimings} from '../engineTimings.js';
import {estimatePrefilledTokens} from '../prefillEstimate.js';
import {measureSlowness, estimateSlowness} from '../engineSlowness.js';
import type {InFlightRequest} from '../inFlightRequest.js';

const EVENT_GAP_MS = 20;

function setUp() {
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
  const timings = new EngineTimings();
  timings.tokensPerEvent = 4;
  timings.eventGapMs = EVENT_GAP_MS;
  timings.firstEventDelayMs = EVENT_GAP_MS;
  timings.prefillMsPerToken = 0.02;
  return {clock, endpoint, timings};
}

// Guards against estimates that bursts of events bring to 0, after which slowness is infinite or no number.
test.each([0, 20])('slowness is a number after many bursts of events, for %d ms', (elapsedMs) => {
  const {clock, endpoint, timings} = setUp();
  for (let count = 0; count < 60_000; count += 1) timings.recordEventGap(0);
  const span = {nowMs: clock.now(), elapsedMs};
  expect(measureSlowness(endpoint, timings, 2, span)).toBeLessThanOrEqual(MAX_COUNT);
});

function requestWith(
  sentAtMs: number,
  uncachedTokens: number,
  firstEventAtMs?: number,
): InFlightRequest {
  return {
    requestId: `r${sentAtMs}`,
    sentAtMs,
    prefillMs: uncachedTokens * 0.02,
    prompt: undefined,
    objectiveMs: 600,
    pauseTargetMs: undefined,
    uncachedTokens,
    firstEventAtMs,
    lastEventAtMs: firstEventAtMs,
    lastGapMs: undefined,
    longestPauseMs: 0,
  };
}

describe('the slowness of an engine', () => {
  test('is detected although a prompt was prefilled shortly before', () => {
    const {clock, endpoint, timings} = setUp();
    const now = clock.now();
    // The prefill of this prompt ended before the two late events, so it does not explain their delay.
    endpoint.localRequests.add(requestWith(now - 160, 800, now - 90));
    const elapsedMs = 2 * 2.5 * EVENT_GAP_MS;
    expect(measureSlowness(endpoint, timings, 2, {nowMs: now, elapsedMs})).toBeGreaterThan(2);
  });

  test('does not include the prefill of a prompt', () => {
    const {clock, endpoint, timings} = setUp();
    const now = clock.now();
    const prefillMs = timings.prefillDurationMs(2000);
    endpoint.localRequests.add(requestWith(now - prefillMs - EVENT_GAP_MS - 5, 2000, now));
    const elapsedMs = 2 * EVENT_GAP_MS + 2000 * timings.prefillMsPerToken;
    expect(measureSlowness(endpoint, timings, 2, {nowMs: now, elapsedMs})).toBeLessThan(1.2);
  });

  test('rises with time without events unless prefill explains it', () => {
    const {clock, endpoint, timings} = setUp();
    const now = clock.now();
    endpoint.localRequests.add({
      ...requestWith(now - 900, 800, now - 800),
      lastEventAtMs: now - 60,
    });
    expect(estimateSlowness(endpoint, timings, now)).toBeCloseTo(3, 1);
    endpoint.localRequests.add(requestWith(now - 70, 4000));
    expect(estimateSlowness(endpoint, timings, now)).toBeLessThan(1.5);
  });
});

describe('the event gap of engines', () => {
  test('is measured only from events without prefill in between', () => {
    const {clock, endpoint, timings} = setUp();
    const now = clock.now();
    endpoint.localRequests.add(requestWith(now - 30, 4000));
    for (let count = 0; count < 50; count += 1) {
      measureSlowness(endpoint, timings, 2, {nowMs: now, elapsedMs: 200});
    }
    expect(timings.eventGapMs).toBe(EVENT_GAP_MS);
    endpoint.localRequests.clear();
    for (let count = 0; count < 50; count += 1) {
      measureSlowness(endpoint, timings, 2, {nowMs: now, elapsedMs: 60});
    }
    expect(timings.eventGapMs).toBeGreaterThan(25);
  });
});

describe('the estimate of prefilled tokens', () => {
  test('follows the order in which prompts were sent', () => {
    const {timings} = setUp();
    const prefillMs = timings.prefillDurationMs(1000);
    const requests = [requestWith(40, 1000), requestWith(0, 1000)];
    const first = estimatePrefilledTokens(requests, timings, {fromMs: 0, toMs: 2 + prefillMs});
    expect(first).toBeCloseTo(1000, 0);
    const second = {fromMs: 2 + prefillMs, toMs: 1000};
    expect(estimatePrefilledTokens(requests, timings, second)).toBeCloseTo(1000, 0);
    expect(estimatePrefilledTokens(requests, timings, {fromMs: 1000, toMs: 2000})).toBe(0);
  });
});
