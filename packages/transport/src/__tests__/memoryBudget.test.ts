import {VirtualClock} from '@marigoldfold/runtime';
import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {
  type EvictionRule,
  holderKinds,
  MemoryBudget,
  type MemoryBudgetOptions,
  type MemoryHolder,
} from '../memoryBudget.js';

const SMALL_BYTES = 10;
const STALLED_MS = 5000;

interface TestHolder extends MemoryHolder {
  readonly rules: readonly EvictionRule[];
}

function createBudget(options: Partial<MemoryBudgetOptions> = {}) {
  const clock = new VirtualClock();
  const budget = new MemoryBudget({
    clock,
    maxBytes: 1000,
    reservedBytes: 250,
    smallBytes: SMALL_BYTES,
    stalledMs: STALLED_MS,
    ...options,
  });
  const open = (owner: string, bytes = 0): TestHolder => {
    const rules: EvictionRule[] = [];
    const onEvicted = (rule: EvictionRule) => void rules.push(rule);
    const holder = budget.open({kind: 'body', owner, onEvicted});
    expect(holder.resize(bytes)).toBe(true);
    return Object.assign(holder, {rules});
  };
  return {clock, budget, open};
}

describe('the reserved part of a budget', () => {
  // Guards against large uploads that leave no memory for ordinary requests.
  test('is open to small holders only', () => {
    const {budget, open} = createBudget();
    open('a', 750).pin();
    expect(open('b').resize(11)).toBe(false);
    for (let number = 0; number < 25; number += 1) open('b', SMALL_BYTES);
    expect(budget.usedBytes).toBe(1000);
  });

  // Guards against a holder that fills the reserved part in small steps.
  test('is left by a holder that grows beyond the small size', () => {
    const {open} = createBudget();
    open('a', 745).pin();
    const growing = open('b', SMALL_BYTES);
    expect(growing.resize(11)).toBe(false);
    expect(growing.bytes).toBe(SMALL_BYTES);
  });
});

describe('eviction', () => {
  // Guards against uploads that stop short of their end and occupy the budget.
  test('takes holders without progress first, the oldest progress first', async () => {
    const {clock, open} = createBudget();
    const [older, old] = [open('a', 100), open('b', 100)];
    const active = open('c', 500);
    await clock.advance(1);
    old.recordProgress();
    await clock.advance(STALLED_MS);
    active.recordProgress();
    expect(open('d').resize(150)).toBe(true);
    expect([older, old, active].map(({rules}) => rules)).toEqual([['stalled'], [], []]);
    expect(open('d').resize(100)).toBe(true);
    expect([old, active].map(({rules}) => rules)).toEqual([['stalled'], []]);
  });

  // Guards against a client that displaces others by opening many connections.
  test('takes the largest holders of the owner that is above its share, before a larger one of another owner', () => {
    const {open} = createBudget({reservedBytes: 0});
    const other = open('b', 300);
    const [first, second, third] = [open('a', 200), open('a', 260), open('a', 240)];
    expect(open('c').resize(100)).toBe(true);
    expect([other, first, second, third].map(({rules}) => rules)).toEqual([[], [], ['share'], []]);
  });

  test('takes the largest holder for a small one if no owner is above its share', () => {
    const {open} = createBudget({reservedBytes: 0, smallBytes: 100});
    const pinned = open('a', 500);
    pinned.pin();
    const [second, third] = [open('b', 250), open('c', 240)];
    expect(open('d').resize(100)).toBe(true);
    expect([pinned, second, third].map(({rules}) => rules)).toEqual([[], ['largest'], []]);
  });

  // Guards against large uploads that are ended in favour of others, each after most of it has been read.
  test('lets a large holder wait for larger ones whose owners are within their share', () => {
    const {open} = createBudget({reservedBytes: 0});
    const holders = [open('a', 500), open('b', 300), open('c', 200)];
    holders[0]!.pin();
    expect(open('d').resize(200)).toBe(false);
    expect(open('a').resize(100)).toBe(false);
    expect(holders.every(({rules}) => rules.length === 0)).toBe(true);
  });

  // Guards against large uploads that end one another, or smaller ones, by turns.
  test('never takes a holder that makes progress and is not larger than the growing one', () => {
    const {open} = createBudget({reservedBytes: 0});
    const holders = [open('a', 300), open('a', 400), open('a', 300)];
    expect(open('b').resize(400)).toBe(false);
    expect(holders.every(({rules}) => rules.length === 0)).toBe(true);
  });

  // Guards against evictions in vain.
  test('takes nothing if that does not make room', async () => {
    const {clock, open} = createBudget({reservedBytes: 0});
    open('a', 800).pin();
    const stalled = open('b', 100);
    await clock.advance(STALLED_MS);
    expect(open('c').resize(500)).toBe(false);
    expect(stalled.rules).toEqual([]);
  });

  // Guards against bytes that stay counted, or evictions that are skipped, because of a fault in one callback.
  test('leaves the budget consistent when a callback throws', async () => {
    const errors: unknown[] = [];
    const {clock, budget, open} = createBudget({onCallbackError: (error) => errors.push(error)});
    const failure = new Error('failed');
    const onEvicted = () => {
      throw failure;
    };
    const holder = budget.open({kind: 'body', owner: 'a', onEvicted});
    holder.resize(400);
    const other = open('a', 300);
    await clock.advance(STALLED_MS);
    expect(open('b').resize(700)).toBe(true);
    expect(errors).toEqual([failure]);
    expect(other.rules).toEqual(['stalled']);
    holder[Symbol.dispose]();
    expect(budget.usedBytes).toBe(700);
    expect(holder.resize(1)).toBe(false);
  });
});

type Step =
  | {readonly kind: 'open'; readonly owner: string; readonly bytes: number}
  | {readonly kind: 'resize'; readonly index: number; readonly bytes: number}
  | {readonly kind: 'progress' | 'pin' | 'dispose'; readonly index: number}
  | {readonly kind: 'advance'; readonly ms: number};

const index = fc.nat(40);
const bytes = fc.oneof(fc.nat(20), fc.nat(600));
const step: fc.Arbitrary<Step> = fc.oneof(
  fc.record({kind: fc.constant('open' as const), owner: fc.constantFrom('a', 'b', 'c'), bytes}),
  fc.record({kind: fc.constant('resize' as const), index, bytes}),
  fc.record({
    kind: fc.constantFrom('progress' as const, 'pin' as const, 'dispose' as const),
    index,
  }),
  fc.record({kind: fc.constant('advance' as const), ms: fc.nat(4000)}),
);

interface ModelHolder {
  readonly holder: MemoryHolder;
  readonly owner: string;
  isPinned: boolean;
  progressAtMs: number;
  evictedBy: EvictionRule | undefined;
}

/** Applies the steps and checks each resize against a model of what may happen. */
async function runSteps(maxBytes: number, steps: readonly Step[]): Promise<void> {
  const reservedBytes = maxBytes / 4;
  const {clock, budget} = createBudget({maxBytes, reservedBytes});
  const holders: ModelHolder[] = [];
  const resize = (model: ModelHolder, newBytes: number) => {
    const before = holders.map((other) => ({other, bytes: other.holder.bytes}));
    const isOpen = model.evictedBy === undefined;
    const formerBytes = model.holder.bytes;
    const keptBytes = before
      .filter(({other}) => other !== model)
      .filter(({other, bytes}) => {
        const isStalled = clock.now() - other.progressAtMs >= STALLED_MS;
        return other.isPinned || (!isStalled && bytes <= newBytes);
      })
      .reduce((sum, {bytes}) => sum + bytes, 0);
    const hasRoom = model.holder.resize(newBytes);
    expect(model.holder.bytes).toBe(hasRoom ? newBytes : formerBytes);
    if (isOpen && newBytes <= SMALL_BYTES && keptBytes + newBytes <= maxBytes)
      expect(hasRoom).toBe(true);
    for (const {other, bytes} of before) {
      const isNewlyEvicted = bytes > 0 && other !== model && other.holder.bytes === 0;
      if (!isNewlyEvicted) continue;
      expect(hasRoom).toBe(true);
      expect(other.isPinned).toBe(false);
      const isStalled = clock.now() - other.progressAtMs >= STALLED_MS;
      expect(other.evictedBy === 'stalled').toBe(isStalled);
      if (!isStalled) expect(bytes).toBeGreaterThan(newBytes);
    }
  };
  const openHolder = (owner: string): ModelHolder => {
    const model: ModelHolder = {
      owner,
      isPinned: false,
      progressAtMs: clock.now(),
      evictedBy: undefined,
      holder: budget.open({
        kind: holderKinds[holders.length % holderKinds.length]!,
        owner,
        onEvicted: (rule) => {
          expect(model.evictedBy).toBeUndefined();
          model.evictedBy = rule;
        },
      }),
    };
    holders.push(model);
    return model;
  };
  for (const current of steps) {
    if (current.kind === 'open') resize(openHolder(current.owner), current.bytes);
    else if (current.kind === 'advance') await clock.advance(current.ms);
    else {
      const model = holders[current.index % Math.max(1, holders.length)];
      if (model === undefined) continue;
      if (current.kind === 'resize') resize(model, current.bytes);
      else if (current.kind === 'dispose') {
        model.holder[Symbol.dispose]();
        holders.splice(holders.indexOf(model), 1);
      } else if (current.kind === 'pin') {
        model.holder.pin();
        model.isPinned = true;
      } else {
        model.holder.recordProgress();
        model.progressAtMs = clock.now();
      }
    }
    const sum = holders.reduce((total, {holder}) => total + holder.bytes, 0);
    expect(budget.usedBytes).toBe(sum);
    expect(sum).toBeLessThanOrEqual(maxBytes);
    const largeSum = holders.reduce(
      (total, {holder}) => total + (holder.bytes > SMALL_BYTES ? holder.bytes : 0),
      0,
    );
    expect(largeSum).toBeLessThanOrEqual(maxBytes - reservedBytes);
    const kindSum = holderKinds.reduce((total, kind) => total + budget.bytesOf(kind), 0);
    expect(kindSum).toBe(sum);
  }
  for (const {holder} of holders) holder[Symbol.dispose]();
  expect(budget.usedBytes).toBe(0);
}

// Guards against holders that cannot be evicted because others were closed.
test('a holder can be evicted after others have been closed in any order', async () => {
  for (const order of [
    [0, 2],
    [2, 0],
    [1, 2],
    [0, 1],
  ]) {
    const {clock, open} = createBudget();
    const holders = [open('a', 200), open('a', 200), open('a', 200)];
    for (const index of order) holders[index]![Symbol.dispose]();
    await clock.advance(STALLED_MS);
    expect(open('b').resize(700)).toBe(true);
    expect(holders.flatMap(({rules}) => rules)).toEqual(['stalled']);
  }
});

// Guards against small uploads that stop short of their end and occupy the whole budget.
test('small holders without progress are evicted for another small one', async () => {
  const {clock, open} = createBudget({maxBytes: 20, reservedBytes: 5});
  const holders = [open('a', 10), open('a', 10)];
  expect(open('b').resize(10)).toBe(false);
  await clock.advance(STALLED_MS);
  expect(open('b').resize(10)).toBe(true);
  expect(holders.map(({rules}) => rules)).toEqual([['stalled'], []]);
});

describe('a budget', () => {
  // Guards against the sum exceeding the budget, evictions of forwarded requests, refusals of small requests without
  // need, and bytes that stay counted when nothing is held any more.
  test('keeps its rules over any sequence of steps', async () => {
    const steps = fc.array(step, {maxLength: 120});
    // The small budget is filled by small holders as well.
    const maxBytes = fc.constantFrom(60, 1000);
    await fc.assert(fc.asyncProperty(maxBytes, steps, runSteps), {seed: 7, numRuns: 500});
  });
});
