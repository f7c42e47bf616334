import {VirtualClock} from '@marigoldfold/runtime';
import {describe, expect, test} from 'vitest';
import {Endpoint} from '../endpoint.js';
import {EnginePace} from '../enginePace.js';
import {tokensRead} from '../engineReading.js';
import {observeEvents, slownessOf} from '../engineSlowness.js';
import type {Flight} from '../flight.js';

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
  const pace = new EnginePace();
  pace.tokensPerEvent = 4;
  pace.eventMs = EVENT_MS;
  pace.startMs = EVENT_MS;
  pace.readMsPerToken = 0.02;
  return {clock, endpoint, pace};
}

function flightOf(sentAtMs: number, unreadTokens: number, firstEventAtMs?: number): Flight {
  return {
    requestId: `r${sentAtMs}`,
    sentAtMs,
    readMs: unreadTokens * 0.02,
    prompt: undefined,
    pauseTargetMs: undefined,
    unreadTokens,
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
    endpoint.flights.add(flightOf(now - 160, 800, now - 90));
    const tookMs = 2 * 2.5 * EVENT_MS;
    expect(observeEvents(endpoint, pace, 2, {nowMs: now, tookMs})).toBeGreaterThan(2);
  });

  test('is not what reading a prompt takes', () => {
    const {clock, endpoint, pace} = create();
    const now = clock.now();
    const readMs = pace.readingMs(2000);
    endpoint.flights.add(flightOf(now - readMs - EVENT_MS - 5, 2000, now));
    const tookMs = 2 * EVENT_MS + 2000 * pace.readMsPerToken;
    expect(observeEvents(endpoint, pace, 2, {nowMs: now, tookMs})).toBeLessThan(1.2);
  });

  test('shows in silence that no prompt explains', () => {
    const {clock, endpoint, pace} = create();
    const now = clock.now();
    endpoint.flights.add({...flightOf(now - 900, 800, now - 800), lastEventAtMs: now - 60});
    expect(slownessOf(endpoint, pace, now)).toBeCloseTo(3, 1);
    endpoint.flights.add(flightOf(now - 70, 4000));
    expect(slownessOf(endpoint, pace, now)).toBeLessThan(1.5);
  });
});

describe('the pace of engines', () => {
  test('is taken only from events beside which nothing was read', () => {
    const {clock, endpoint, pace} = create();
    const now = clock.now();
    endpoint.flights.add(flightOf(now - 30, 4000));
    for (let count = 0; count < 50; count += 1) {
      observeEvents(endpoint, pace, 2, {nowMs: now, tookMs: 200});
    }
    expect(pace.eventMs).toBe(EVENT_MS);
    endpoint.flights.clear();
    for (let count = 0; count < 50; count += 1) {
      observeEvents(endpoint, pace, 2, {nowMs: now, tookMs: 60});
    }
    expect(pace.eventMs).toBeGreaterThan(25);
  });
});

describe('what an engine has read', () => {
  test('follows the order in which prompts were sent', () => {
    const {pace} = create();
    const readMs = pace.readingMs(1000);
    const flights = [flightOf(40, 1000), flightOf(0, 1000)];
    const first = tokensRead(flights, pace, {fromMs: 0, toMs: 2 + readMs});
    expect(first).toBeCloseTo(1000, 0);
    const second = {fromMs: 2 + readMs, toMs: 1000};
    expect(tokensRead(flights, pace, second)).toBeCloseTo(1000, 0);
    expect(tokensRead(flights, pace, {fromMs: 1000, toMs: 2000})).toBe(0);
  });
});
