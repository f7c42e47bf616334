import {seededRandom, VirtualClock} from '@marigoldfold/runtime';
import {describe, expect, it} from 'vitest';
import {load} from '../__fixtures__/fleet.js';
import {EndpointState} from '../endpointState.js';
import {FailureBackoff} from '../failureBackoff.js';
import {TrafficWeight} from '../trialTraffic.js';

function create() {
  const clock = new VirtualClock();
  return {clock, state: new EndpointState(clock, seededRandom(1), 4)};
}

describe('the estimated wait', () => {
  it('includes own requests sent after the last report', async () => {
    const {clock, state} = create();
    state.observe(load({running: [4], waitMs: [500, 500]}), clock.now());
    await clock.advance(1);
    const before = state.waitMs(1);
    state.trackRequest(1);
    state.trackRequest(3);
    expect(state.waitMs(1)).toBeGreaterThan(before);
    expect(state.waitMs(3)).toBeGreaterThan(state.waitMs(1));
  });

  it('includes requests that a delayed report does not include', async () => {
    const {clock, state} = create();
    await clock.advance(100);
    state.observe(load({running: [4], waitMs: [500]}), 50);
    state.trackRequest(0);
    const withOne = state.waitMs(0);
    await clock.advance(10);
    state.observe(load({running: [4], waitMs: [500]}), 90);
    expect(state.waitMs(0)).toBe(withOne);
    state.observe(load({running: [4], waitMs: [500]}), 100);
    expect(state.waitMs(0)).toBeLessThan(withOne);
  });

  it('does not exceed the reported wait while slots are free', () => {
    const {state} = create();
    state.observe(load({running: [1]}), 0);
    state.trackRequest(0);
    state.trackRequest(0);
    expect(state.waitMs(0)).toBe(0);
  });

  it('no longer includes a request that has ended', () => {
    const {state} = create();
    const sent = [0, 0, 0, 0, 0].map((tier) => state.trackRequest(tier));
    expect(state.utilization).toBe(1.25);
    for (const request of [...sent, ...sent]) request[Symbol.dispose]();
    expect(state.utilization).toBe(0);
  });
});

describe('a load report', () => {
  it('of an earlier incarnation is ignored', () => {
    const {state} = create();
    state.observe(load({incarnation: 'b0-new', waitMs: [5]}), 0);
    state.observe(load({incarnation: 'a0-old', waitMs: [900]}), 0);
    expect(state.waitMs(0)).toBe(5);
  });

  it('becomes stale sooner for a busy endpoint', async () => {
    const {clock, state} = create();
    expect(state.isStale).toBe(true);
    state.observe(load({running: [4]}), 0);
    await clock.advance(1000);
    expect(state.isStale).toBe(true);
    state.observe(load(), clock.now());
    await clock.advance(1000);
    expect(state.isStale).toBe(false);
  });
});

describe('the inter-token latency', () => {
  it('is updated by responses that are still streaming', async () => {
    const {clock, state} = create();
    const streams = [state.trackRequest(0), state.trackRequest(3)];
    const observeTokens = async (gapMs: number, tokens: number) => {
      for (let token = 0; token < tokens; token += 1) {
        await clock.advance(gapMs);
        for (const stream of streams) stream.observeInterToken(gapMs);
      }
    };
    await observeTokens(20, 30);
    expect(state.latency.interTokenMs).toBe(20);
    await observeTokens(100, 9);
    expect(state.latency.interTokenMs).toBe(100);
  });

  it('is not affected by a single prompt that stalls all streams', async () => {
    const {clock, state} = create();
    const streams = Array.from({length: 8}, () => state.trackRequest(0));
    for (const gapMs of [20, 20, 400, 20]) {
      await clock.advance(gapMs);
      for (const stream of streams) stream.observeInterToken(gapMs);
    }
    expect(state.latency.interTokenMs).toBe(20);
  });

  it('is taken from the newer of report and own samples, and old samples are dropped', async () => {
    const {clock, state} = create();
    const stream = state.trackRequest(0);
    for (let token = 0; token < 8; token += 1) stream.observeInterToken(20);
    await clock.advance(10);
    state.observe(load({interTokenMs: 50}), clock.now());
    expect(state.latency.interTokenMs).toBe(50);
    await clock.advance(20);
    stream.observeInterToken(20);
    expect(state.latency.interTokenMs).toBe(20);
    await clock.advance(11_000);
    expect(state.latency.interTokenMs).toBe(50);
  });
});

describe('backoff', () => {
  it('doubles with each failure up to a limit and resets after a success', async () => {
    const clock = new VirtualClock();
    const backoff = new FailureBackoff(clock, () => 0);
    const times: number[] = [];
    for (let failure = 0; failure < 8; failure += 1) {
      backoff.recordFailure();
      backoff.recordFailure();
      times.push(backoff.remainingMs);
      await clock.advance(backoff.remainingMs);
      expect(backoff.isActive).toBe(false);
    }
    expect(times).toEqual([500, 1000, 2000, 4000, 8000, 16_000, 30_000, 30_000]);
    backoff.recordSuccess();
    backoff.recordFailure();
    expect(backoff.remainingMs).toBe(500);
  });

  it('is not ended by a late response from before the failure', () => {
    const clock = new VirtualClock();
    const backoff = new FailureBackoff(clock, () => 0);
    backoff.recordFailure();
    backoff.recordSuccess();
    expect(backoff.isActive).toBe(true);
  });
});

describe('the weight of a slowed endpoint', () => {
  it('drops at once and recovers gradually', async () => {
    const clock = new VirtualClock();
    const weight = new TrafficWeight(clock);
    weight.update(5);
    expect(weight.value).toBeLessThan(0.05);
    await clock.advance(5000);
    weight.update(1);
    expect(weight.value).toBeGreaterThan(0.4);
    expect(weight.isReduced).toBe(true);
    await clock.advance(5000);
    weight.update(1);
    expect(weight.isReduced).toBe(false);
  });
});
