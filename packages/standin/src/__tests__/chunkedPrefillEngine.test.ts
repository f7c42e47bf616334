import {VirtualClock} from '@marigoldfold/runtime';
import {describe, expect, test} from 'vitest';
import {type EngineJob, ChunkedPrefillEngine} from '../chunkedPrefillEngine.js';

const stepCosts = {
  stepMs: 5,
  stepMsPerRequest: 0,
  stepMsPerThousandTokens: 0,
  readTokensPerMs: 50,
  stepReadTokens: 1000,
  firstEventMs: 0,
  tokensPerEvent: 2,
};

function create(slownessAt: (nowMs: number) => number = () => 1) {
  const clock = new VirtualClock();
  const engine = new ChunkedPrefillEngine({
    clock,
    stepCosts,
    slots: 4,
    cacheTokens: 10_000,
    slownessAt,
  });
  const events: string[] = [];
  const submit = (id: string, more: Partial<EngineJob> = {}) => {
    const parts = [{id: `own-${id}`, tokens: 50}];
    const job = {id, rank: 1, parts, promptTokens: 50, outputTokens: 4, ...more};
    engine.submit(job, (number) => events.push(`${id}.${number}@${Math.round(clock.now())}`));
  };
  return {clock, engine, events, submit};
}

describe('ChunkedPrefillEngine', () => {
  test('sends one event per tokensPerEvent tokens', async () => {
    const {clock, events, submit} = create();
    submit('a');
    await clock.advance(1000);
    expect(events).toEqual(['a.1@11', 'a.2@21']);
  });

  test('delays the events of running streams while it prefills a prompt', async () => {
    const {clock, events, submit} = create();
    submit('a', {outputTokens: 8});
    await clock.advance(12);
    submit('b', {promptTokens: 2000, parts: [{id: 'b', tokens: 2000}], outputTokens: 2});
    await clock.advance(1000);
    expect(events).toEqual(['a.1@11', 'a.2@41', 'a.3@71', 'b.1@71', 'a.4@81']);
  });

  test('skips cached prompt parts, and prefills the request with the lowest rank first', async () => {
    const {clock, engine, submit, events} = create();
    const shared = {id: 'shared', tokens: 1000};
    submit('a', {parts: [shared, {id: 'x', tokens: 100}], promptTokens: 1100});
    await clock.advance(1000);
    expect(engine.prefilledTokens).toBe(1100);
    submit('b', {parts: [shared, {id: 'y', tokens: 100}], promptTokens: 1100, rank: 2});
    submit('c', {promptTokens: 3000, parts: [{id: 'z', tokens: 3000}], rank: 0});
    await clock.advance(1000);
    expect(engine.prefilledTokens).toBe(1100 + 100 + 3000);
    expect(events.indexOf(events.find((event) => event.startsWith('b.1'))!)).toBeGreaterThan(1);
  });

  test('multiplies the step duration by the slowness factor and generates nothing for cancelled requests', async () => {
    const {clock, engine, events, submit} = create((nowMs) => (nowMs < 100 ? 2 : 1));
    submit('a');
    submit('b');
    engine.cancel('b');
    await clock.advance(1000);
    expect(events).toEqual(['a.1@22', 'a.2@42']);
    expect(engine.running + engine.waiting).toBe(0);
  });
});
