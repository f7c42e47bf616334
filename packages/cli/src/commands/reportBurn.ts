/** `marigoldfold report burn`. */
import {appendFileSync, existsSync, readFileSync, writeFileSync} from 'node:fs';
import {setTimeout as wait} from 'node:timers/promises';
import {createHttpClient} from '@marigoldfold/transport';
import {Command, Flags} from '@oclif/core';
import {buildBurnPage} from '../burn/burnPage.js';
import {computeClassBurns, computeIncreases} from '../burn/burnRates.js';
import {formatBurnTable} from '../burn/burnTable.js';
import {parseObjectives} from '../burn/objectives.js';
import {
  formatSample,
  type SampleHistory,
  parseHistory,
  fetchEntryCounts,
  type HistorySample,
} from '../burn/samples.js';

const MS_PER_SECOND = 1000;

/** Reports how fast each class uses up its error budget, from sampled counters of entries. */
export class ReportBurn extends Command {
  static override readonly description =
    'Shows how fast each class uses up its error budget, worst class first.';
  static override readonly examples = [
    'marigoldfold report burn --entry 127.0.0.1:8081 --for 60',
    'marigoldfold report burn --entry 10.0.0.5:8081 --entry 10.0.1.5:8081 --samples burn.jsonl --html burn.html',
    'marigoldfold report burn --samples burn.jsonl --objective 95 --objective urgent=99 --json',
  ];
  static override readonly flags = {
    entry: Flags.string({
      description: "address of an entry's operators' port; may be given several times",
      multiple: true,
      default: [],
    }),
    for: Flags.integer({description: 'seconds to take samples for', min: 0, default: 10}),
    every: Flags.integer({description: 'seconds between samples', min: 1, default: 5}),
    samples: Flags.string({
      description: 'file of samples (JSON lines) to read, and to add new samples to',
    }),
    objective: Flags.string({
      description:
        'percentage of requests that should attain their targets, for all classes (95) or for one (urgent=99); may be given several times',
      multiple: true,
      default: ['95'],
    }),
    html: Flags.string({description: 'write a page with a plot to this file'}),
    json: Flags.boolean({description: 'print JSON'}),
  };

  override async run(): Promise<void> {
    const {flags} = await this.parse(ReportBurn);
    const objectives = parseObjectives(flags.objective);
    if (objectives.isErr()) this.error(objectives.error, {exit: 2});
    if (flags.entry.length === 0 && flags.samples === undefined) {
      this.error('give the address of an entry (--entry) or a file of samples (--samples)', {
        exit: 2,
      });
    }
    const history = this.#readHistory(flags.samples);
    const collected = await this.#collectSamples(flags);
    const samples = [...history.samples, ...collected.samples].sort((a, b) => a.atMs - b.atMs);
    const problems = [...history.problems, ...collected.problems];
    for (const problem of problems) this.warn(problem);
    const [first, last] = [samples[0], samples.at(-1)];
    if (first === undefined || last === undefined)
      this.error('the entries and files contain no samples', {exit: 1});
    const increases = computeIncreases(samples);
    const burns = computeClassBurns(samples, objectives.value);
    const span = {fromMs: first.atMs, toMs: last.atMs};
    const entries = [...new Set(samples.map(({entry}) => entry))];
    if (flags.html !== undefined) {
      const page = buildBurnPage({burns, increases, ...span, entries, problems});
      this.#writeOrExit(() => {
        writeFileSync(flags.html ?? '', page);
      }, flags.html);
    }
    if (flags.json) this.log(JSON.stringify({...span, entries, classes: burns, problems}));
    else if (burns.length === 0) this.log('no class has had a request yet');
    else this.log(formatBurnTable(burns));
  }

  #readHistory(file: string | undefined): SampleHistory {
    if (file === undefined || !existsSync(file)) return {samples: [], problems: []};
    try {
      return parseHistory(readFileSync(file, 'utf8'), file);
    } catch {
      this.error(`${file} cannot be read`, {exit: 2});
    }
  }

  async #collectSamples(flags: {
    readonly entry: readonly string[];
    readonly for: number;
    readonly every: number;
    readonly samples: string | undefined;
  }): Promise<SampleHistory> {
    if (flags.entry.length === 0) return {samples: [], problems: []};
    using client = createHttpClient();
    const samples: HistorySample[] = [];
    const problems = new Set<string>();
    const endMs = Date.now() + flags.for * MS_PER_SECOND;
    while (true) {
      const atMs = Date.now();
      const read = await Promise.all(
        flags.entry.map((entry) => fetchEntryCounts(client, entry, atMs)),
      );
      for (const sample of read) {
        if (sample.isErr()) problems.add(sample.error);
        else {
          samples.push(sample.value);
          this.#appendSample(flags.samples, sample.value);
        }
      }
      const leftMs = endMs - Date.now();
      if (leftMs <= 0) return {samples, problems: [...problems]};
      await wait(Math.min(leftMs, flags.every * MS_PER_SECOND));
    }
  }

  #appendSample(file: string | undefined, sample: HistorySample): void {
    if (file === undefined) return;
    this.#writeOrExit(() => {
      appendFileSync(file, formatSample(sample));
    }, file);
  }

  #writeOrExit(write: () => void, file: string): void {
    try {
      write();
    } catch {
      this.error(`${file} cannot be written`, {exit: 2});
    }
  }
}
