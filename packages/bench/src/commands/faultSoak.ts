/** `marigoldfold-bench fault-soak`. */
import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {Command, Flags} from '@oclif/core';
import {runFaultSoak} from '../faultSoak/faultSoak.js';

const MS_PER_SECOND = 1000;

/** Prints counts and violations of each seed; exits with 1 when a guarantee did not hold. */
export class FaultSoakCommand extends Command {
  static override readonly description =
    'Runs router processes between callers and endpoints, injects faults into links, processes, the key-value service and endpoints, and checks the requests that callers and endpoints observe.';
  static override readonly examples = [
    'marigoldfold-bench fault-soak --seed 7',
    'marigoldfold-bench fault-soak --seed 100 --seeds 50 --seconds 20',
  ];
  static override readonly flags = {
    seed: Flags.integer({description: 'first seed', default: 1}),
    seeds: Flags.integer({description: 'number of seeds', default: 1, min: 1}),
    seconds: Flags.integer({description: 'duration of each seed in seconds', default: 20, min: 1}),
    routers: Flags.integer({description: 'number of router processes', default: 3, min: 1}),
    callers: Flags.integer({description: 'number of concurrent callers', default: 18, min: 1}),
    further: Flags.boolean({
      description:
        'also restore the key-value service from older copies, and let endpoints state limits',
      default: false,
    }),
    review: Flags.boolean({
      description: 'also preempt streams, signal routers during start-up, and take their ports',
      default: false,
    }),
    folder: Flags.string({
      description: 'folder for settings and logs; default: a new temporary folder',
    }),
  };

  override async run(): Promise<void> {
    const {flags} = await this.parse(FaultSoakCommand);
    const folder = flags.folder ?? mkdtempSync(join(tmpdir(), 'fault-soak-'));
    let violations = 0;
    for (let seed = flags.seed; seed < flags.seed + flags.seeds; seed += 1) {
      const result = await runFaultSoak({
        seed,
        durationMs: flags.seconds * MS_PER_SECOND,
        routers: flags.routers,
        callers: flags.callers,
        hasFurtherFaults: flags.further,
        hasReviewActions: flags.review,
        folder: join(folder, `seed-${seed}`),
      });
      violations += result.violations.length;
      const faults = Object.entries(result.faults).map(([name, count]) => `${name} ${count}`);
      this.log(
        `seed ${seed}: ${result.requests} requests, ${result.served} served, ${result.violations.length} violations; ${faults.join(', ')}`,
      );
      for (const {rule, id, detail} of result.violations.slice(0, 10)) {
        this.log(`  ${rule}: request ${id} ${detail}`);
      }
    }
    this.log(`logs: ${folder}`);
    this.exit(violations > 0 ? 1 : 0);
  }
}
