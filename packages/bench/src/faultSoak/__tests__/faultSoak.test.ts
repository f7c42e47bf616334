import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {describe, expect, test} from 'vitest';
import {faultSoak} from '../faultSoak.js';

/** A planned phase, a phase with faults and the pause between them. */
const DURATION_MS = 16_000;
const TEST_LIMIT_MS = 90_000;

describe('the fault soak', () => {
  test(
    'keeps every promise with seed 1',
    async () => {
      const folder = mkdtempSync(join(tmpdir(), 'fault-soak-'));
      const result = await faultSoak({
        seed: 1,
        durationMs: DURATION_MS,
        routers: 2,
        callers: 6,
        folder,
      });
      expect(result.breaches).toEqual([]);
      expect(result.served).toBeGreaterThan(0);
    },
    TEST_LIMIT_MS,
  );
});
