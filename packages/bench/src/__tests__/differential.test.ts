import fc from 'fast-check';
import {expect, it} from 'vitest';
import {cells} from '../matrix/cells.js';
import {type RunnableCell, runWorld, type Start, type Told} from '../matrix/driver.js';
import {type Injection, Injector} from '../matrix/faults.js';
import {NaiveSystem} from '../matrix/naive.js';
import {World} from '../matrix/world.js';

const KEYS = ['one', 'two', 'three'];
const SPAN_MS = 5000;

const starts: fc.Arbitrary<Start[]> = fc.array(
  fc.record({
    atMs: fc.nat({max: SPAN_MS}),
    order: fc.oneof(
      fc.constant({kind: 'generation' as const, key: '', isRepeat: false}),
      fc.constantFrom(...KEYS).map((key) => ({kind: 'call' as const, key, isRepeat: false})),
    ),
  }),
  {minLength: 1, maxLength: 15},
);

const runnable = cells.filter((cell): cell is RunnableCell => 'expectation' in cell);
const injections: fc.Arbitrary<Injection[]> = fc
  .array(fc.constantFrom(...runnable), {maxLength: 5})
  .map((chosen) =>
    chosen.flatMap(({step, fault}) => [...(step.baseline ?? []), {fault, fits: step.fits}]),
  );

/** What a caller has: the text of a whole answer, or nothing. */
function answers(told: readonly Told[]): ReadonlyMap<string, string> {
  const texts = new Map<string, string>();
  for (const {id, text, end} of told) if (end?.kind === 'whole') texts.set(id, text);
  return texts;
}

function naiveRun(told: readonly Told[]) {
  const naive = new NaiveSystem();
  const texts = new Map<string, string>();
  for (const {id, order} of told) texts.set(id, naive.run(id, order));
  return {texts, postings: naive.postings};
}

it('without faults the system gives what the naive version gives', async () => {
  await fc.assert(
    fc.asyncProperty(starts, fc.nat({max: 1000}), async (load, seed) => {
      const world = new World(new Injector([]), seed);
      const {told, violations} = await runWorld(world, load, []);
      const naive = naiveRun(told);
      expect(violations).toEqual([]);
      expect(answers(told)).toEqual(naive.texts);
      const postings = world.ledger.ledger.postings.map(({account}) => account);
      expect(postings.sort()).toEqual([...naive.postings].sort());
    }),
    {seed: 41, numRuns: 40},
  );
}, 60_000);

it('with up to five faults each whole answer is the naive one, and no call runs that it would not run', async () => {
  await fc.assert(
    fc.asyncProperty(starts, injections, fc.nat({max: 1000}), async (load, faults, seed) => {
      const world = new World(new Injector(faults), seed);
      const {told, violations} = await runWorld(world, load, []);
      const naive = naiveRun(told);
      expect(violations).toEqual([]);
      for (const [id, text] of answers(told)) expect(text).toBe(naive.texts.get(id));
      const postings = world.ledger.ledger.postings.map(({account}) => account);
      expect(new Set(postings).size).toBe(postings.length);
      for (const key of postings) expect(naive.postings).toContain(key);
    }),
    {seed: 43, numRuns: 120},
  );
}, 120_000);
