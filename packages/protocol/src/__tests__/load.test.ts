import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {encodeLoad, type Load, loadSchema} from '../load.js';
import {tierCount} from '../tier.js';

const counts = fc.array(fc.nat(3), {minLength: tierCount, maxLength: tierCount});
const load: fc.Arbitrary<Load> = fc.record({
  incarnation: fc.constant('a-1'),
  configuration: fc.nat(),
  running: counts,
  queued: counts,
  waitMs: fc.array(fc.constantFrom(0, 0.4, 12.25, 12.4, 900), {
    minLength: tierCount,
    maxLength: tierCount,
  }),
  window: fc.integer({min: 1, max: 64}),
  interTokenMs: fc.double({min: 0, max: 100, noNaN: true}),
  firstTokenMs: fc.double({min: 0, max: 9000, noNaN: true}),
  isLeaving: fc.boolean(),
});

describe('an encoded load report', () => {
  it('decodes to the same values for every tier', () => {
    fc.assert(
      fc.property(load, (original) => {
        const decoded = loadSchema.parse(JSON.parse(JSON.stringify(encodeLoad(original))));
        for (let tier = 0; tier < tierCount; tier += 1) {
          expect(decoded.running[tier] ?? 0).toBe(original.running[tier]);
          expect(decoded.queued[tier] ?? 0).toBe(original.queued[tier]);
          const waitMs = decoded.waitMs[tier] ?? decoded.waitMs.at(-1) ?? 0;
          expect(Math.abs(waitMs - original.waitMs[tier]!)).toBeLessThanOrEqual(0.5);
        }
      }),
      {seed: 5, numRuns: 300},
    );
  });
});
