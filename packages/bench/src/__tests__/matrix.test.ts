import {readFileSync} from 'node:fs';
import {format, resolveConfig} from 'prettier';
import {describe, expect, it} from 'vitest';
import {listCellPairs} from '../commands/matrix.js';
import {cells, steps} from '../matrix/cells.js';
import {type RunnableCell, runCell, runPair} from '../matrix/driver.js';
import {updatePage} from '../matrix/table.js';

/** Number of pairs of cells that the test runs, chosen at equal intervals from the list of all pairs. */
const PAIR_COUNT = 150;

describe.each(steps.map((step) => [step.name, step] as const))('%s', (_name, step) => {
  const runnable = cells.filter(
    (cell): cell is RunnableCell => cell.step === step && 'expectation' in cell,
  );
  it.each(runnable.map((cell) => [cell.fault, cell.expectation, cell] as const))(
    'with %s: %s',
    async (_fault, _expectation, cell) => {
      expect(await runCell(cell)).toEqual({wasReached: true, violations: []});
    },
  );
});

it('pairs of faults violate no invariant', async () => {
  const pairs = listCellPairs();
  const stride = pairs.length / PAIR_COUNT;
  for (let index = 0; index < PAIR_COUNT; index += 1) {
    const pair = pairs[Math.floor(index * stride)]!;
    const name = pair.map(({step, fault}) => `${step.name} with ${fault}`);
    expect([name, (await runPair(...pair)).violations]).toEqual([name, []]);
  }
}, 120_000);

/** Pairs of cells that failed in the past because of faults in the product. */
const regressions = [
  ['drain (generation)', 'entry-pause', 'release', 'answer-lost'],
  ['drain (generation)', 'entry-pause', 'release', 'duplicate'],
] as const;

it.each(regressions)('%s with %s and %s with %s', async (...names) => {
  const find = (step: string, fault: string) =>
    listCellPairs()
      .flat()
      .find((cell) => cell.step.name === step && cell.fault === fault)!;
  const pair = [find(names[0], names[1]), find(names[2], names[3])] as const;
  expect((await runPair(...pair)).violations).toEqual([]);
});

it('docs/design/fault-matrix.md shows the current matrix', async () => {
  const path = new URL('../../../../docs/design/fault-matrix.md', import.meta.url).pathname;
  const page = readFileSync(path, 'utf8');
  const config = await resolveConfig(path);
  const updated = await format(updatePage(page)!, {...config, parser: 'markdown'});
  expect(page).toBe(updated);
});
