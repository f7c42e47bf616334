/** `marigoldfold-bench matrix`. */
import {readFileSync, writeFileSync} from 'node:fs';
import {Command, Flags} from '@oclif/core';
import {cells} from '../matrix/cells.js';
import {type RunnableCell, runCell, runPair, type MatrixResult} from '../matrix/driver.js';
import {updatePage} from '../matrix/table.js';

/** Number of pairs that a run covers by default; running all pairs takes about ten minutes. */
const DEFAULT_PAIRS = 2000;

/** Prints the failed cells and pairs of the fault matrix; exits with 1 when there is one. */
export class Matrix extends Command {
  static override readonly description =
    'Injects every fault at every step, then pairs of faults, and checks the invariants.';
  static override readonly examples = [
    'marigoldfold-bench matrix',
    'marigoldfold-bench matrix --pairs 100000',
    'marigoldfold-bench matrix --write-table docs/design/fault-matrix.md',
  ];
  static override readonly flags = {
    pairs: Flags.integer({
      description: 'number of pairs of cells to run, spread evenly over all pairs',
      default: DEFAULT_PAIRS,
      min: 0,
    }),
    'write-table': Flags.string({description: 'page whose table is updated; no cell is run'}),
  };

  override async run(): Promise<void> {
    const {flags} = await this.parse(Matrix);
    const page = flags['write-table'];
    if (page !== undefined) {
      this.#writeTable(page);
      return;
    }
    const failedCells = await this.#runCells();
    const failedPairs = await this.#runPairs(flags.pairs);
    if (failedCells + failedPairs > 0) this.exit(1);
  }

  #writeTable(path: string): void {
    const updated = updatePage(readFileSync(path, 'utf8'));
    if (updated === undefined)
      this.error(`${path} does not contain the markers between which the table is written`, {
        exit: 2,
      });
    writeFileSync(path, updated);
  }

  async #runCells(): Promise<number> {
    let failed = 0;
    const impossible = new Map<string, number>();
    const runnable: RunnableCell[] = [];
    for (const cell of cells) {
      if ('expectation' in cell) runnable.push(cell);
      else impossible.set(cell.impossible, (impossible.get(cell.impossible) ?? 0) + 1);
    }
    for (const cell of runnable) {
      const verdict = await runCell(cell);
      if (verdict.wasReached && verdict.violations.length === 0) continue;
      failed += 1;
      this.#report([cell], verdict);
    }
    this.log(`cells run ${runnable.length}, passed ${runnable.length - failed}, failed ${failed}`);
    this.log(`cells that cannot occur ${cells.length - runnable.length}`);
    for (const [reason, count] of impossible) this.log(`  ${count}: ${reason}`);
    return failed;
  }

  async #runPairs(limit: number): Promise<number> {
    const pairs = listCellPairs();
    const stride = Math.max(1, pairs.length / Math.max(1, limit));
    let run = 0;
    let reached = 0;
    let failed = 0;
    for (let index = 0; limit > 0 && index < pairs.length; index += stride) {
      const pair = pairs[Math.floor(index)];
      if (pair === undefined) break;
      const verdict = await runPair(...pair);
      run += 1;
      if (verdict.wasReached) reached += 1;
      if (verdict.violations.length === 0) continue;
      failed += 1;
      this.#report(pair, verdict);
    }
    this.log(`pairs run ${run} of ${pairs.length}, passed ${run - failed}, failed ${failed}`);
    this.log(`pairs in which both faults were injected ${reached}`);
    return failed;
  }

  #report(involved: readonly RunnableCell[], {wasReached, violations}: MatrixResult): void {
    const name = involved.map(({step, fault}) => `${step.name} with ${fault}`).join(' and ');
    this.log(`FAILED ${name}`);
    if (!wasReached) this.log('  the step was not reached');
    for (const violation of violations) this.log(`  ${violation}`);
  }
}

/** All unordered pairs of different cells that can occur. */
export function listCellPairs(): readonly (readonly [RunnableCell, RunnableCell])[] {
  const runnable = cells.filter((cell): cell is RunnableCell => 'expectation' in cell);
  const pairs: (readonly [RunnableCell, RunnableCell])[] = [];
  for (const [index, first] of runnable.entries()) {
    for (const second of runnable.slice(index + 1)) pairs.push([first, second]);
  }
  return pairs;
}
