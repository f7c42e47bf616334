import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {experimentSchema, policyNames, runExperiment} from '../index.js';

const policies = policyNames.filter((name) => name !== 'naive');

const requestClass = fc.record({
  tier: fc.integer({min: 0, max: 6}),
  firstTokenMs: fc.option(fc.integer({min: 200, max: 3000}), {nil: undefined}),
  interTokenMs: fc.option(fc.integer({min: 14, max: 40}), {nil: undefined}),
  completionMs: fc.option(fc.integer({min: 2000, max: 60_000}), {nil: undefined}),
  guaranteedShare: fc.constantFrom(0, 0.1, 0.3),
  typicalOutputTokens: fc.integer({min: 10, max: 200}),
  rate: fc.integer({min: 1, max: 12}),
  factor: fc.integer({min: 1, max: 6}),
  outputTokens: fc.integer({min: 5, max: 150}),
});

const fault = fc.record({
  kind: fc.constantFrom('slow', 'crash', 'late-reports'),
  endpoint: fc.integer({min: 1, max: 2}),
  atS: fc.integer({min: 0, max: 8}),
  durationS: fc.integer({min: 1, max: 6}),
});

const experiment = fc
  .record({
    slots: fc.integer({min: 1, max: 6}),
    queueCapacity: fc.integer({min: 1, max: 30}),
    classes: fc.array(requestClass, {minLength: 2, maxLength: 4}),
    faults: fc.array(fault, {maxLength: 3}),
    limit: fc.option(fc.integer({min: 1, max: 10}), {nil: undefined}),
    policy: fc.constantFrom(...policies),
  })
  .map(({slots, queueCapacity, classes, faults, limit, policy}) =>
    experimentSchema.parse({
      name: 'generated',
      durationS: 10,
      entries: 2,
      accounts: 3,
      policies: [policy],
      accountLimits:
        limit === undefined ? undefined : {requestsPerSecond: limit, burst: 5, concurrency: 10},
      endpoints: [
        {set: 'models', count: 2, slots, queueCapacity},
        {set: 'ledger', type: 'service', count: 1, slots: 2, queueCapacity},
      ],
      classes: classes.map(({rate, factor, outputTokens, ...settings}, index) => ({
        ...settings,
        name: `class-${index}`,
        endpointSet: index === 1 ? 'ledger' : 'models',
        arrivals: {requestsPerSecond: rate, bursts: [{atS: 3, durationS: 3, factor}]},
        outputTokens:
          index === 1
            ? {kind: 'fixed', value: 1}
            : {kind: 'lognormal', median: outputTokens, p95: outputTokens * 4, max: 800},
        callMs: {kind: 'fixed', value: 200},
      })),
      faults: faults.map(({kind, endpoint, atS, durationS}) => ({
        kind,
        endpoints: [`models-${endpoint}`],
        atS,
        durationS,
        ...(kind === 'slow' ? {factor: 5} : {}),
        ...(kind === 'late-reports' ? {lagMs: 1500} : {}),
      })),
    }),
  );

describe('invariants', () => {
  it('hold for any classes, bursts, faults and limits, with any one mechanism disabled', () => {
    fc.assert(
      fc.property(experiment, fc.integer({min: 1, max: 1000}), (generated, seed) => {
        const {violations, result} = runExperiment({experiment: generated, seed});
        expect(violations).toEqual([]);
        for (const {classes} of Object.values(result.policies)) {
          for (const classResult of Object.values(classes)) {
            expect(
              classResult.attained + classResult.late + classResult.refused + classResult.failed,
            ).toBe(classResult.offered);
          }
        }
      }),
      {seed: 41, numRuns: 120},
    );
  });
});
