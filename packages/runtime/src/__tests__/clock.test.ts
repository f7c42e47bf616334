import {setTimeout as delay} from 'node:timers/promises';
import {describe, expect, test} from 'vitest';
import {steadyClock, systemClock} from '../clock.js';

// Guards against timers that fire at once, again and again, since Node.js turns delays that it cannot hold into 1 ms.
describe.each([
  ['systemClock', systemClock],
  ['steadyClock', steadyClock],
])('%s', (_name, clock) => {
  test.each([Number.POSITIVE_INFINITY, 1e308, 2 ** 31, 3e9])(
    'does not run an action early that is due in %d ms',
    async (delayMs) => {
      let hasRun = false;
      const timer = clock.schedule(delayMs, () => {
        hasRun = true;
      });
      await delay(30);
      timer[Symbol.dispose]();
      expect(hasRun).toBe(false);
    },
  );

  test.each([0, -1, Number.NEGATIVE_INFINITY])(
    'runs an action that is due in %d ms at once',
    async (delayMs) => {
      let hasRun = false;
      const timer = clock.schedule(delayMs, () => {
        hasRun = true;
      });
      await delay(30);
      timer[Symbol.dispose]();
      expect(hasRun).toBe(true);
    },
  );
});
