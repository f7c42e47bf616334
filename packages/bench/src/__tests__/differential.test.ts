import fc from 'fast-check';
import {expect, it} from 'vitest';
import {cells} from '../matrix/cells.js';
import {
  type RunnableCell,
  runSystem,
  type PlannedRequest,
  type RecordedOutcome,
} from '../matrix/driver.js';
import {type Injection, Injector} from '../matrix/faults.js';
import {ReferenceSystem} from '../matrix/referenceSystem.js';
import {SimulatedSystem} from '../matrix/simulatedSystem.js';

const KEYS = ['one', 'two', 'three'];
const ARRIVAL_PERIOD_MS = 5000;

const plannedRequests: fc.Arbitrary<PlannedRequest[]> = fc.array(
  fc.record({
    atMs: fc.nat({max: ARRIVAL_PERIOD_MS}),
    request: fc.oneof(
      fc.constant({kind: 'generation' as const, key: '', isRepeat: false}),
      fc.constantFrom(...KEYS).map((key) => ({kind: 'call' as const, key, isRepeat: false})),
    ),
  }),
  {minLength: 1, maxLength: 15},
);

const runnable = cells.filter((cell): cell is RunnableCell => 'expectation' in cell);
const injections: fc.Arbitrary<Injection[]> = fc
  .array(fc.constantFrom(...runnable), {maxLength: 5})
  .map((selected) =>
    selected.flatMap(({step, fault}) => [
      ...(step.setupFaults ?? []),
      {fault, matches: step.matches},
    ]),
  );

/** Texts of the complete answers, by request id. */
function completeAnswers(outcomes: readonly RecordedOutcome[]): ReadonlyMap<string, string> {
  const texts = new Map<string, string>();
  for (const {id, text, end} of outcomes) if (end?.kind === 'whole') texts.set(id, text);
  return texts;
}

function runReference(outcomes: readonly RecordedOutcome[]) {
  const reference = new ReferenceSystem();
  const texts = new Map<string, string>();
  for (const {id, request} of outcomes) texts.set(id, reference.run(id, request));
  return {texts, postings: reference.postings};
}

it('without faults the system gives the same answers as the reference system', async () => {
  await fc.assert(
    fc.asyncProperty(plannedRequests, fc.nat({max: 1000}), async (load, seed) => {
      const system = new SimulatedSystem(new Injector([]), seed);
      const {outcomes, violations} = await runSystem(system, load, []);
      const reference = runReference(outcomes);
      expect(violations).toEqual([]);
      expect(completeAnswers(outcomes)).toEqual(reference.texts);
      const postings = system.ledger.ledger.postings.map(({account}) => account);
      expect(postings.sort()).toEqual([...reference.postings].sort());
    }),
    {seed: 41, numRuns: 40},
  );
}, 60_000);

it('with up to five faults each complete answer equals the reference, and no call runs twice or without a request', async () => {
  await fc.assert(
    fc.asyncProperty(
      plannedRequests,
      injections,
      fc.nat({max: 1000}),
      async (load, faults, seed) => {
        const system = new SimulatedSystem(new Injector(faults), seed);
        const {outcomes, violations} = await runSystem(system, load, []);
        const reference = runReference(outcomes);
        expect(violations).toEqual([]);
        for (const [id, text] of completeAnswers(outcomes))
          expect(text).toBe(reference.texts.get(id));
        const postings = system.ledger.ledger.postings.map(({account}) => account);
        expect(new Set(postings).size).toBe(postings.length);
        for (const key of postings) expect(reference.postings).toContain(key);
      },
    ),
    {seed: 43, numRuns: 120},
  );
}, 120_000);
