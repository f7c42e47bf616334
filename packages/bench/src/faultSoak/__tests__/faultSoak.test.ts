import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {describe, expect, test} from 'vitest';
import {runFaultSoak} from '../faultSoak.js';

/** Covers a phase of planned work, a phase with faults and the pause between them. */
const DURATION_MS = 16_000;
const TEST_LIMIT_MS = 90_000;

/** Every seed that ever failed stays in the list, with the reason. */
const seeds = [
  [1, 'the first seed'],
  // The checker derived the version from the service that a run reached, which several versions share.
  [204, 'requests whose callers disconnected while the router was paused'],
  [9, 'a router that was three configuration versions behind'],
] as const;

/** Seeds with restores of the store and limits of endpoints among the faults. */
const furtherSeeds = [[701, 'the first seed with restores and limits']] as const;

/** Seeds with preempted streams, signals during start-up and taken ports among the planned work. */
const reviewSeeds = [[802, 'streams that were cut since they were silent']] as const;

describe.concurrent('the fault soak', () => {
  test.each([
    ...seeds.map(([seed, reason]) => [seed, reason, false, false] as const),
    ...furtherSeeds.map(([seed, reason]) => [seed, reason, true, false] as const),
    ...reviewSeeds.map(([seed, reason]) => [seed, reason, false, true] as const),
  ])(
    'finds no violation with seed %d: %s',
    async (seed, _reason, hasFurtherFaults, hasReviewActions) => {
      const folder = mkdtempSync(join(tmpdir(), 'fault-soak-'));
      const result = await runFaultSoak({
        seed,
        durationMs: DURATION_MS,
        routers: 3,
        callers: 18,
        hasFurtherFaults,
        hasReviewActions,
        folder,
      });
      expect(result.violations).toEqual([]);
      expect(result.served).toBeGreaterThan(0);
    },
    TEST_LIMIT_MS,
  );
});
