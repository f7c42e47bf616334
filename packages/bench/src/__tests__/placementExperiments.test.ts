import {readFileSync} from 'node:fs';
import {describe, expect, test} from 'vitest';
import {parseWorkload} from '../placement/workload.js';
import {runPlacement} from '../placement/runPlacement.js';

/** Minimum net earned share at the users' two sites, calm and busy; source: docs/design/platform.md, aims. */
const minimumShares = {
  'copying-calm': 0.85,
  'copying-busy': 0.65,
  'fees-calm': 0.75,
  'fees-busy': 0.6,
};
const SEED = 1;

function readWorkload(name: string) {
  const file = new URL(`../../../../experiments/placement/${name}.toml`, import.meta.url);
  return parseWorkload(readFileSync(file, 'utf8'))._unsafeUnwrap();
}

describe('placement experiments', () => {
  test.each(Object.entries(minimumShares))(
    '%s: the net earned share is at least %d',
    (name, minimum) => {
      const result = runPlacement(readWorkload(name), SEED);
      expect(result.netEarnedShare).toBeGreaterThanOrEqual(minimum);
    },
  );

  test('engines of equal speed are served as before the estimate of their speed', () => {
    const {long, short} = runPlacement(readWorkload('copying-busy'), SEED).kinds;
    expect(long).toMatchObject({inTime: 681, lateFirst: 97, latePause: 95, lost: 16});
    expect(short).toMatchObject({inTime: 1334, lateFirst: 9, latePause: 146, lost: 0});
  });

  // The users' rule: a kind earns at most 15 in 100 less of its value than a less urgent one.
  test.each([1, 2])(
    'short prompts keep up with bursts of long ones on few slots, seed %d',
    (seed) => {
      const {kinds} = runPlacement(readWorkload('copying-few-slots'), seed);
      const [short, long] = [kinds.short, kinds.long];
      expect(short?.inTime).toBeGreaterThan(0);
      expect((short?.inTime ?? 0) / (short?.offered ?? 1)).toBeGreaterThanOrEqual(
        (long?.inTime ?? 0) / (long?.offered ?? 1),
      );
      expect(short?.earnedShare).toBeGreaterThanOrEqual((long?.earnedShare ?? 1) - 0.15);
    },
  );

  test('short prompts keep up when instances report to only a part of the others', () => {
    const workload = {...readWorkload('copying-few-slots'), peerRecipients: 5};
    const {kinds} = runPlacement(workload, 1);
    expect(kinds.short?.earnedShare).toBeGreaterThanOrEqual((kinds.long?.earnedShare ?? 1) - 0.15);
    const inTimeShare = (kind: string) => (kinds[kind]?.inTime ?? 0) / (kinds[kind]?.offered ?? 1);
    expect(inTimeShare('short')).toBeGreaterThanOrEqual(inTimeShare('long'));
  });

  test('give the same result for the same seed', () => {
    const workload = {...readWorkload('copying-calm'), durationS: 5};
    expect(runPlacement(workload, 3)).toEqual(runPlacement(workload, 3));
    expect(runPlacement(workload, 3)).not.toEqual(runPlacement(workload, 4));
  });

  test('report the keys of invalid settings', () => {
    const problems = parseWorkload('name = "x"\ndurationS = -1')._unsafeUnwrapErr();
    expect(problems.map(({key}) => key)).toContain('durationS');
  });
});
