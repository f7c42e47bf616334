/** `marigoldfold-bench fault-soak`. */
import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {Command, Flags} from '@oclif/core';
import {faultSoak} from '../faultSoak/faultSoak.js';

const MS_PER_SECOND = 1000;

/** Soaks routers that run as processes. */
export class FaultSoakCommand extends Command {
  static override readonly description =
    'Runs routers as processes between callers and endpoints while links, signals, the store and endpoints fail, and checks what callers and endpoints see.';
  static override readonly examples = [
    'marigoldfold-bench fault-soak --seed 7',
    'marigoldfold-bench fault-soak --seed 100 --seeds 50 --seconds 20',
  ];
  static override readonly flags = {
    seed: Flags.integer({description: 'first seed', default: 1}),
    seeds: Flags.integer({description: 'number of seeds', default: 1, min: 1}),
    seconds: Flags.integer({description: 'length of a seed', default: 20, min: 1}),
    routers: Flags.integer({description: 'router processes', default: 3, min: 1}),
    callers: Flags.integer({description: 'callers at one time', default: 18, min: 1}),
    folder: Flags.string({description: 'where settings and logs go; a new folder when absent'}),
  };

  override async run(): Promise<void> {
    const {flags} = await this.parse(FaultSoakCommand);
    const folder = flags.folder ?? mkdtempSync(join(tmpdir(), 'fault-soak-'));
    let breaches = 0;
    for (let seed = flags.seed; seed < flags.seed + flags.seeds; seed += 1) {
      const result = await faultSoak({
        seed,
        durationMs: flags.seconds * MS_PER_SECOND,
        routers: flags.routers,
        callers: flags.callers,
        folder: join(folder, `seed-${seed}`),
      });
      breaches += result.breaches.length;
      const faults = Object.entries(result.faults).map(([name, count]) => `${name} ${count}`);
      this.log(
        `seed ${seed}: ${result.requests} requests, ${result.served} served, ${result.breaches.length} promises broken; ${faults.join(', ')}`,
      );
      for (const {rule, id, detail} of result.breaches.slice(0, 10)) {
        this.log(`  ${rule}: request ${id} ${detail}`);
      }
    }
    this.log(`logs: ${folder}`);
    this.exit(breaches > 0 ? 1 : 0);
  }
}
