/** `marigoldfold-bench run`. */
import {readFileSync, writeFileSync} from 'node:fs';
import {formatProblem} from '@marigoldfold/runtime';
import {Args, Command, Flags} from '@oclif/core';
import {type Experiment, parseExperiment} from '../experiment.js';
import {ProgressBar} from '../progressBar.js';
import {formatOutcome} from '../report.js';
import {runExperiment} from '../runExperiment.js';

const EXIT_USAGE = 2;

/** Prints the result of an experiment; exits with 1 when an invariant is violated, with 2 for an invalid file. */
export class Run extends Command {
  static override readonly description =
    'Runs an experiment on a virtual clock, with the same requests under each of its policies.';
  static override readonly examples = [
    'marigoldfold-bench run experiments/brescia-head-of-line.toml',
    'marigoldfold-bench run experiments/authority-slowed.toml --seed 7 --json result.json',
  ];
  static override readonly args = {
    file: Args.string({description: 'experiment file (TOML)', required: true}),
  };
  static override readonly flags = {
    seed: Flags.integer({description: 'seed of the requests; default: the seed of the experiment'}),
    json: Flags.string({description: 'file to write the result to as JSON'}),
    strict: Flags.boolean({description: 'also fail when an expectation is not met'}),
  };

  override async run(): Promise<void> {
    const {args, flags} = await this.parse(Run);
    const experiment = this.#read(args.file);
    using bar = new ProgressBar(process.stderr);
    const outcome = runExperiment({
      experiment,
      seed: flags.seed ?? experiment.seed,
      onProgress: (part, policy) => {
        bar.show(part, policy);
      },
    });
    bar[Symbol.dispose]();
    // oclif declares a boolean `json` flag, so TypeScript infers a wrong type for the `json` flag of this command.
    const json: unknown = flags.json;
    if (typeof json === 'string') {
      writeFileSync(json, `${JSON.stringify(outcome.result, undefined, 2)}\n`);
    }
    this.log(formatOutcome(outcome));
    const isMissed = outcome.expectationResults.some(({holds}) => !holds);
    if (outcome.violations.length > 0 || (flags.strict && isMissed)) this.exit(1);
  }

  #read(file: string): Experiment {
    let text: string;
    try {
      text = readFileSync(file, 'utf8');
    } catch {
      this.error(`${file} cannot be read`, {exit: EXIT_USAGE});
    }
    const experiment = parseExperiment(text);
    if (experiment.isOk()) return experiment.value;
    const lines = experiment.error.map((problem) => `  ${formatProblem(problem)}`);
    this.error([`${file} has ${lines.length} problem(s):`, ...lines].join('\n'), {
      exit: EXIT_USAGE,
    });
  }
}
