/** Runs an experiment of `experiments/` as a test suite. */
import {readFileSync} from 'node:fs';
import {beforeAll, describe, expect, it} from 'vitest';
import {describeExpectation} from '../expectations.js';
import {type ExperimentOutcome, parseExperiment, runExperiment} from '../index.js';

const directory = new URL('../../../../experiments/', import.meta.url);
const RUN_TIMEOUT_MS = 60_000;

/**
 * Declares the tests of an experiment: one for the invariants and one for each expectation. The seed
 * defaults to that of the experiment's file.
 */
export function testExperiment(name: string, seed?: number): void {
  const text = readFileSync(new URL(`${name}.toml`, directory), 'utf8');
  const experiment = parseExperiment(text)._unsafeUnwrap();
  const references = new Set(experiment.expect.map(({of}) => of?.policy));
  const isNeeded = (policy: string) => policy === 'marigoldfold' || references.has(policy);
  describe(seed === undefined ? name : `${name}, seed ${seed}`, () => {
    let outcome: ExperimentOutcome;

    beforeAll(() => {
      outcome = runExperiment({
        experiment: {...experiment, policies: experiment.policies.filter(isNeeded)},
        seed: seed ?? experiment.seed,
      });
    }, RUN_TIMEOUT_MS);

    it('violates no invariant', () => {
      expect(outcome.violations).toEqual([]);
    });

    for (const [index, expectation] of experiment.expect.entries()) {
      it(describeExpectation(expectation), () => {
        expect(outcome.expectationResults[index]).toMatchObject({holds: true});
      });
    }
  });
}
