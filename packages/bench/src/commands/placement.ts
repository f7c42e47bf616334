/** `marigoldfold-bench placement`. */
import {readFileSync} from 'node:fs';
import {formatProblem} from '@marigoldfold/runtime';
import {Args, Command, Flags} from '@oclif/core';
import type {PlacementResult} from '../placement/placementMeasures.js';
import {runPlacement} from '../placement/runPlacement.js';
import {parseWorkload, type Workload} from '../placement/workload.js';

const EXIT_USAGE = 2;

/** Prints the result of a placement experiment for each seed; exits with 2 for an invalid file. */
export class PlacementCommand extends Command {
  static override readonly description =
    "Runs the forwarding router's placement of streams on simulated engines, on a virtual clock.";
  static override readonly examples = [
    'marigoldfold-bench placement experiments/placement/copying-calm.toml --seeds 4',
  ];
  static override readonly args = {
    file: Args.string({description: 'placement experiment file (TOML)', required: true}),
  };
  static override readonly flags = {
    seed: Flags.integer({description: 'first seed', default: 1}),
    seeds: Flags.integer({description: 'number of seeds', default: 1, min: 1}),
  };

  override async run(): Promise<void> {
    const {args, flags} = await this.parse(PlacementCommand);
    const workload = this.#read(args.file);
    for (let seed = flags.seed; seed < flags.seed + flags.seeds; seed += 1) {
      this.#print(seed, runPlacement(workload, seed));
    }
  }

  #read(file: string): Workload {
    let text: string;
    try {
      text = readFileSync(file, 'utf8');
    } catch {
      this.error(`${file} cannot be read`, {exit: EXIT_USAGE});
    }
    const workload = parseWorkload(text);
    if (workload.isOk()) return workload.value;
    const lines = workload.error.map((problem) => `  ${formatProblem(problem)}`);
    this.error([`${file} has ${lines.length} problem(s):`, ...lines].join('\n'), {
      exit: EXIT_USAGE,
    });
  }

  #print(seed: number, {netEarnedShare, rereadThousands, kinds}: PlacementResult): void {
    const reread = Math.round(rereadThousands);
    this.log(
      `seed ${seed}: net earned share ${netEarnedShare.toFixed(3)}, ${reread} thousand shared tokens prefilled again`,
    );
    for (const [name, {offered, inTime, lateFirst, latePause, lost}] of Object.entries(kinds)) {
      this.log(
        `  ${name}: ${offered} streams, ${inTime} in time, ${lateFirst} late at the first event, ${latePause} late by a pause, ${lost} lost`,
      );
    }
  }
}
