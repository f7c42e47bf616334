import {VirtualClock} from '@marigoldfold/runtime';
import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {WindowedRetryBudget} from '../windowedRetryBudget.js';

const bounds = {ratio: 0.2, windowMs: 10_000, slack: 50};

describe('the retry budget', () => {
  test('starts small and grows with requests', async () => {
    const clock = new VirtualClock();
    const budget = new WindowedRetryBudget(clock, bounds);
    expect([budget.trySpend('a'), budget.trySpend('a')]).toEqual([true, false]);
    for (let count = 0; count < 100; count += 1) budget.recordRequest('a');
    let spent = 1;
    while (budget.trySpend('a')) spent += 1;
    expect(spent).toBe(17);
    expect(budget.trySpend('b')).toBe(true);
    await clock.advance(20_000);
    expect([budget.trySpend('a'), budget.trySpend('a')]).toEqual([true, false]);
  });

  test('keeps the ratio in every window, for any order of requests and retries', () => {
    const step = fc.record({waitMs: fc.nat(2000), isRetry: fc.boolean()});
    fc.assert(
      fc.property(fc.array(step, {maxLength: 200}), (steps) => {
        const clock = new VirtualClock();
        const budget = new WindowedRetryBudget(clock, bounds);
        const requests: number[] = [];
        const retries: number[] = [];
        let now = 0;
        for (const {waitMs, isRetry} of steps) {
          now += waitMs;
          clock.schedule(waitMs, () => undefined);
          clock.step();
          if (!isRetry) {
            budget.recordRequest('a');
            requests.push(now);
          } else if (budget.trySpend('a')) {
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
