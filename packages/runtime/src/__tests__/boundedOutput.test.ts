import {describe, expect, test} from 'vitest';
import {BoundedOutput} from '../boundedOutput.js';
import {VirtualClock} from '../virtualClock.js';

function createOutput(bytesPerSecond: number) {
  const clock = new VirtualClock();
  const written: string[] = [];
  const releases: (() => void)[] = [];
  let isBlocked = false;
  const output = new BoundedOutput({
    clock,
    bytesPerSecond,
    write: (bytes) => {
      written.push(bytes.toString());
      if (!isBlocked) return Promise.resolve();
      return new Promise((resolve) => releases.push(resolve));
    },
  });
  return {
    clock,
    output,
    lines: () => written.join('').split('\n').slice(0, -1),
    block: () => (isBlocked = true),
    release: () => {
      isBlocked = false;
      for (const release of releases.splice(0)) release();
    },
  };
}

const LINE = 'x'.repeat(99);

describe('rate limit of log lines', () => {
  test('writes all lines below the limit', async () => {
    const {clock, output, lines} = createOutput(1000);
    output.write('a', 'debug');
    output.write('b', 'info');
    await clock.advance(100);
    expect(lines()).toEqual(['a', 'b']);
  });

  test('drops less severe lines first and logs the number of dropped lines', async () => {
    const {clock, output, lines} = createOutput(1000);
    for (let count = 0; count < 100; count += 1) output.write(LINE, 'debug');
    output.write('{"failed":1}', 'info');
    await clock.advance(100);
    expect(lines()).toContain('{"failed":1}');
    // The burst is 5,000 bytes, of which debug lines leave three fifths to more severe levels.
    expect(lines().filter((line) => line === LINE)).toHaveLength(20);
    expect(lines().at(-1)).toContain('"debug":80');
  });

  test('refills the budget over time', async () => {
    const {clock, output, lines} = createOutput(1000);
    for (let count = 0; count < 100; count += 1) output.write(LINE, 'error');
    await clock.advance(1000);
    output.write('later', 'error');
    await clock.advance(100);
    expect(lines().at(-1)).toBe('later');
  });
});

describe('a stalled reader', () => {
  test('causes a bounded number of buffered bytes and does not block writers', async () => {
    const {clock, output, lines, block, release} = createOutput(1_000_000);
    block();
    output.write('first', 'info');
    await clock.advance(100);
    for (let count = 0; count < 10_000; count += 1) output.write(LINE, 'info');
    await clock.advance(100);
    release();
    await clock.advance(100);
    const kept = lines().filter((line) => line === LINE).length;
    expect(kept * (LINE.length + 1)).toBeLessThanOrEqual(262_144);
    expect(lines().at(-1)).toContain(`"info":${10_000 - kept}`);
  });
});
