import {VirtualClock} from '@marigoldfold/runtime';
import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {WindowedRetryBudget} from '../windowedRetryBudget.js';

const bounds = {ratio: 0.2, windowMs: 10_000, slack: 50};

describe('the retry budget', () => {
  test('starts small and grows with requests', async () => {
    const clock = new VirtualClock();
    const retryBudget = new WindowedRetryBudget(clock, bounds);
    expect([retryBudget.takeRetry('a'), retryBudget.takeRetry('a')]).toEqual([true, false]);
    for (let count = 0; count < 100; count += 1) retryBudget.recordRequest('a');
    let retryCount = 1;
    while (retryBudget.takeRetry('a')) retryCount += 1;
    expect(retryCount).toBe(17);
    expect(retryBudget.takeRetry('b')).toBe(true);
    await clock.advance(20_000);
    expect([retryBudget.takeRetry('a'), retryBudget.takeRetry('a')]).toEqual([true, false]);
  });

  test('keeps the ratio in every window, for any order of requests and retries', () => {
    const step = fc.record({waitMs: fc.nat(2000), isRetry: fc.boolean()});
    fc.assert(
      fc.property(fc.array(step, {maxLength: 200}), (steps) => {
        const clock = new VirtualClock();
        const retryBudget = new WindowedRetryBudget(clock, bounds);
        const requests: number[] = [];
        const retries: number[] = [];
        let now = 0;
        for (const {waitMs, isRetry} of steps) {
          now += waitMs;
          clock.schedule(waitMs, () => undefined);
          clock.step();
          if (!isRetry) {
            retryBudget.recordRequest('a');
            requests.push(now);
          } else if (retryBudget.takeRetry('a')) {
            retries.push(now);
          }
          const inWindow = (times: readonly number[]) =>
            times.filter((time) => time >= now - bounds.windowMs).length;
          const allowed = bounds.ratio * inWindow(requests) + bounds.slack;
          expect(inWindow(retries)).toBeLessThanOrEqual(allowed);
        }
      }),
      {seed: 7, numRuns: 100},
    );
  });
});
