/** Random sources passed to components as a dependency; a fixed seed makes a run reproducible. */
import {randomBytes} from 'node:crypto';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** A source of random numbers, uniform in [0, 1). */
export type Random = () => number;

const UINT32_RANGE = 0x1_0000_0000;

/** Creates a source that returns the same sequence for the same seed. */
export function seededRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return () => (generator.next() >>> 0) / UINT32_RANGE;
}

/** Creates a source seeded by the operating system. */
export function systemRandom(): Random {
  return seededRandom(randomBytes(4).readInt32LE());
}
