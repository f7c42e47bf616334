import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {EventSplitter} from '../eventSplitter.js';

const stream = 'id: 1\ndata: a\n\ndata: no id\n\nid: 3\r\ndata: b\r\n\r\nid: 4\ndata: c\n\n';

describe('events of a stream', () => {
  test('are independent of chunk boundaries', () => {
    fc.assert(
      fc.property(fc.array(fc.nat(stream.length), {maxLength: 10}), (splitPoints) => {
        const splitter = new EventSplitter();
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

  test('are buffered while they are incomplete', () => {
    const splitter = new EventSplitter();
    expect(splitter.push(Buffer.from('id: 1\nda'))).toEqual([]);
    expect(splitter.hasPartialEvent).toBe(true);
  });

  test('are rejected when they exceed the size limit', () => {
    const splitter = new EventSplitter();
    expect(splitter.push(Buffer.alloc(2_000_000, 'x'))).toBeUndefined();
  });
});
