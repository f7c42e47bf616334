import {describe, expect, test} from 'vitest';
import {splitStatement, type UsageStatement} from '../usageStatement.js';

function createStatement(windows: UsageStatement['windows']): UsageStatement {
  const fields = {instance: 'a', lifetime: '1', isHolder: false, since: 1, finalThrough: 7};
  return {...fields, recorded: [[6, 1]], windows};
}

describe('a statement', () => {
  test('is sent whole if it fits into a message', () => {
    const statement = createStatement([[8, 3, [['busy', 3]]]]);
    expect(splitStatement(statement)).toEqual([statement]);
  });

  test('is split by account, with the totals of all windows in each part', () => {
    const counts = Array.from({length: 60}, (_, index): [string, number] => [
      `account-${index}`,
      index,
    ]);
    const statement = createStatement([
      [8, 1770, counts],
      [9, 1770, counts],
    ]);
    const parts = splitStatement(statement);
    expect(parts.length).toBeGreaterThan(1);
    for (const part of parts) {
      expect(JSON.stringify(part).length).toBeLessThanOrEqual(900);
      expect(part.windows.map(([window, total]) => [window, total])).toEqual([
        [8, 1770],
        [9, 1770],
      ]);
    }
    const joined = [0, 1].map((index) => parts.flatMap(({windows}) => windows[index]![2]));
    expect(joined).toEqual([counts, counts]);
  });
});
