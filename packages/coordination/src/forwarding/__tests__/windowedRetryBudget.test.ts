import {VirtualClock} from '@marigoldfold/runtime';
import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {WindowedRetryBudget} from '../windowedRetryBudget.js';

const bounds = {ratio: 0.2, windowMs: 10_000, slack: 50};

describe('the budget of repeats', () => {
  test('has a small start and grows with requests', async () => {
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

  test('keeps the ratio in every window, whatever the order of requests and repeats', () => {
    const step = fc.record({waitMs: fc.nat(2000), isRepeat: fc.boolean()});
    fc.assert(
      fc.property(fc.array(step, {maxLength: 200}), (steps) => {
        const clock = new VirtualClock();
        const budget = new WindowedRetryBudget(clock, bounds);
        const requests: number[] = [];
        const repeats: number[] = [];
        let now = 0;
        for (const {waitMs, isRepeat} of steps) {
          now += waitMs;
          clock.schedule(waitMs, () => undefined);
          clock.step();
          if (!isRepeat) {
            budget.recordRequest('a');
            requests.push(now);
          } else if (budget.trySpend('a')) {
            repeats.push(now);
          }
          const inWindow = (times: readonly number[]) =>
            times.filter((time) => time >= now - bounds.windowMs).length;
          const allowed = bounds.ratio * inWindow(requests) + bounds.slack;
          expect(inWindow(repeats)).toBeLessThanOrEqual(allowed);
        }
      }),
      {seed: 7, numRuns: 100},
    );
  });
});
