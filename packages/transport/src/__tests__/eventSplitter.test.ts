import {VirtualClock} from '@marigoldfold/runtime';
import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {EventSplitter} from '../eventSplitter.js';
import {MemoryBudget} from '../memoryBudget.js';
import {openResponseShare} from '../responseShare.js';

function createBudget(maxBytes: number): MemoryBudget {
  const clock = new VirtualClock();
  return new MemoryBudget({
    clock,
    maxBytes,
    reservedBytes: 0,
    smallBytes: 65_536,
    stalledMs: 5000,
  });
}

const stream = 'id: 1\ndata: a\n\ndata: no id\n\nid: 3\r\ndata: b\r\n\r\nid: 4\ndata: c\n\n';

describe('events of a stream', () => {
  test('are independent of chunk boundaries', () => {
    fc.assert(
      fc.property(fc.array(fc.nat(stream.length), {maxLength: 10}), (splitPoints) => {
        const splitter = new EventSplitter(openResponseShare(createBudget(0), 'client'));
        const events = [];
        let from = 0;
        for (const to of [...splitPoints.toSorted((a, b) => a - b), stream.length]) {
          events.push(...(splitter.push(Buffer.from(stream.slice(from, to))) ?? []));
          from = to;
        }
        expect(events.map(({id}) => id)).toEqual(['1', undefined, '3', '4']);
        expect(Buffer.concat(events.map(({bytes}) => bytes)).toString()).toBe(stream);
        expect(splitter.hasPartialEvent).toBe(false);
      }),
      {seed: 3, numRuns: 100},
    );
  });

  // Guards against requests to resume a stream that cannot be sent to any endpoint.
  test.each(['2\x01', '2\x00', '\x7f'])('have no ID if a header cannot hold it: %j', (id) => {
    const splitter = new EventSplitter(openResponseShare(createBudget(0), 'client'));
    const events = splitter.push(Buffer.from(`id: ${id}\ndata: a\n\n`));
    expect(events).toMatchObject([{id: undefined, isComment: false}]);
  });

  test('are buffered while they are incomplete', () => {
    const splitter = new EventSplitter(openResponseShare(createBudget(0), 'client'));
    expect(splitter.push(Buffer.from('id: 1\nda'))).toEqual([]);
    expect(splitter.hasPartialEvent).toBe(true);
  });

  test('are rejected when they exceed the size limit', () => {
    const splitter = new EventSplitter(openResponseShare(createBudget(0), 'client'));
    expect(splitter.push(Buffer.alloc(2_000_000, 'x'))).toBeUndefined();
  });

  test('are rejected when incomplete ones together exceed the budget, but not small ones', () => {
    const budget = createBudget(300_000);
    const [first, second, small] = [1, 2, 3].map(
      () => new EventSplitter(openResponseShare(budget, 'client')),
    );
    const part = Buffer.alloc(200_000, 'x');
    expect(first!.push(part)).toEqual([]);
    expect(second!.push(part)).toBeUndefined();
    expect(small!.push(Buffer.from('id: 1\ndata: a'))).toEqual([]);
    expect(small!.push(Buffer.from('\n\n'))).toHaveLength(1);
  });

  test('release their part of the budget when they are complete', () => {
    const budget = createBudget(300_000);
    const splitter = new EventSplitter(openResponseShare(budget, 'client'));
    for (let number = 1; number <= 100; number += 1) {
      expect(splitter.push(Buffer.alloc(100_000, 'x'))).toEqual([]);
      expect(splitter.push(Buffer.from('\n\n'))).toHaveLength(1);
      expect(budget.usedBytes).toBe(0);
    }
  });

  test('are kept in memory of about their size when they arrive in many parts', () => {
    const budget = createBudget(3_000_000);
    const splitter = new EventSplitter(openResponseShare(budget, 'client'));
    for (let size = 0; size < 1_000_000; size += 10) splitter.push(Buffer.alloc(10, 'x'));
    expect(budget.usedBytes).toBeLessThanOrEqual(2_000_000);
  });
});
