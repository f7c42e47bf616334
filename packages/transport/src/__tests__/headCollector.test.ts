import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {HeadCollector} from '../headCollector.js';

const line = fc.stringMatching(/^[a-z]{1,9}: ?[a-z]{0,9}$/);
const lineEnd = fc.constantFrom('\r\n', '\n');

/** A head with line ends of either kind, and bytes behind it. */
const head = fc
  .tuple(fc.array(fc.tuple(line, lineEnd), {minLength: 1, maxLength: 9}), lineEnd, fc.string())
  .map(([lines, lastEnd, rest]) => ({
    text: lines.map((parts) => parts.join('')).join('') + lastEnd,
    rest,
  }));

describe('the end of a head', () => {
  // Guards against a head whose end falls between two reads and is never found, so that its request hangs.
  test('is found wherever its bytes are split, parsed or collected', () => {
    fc.assert(
      fc.property(head, fc.array(fc.nat(60)), fc.nat(5), ({text, rest}, cuts, parsedBytes) => {
        const input = Buffer.from(text + rest, 'latin1');
        const bounds = [...cuts, 0, parsedBytes, input.length]
          .filter((cut) => cut <= input.length)
          .sort((a, b) => a - b);
        const collector = new HeadCollector();
        let whole = '';
        for (const [index, end] of bounds.entries()) {
          const part = input.subarray(bounds[index - 1] ?? 0, end);
          const bytes = collector.findEnd(part);
          if (bytes !== undefined) {
            whole += collector.complete(part.subarray(0, bytes)).toString('latin1');
            break;
          }
          if (end > parsedBytes) {
            collector.add(part);
          } else {
            collector.recordParsed(part);
            whole += part.toString('latin1');
          }
        }
        expect(whole).toBe(text);
      }),
    );
  });
});
