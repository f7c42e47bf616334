/** `marigoldfold-bench soak`. */
import {seededRandom} from '@marigoldfold/runtime';
import {Command, Flags} from '@oclif/core';
import {soak, type SoakCounts} from '../soak/soak.js';

const MS_PER_SECOND = 1000;

/** Prints the counts of a soak; exits with 1 when a request was lost, executed twice or answered incorrectly. */
export class Soak extends Command {
  static override readonly description =
    'Loads entries, agents and stand-ins over loopback HTTP while they are killed and replaced, and counts lost, doubled and misreported requests.';
  static override readonly examples = ['marigoldfold-bench soak --seconds 120 --requests 100000'];
  static override readonly flags = {
    seconds: Flags.integer({description: 'maximum duration in seconds', default: 60, min: 1}),
    requests: Flags.integer({
      description: 'maximum number of requests',
      default: 1_000_000,
      min: 1,
    }),
    callers: Flags.integer({description: 'number of concurrent callers', default: 64, min: 1}),
    seed: Flags.integer({description: 'seed of the random requests of the callers', default: 1}),
  };

  override async run(): Promise<void> {
    const {flags} = await this.parse(Soak);
    const counts = await soak({
      fleet: {entries: 3, engines: 4, ledgers: 3, slots: 32, interTokenMs: 2},
      callers: flags.callers,
      durationMs: flags.seconds * MS_PER_SECOND,
      maxRequests: flags.requests,
      random: seededRandom(flags.seed),
      onProgress: (progress) => {
        this.logToStderr(`${progress.requests} requests, ${progress.kills} kills`);
      },
    });
    this.#print(counts);
    // Without an explicit exit, timers of the stand-ins, such as lease timers, would keep the process running for days.
    this.exit(counts.lost + counts.doubled + counts.misreported > 0 ? 1 : 0);
  }

  #print(counts: SoakCounts): void {
    const {problems, failedTries, ...numbers} = counts;
    for (const [name, count] of Object.entries(numbers)) this.log(`${name} ${count}`);
    for (const [word, count] of Object.entries(failedTries))
      this.log(`failed tries (${word}) ${count}`);
    for (const problem of problems) this.log(`  ${problem}`);
  }
}
