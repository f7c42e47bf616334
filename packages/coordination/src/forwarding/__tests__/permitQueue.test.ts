import {VirtualClock} from '@marigoldfold/runtime';
import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {type Permit, PermitQueue} from '../permitQueue.js';

/** Starts requests and records the times of the permits by rank. */
function createQueue(perSecond: number) {
  const clock = new VirtualClock();
  const queue = new PermitQueue(clock, perSecond);
  const granted: {readonly rank: number; readonly atMs: number}[] = [];
  const denied: Extract<Permit, {isGranted: false}>[] = [];
  const request = (rank: number, waitMs: number) => {
    void queue.request({rank, waitMs}).then((permit) => {
      if (permit.isGranted) granted.push({rank, atMs: clock.now()});
      else denied.push(permit);
    });
  };
  return {clock, queue, granted, denied, request};
}

describe('permits of an endpoint', () => {
  test('exceed its rate in no window, whatever arrives', async () => {
    const arrival = fc.tuple(fc.nat(300), fc.nat(3), fc.nat(800));
    const run = async (perSecond: number, arrivals: [number, number, number][]) => {
      const {clock, granted, request} = createQueue(perSecond);
      for (const [gapMs, rank, waitMs] of arrivals) {
        await clock.advance(gapMs);
        request(rank, waitMs);
      }
      await clock.advance(2000);
      for (const {atMs: fromMs} of granted) {
        const count = granted.filter(({atMs}) => atMs >= fromMs && atMs < fromMs + 4000).length;
        expect(count).toBeLessThanOrEqual(4 * perSecond + 3);
      }
    };
    const property = fc.asyncProperty(
      fc.double({min: 0.25, max: 12, noNaN: true}),
      fc.array(arrival, {minLength: 20, maxLength: 120}),
      run,
    );
    await fc.assert(property, {seed: 7, numRuns: 40});
  });

  test('go to the most urgent waiting request first', async () => {
    const {clock, granted, request} = createQueue(1);
    for (const rank of [2, 1, 0]) request(rank, 5000);
    await clock.advance(5000);
    expect(granted.map(({rank}) => rank)).toEqual([0, 1, 2]);
  });

  test('reach each rank while more urgent requests alone exceed the rate', async () => {
    const {clock, granted, request} = createQueue(5);
    for (let passed = 0; passed < 20_000; passed += 50) {
      request(0, 300);
      if (passed % 200 === 0) request(2, 300);
      await clock.advance(50);
    }
    const low = granted.filter(({rank}) => rank === 2).length;
    expect(granted.length).toBeGreaterThanOrEqual(98);
    expect(low).toBeGreaterThanOrEqual(5);
    expect(low).toBeLessThan(granted.length / 4);
  });

  test('are denied at once if the wait would be too long, with the time to return', async () => {
    const {clock, denied, request} = createQueue(0.5);
    request(1, 1000);
    await clock.advance(0);
    expect(denied).toEqual([{isGranted: false, retryAfterMs: 2000}]);
  });

  test('are issued now and then for a limit of 0, since only a response can end it', async () => {
    const {clock, granted, request} = createQueue(0);
    for (let second = 0; second < 40; second += 1) {
      request(1, 0);
      await clock.advance(1000);
    }
    expect(granted.length).toBeGreaterThan(5);
    expect(granted.length).toBeLessThanOrEqual(10);
  });
});
