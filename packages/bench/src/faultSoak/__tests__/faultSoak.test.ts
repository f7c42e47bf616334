import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {describe, expect, test} from 'vitest';
import {faultSoak} from '../faultSoak.js';

/** A planned phase, a phase with faults and the pause between them. */
const DURATION_MS = 16_000;
const TEST_LIMIT_MS = 90_000;

/** Seeds with a reason; one that ever failed stays. */
const seeds = [
  [1, 'the first one'],
  // The checker took the version from the service that a run reached, which several versions share.
  [204, 'requests of callers that left while their router was paused'],
  [9, 'a router that was three versions behind'],
] as const;

describe.concurrent('the fault soak', () => {
  test.each(seeds)(
    'keeps every promise with seed %d: %s',
    async (seed) => {
      const folder = mkdtempSync(join(tmpdir(), 'fault-soak-'));
      const result = await faultSoak({
        seed,
        durationMs: DURATION_MS,
        routers: 3,
        callers: 18,
        folder,
      });
      expect(result.breaches).toEqual([]);
      expect(result.served).toBeGreaterThan(0);
    },
    TEST_LIMIT_MS,
  );
});
