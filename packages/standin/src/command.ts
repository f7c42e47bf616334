/** The command `marigoldfold-standin`. */
import {DisposableStore, systemClock} from '@marigoldfold/runtime';
import {Args, Command, Flags} from '@oclif/core';
import {
  batchingSpeed,
  startEngine,
  startInstanceList,
  startKeyValue,
  startLedger,
} from './startStandIns.js';

const kinds = ['key-value', 'instances', 'engine', 'ledger'] as const;

/** Runs one stand-in until SIGINT or SIGTERM; prints its kind and address as one JSON line. */
export default class StandInCommand extends Command {
  static override readonly description = 'Runs a stand-in for a platform service or an endpoint.';
  static override readonly examples = [
    'marigoldfold-standin key-value --port 2379',
    'marigoldfold-standin engine --port 9000 --slots 32 --inter-token-ms 20',
  ];
  static override readonly args = {
    kind: Args.string({description: 'kind of stand-in', options: [...kinds], required: true}),
  };
  static override readonly flags = {
    port: Flags.integer({description: 'port on loopback', default: 0, min: 0, max: 65_535}),
    slots: Flags.integer({description: 'requests in one batch (engine)', default: 16, min: 1}),
    'inter-token-ms': Flags.integer({description: 'time between tokens (engine)', default: 20}),
    'lag-ms': Flags.integer({
      description: 'delay of changes to the list (instances)',
      default: 2000,
      min: 0,
    }),
  };

  override async run(): Promise<void> {
    const {args, flags} = await this.parse(StandInCommand);
    const started = await this.#start(args.kind as (typeof kinds)[number], flags);
    if (started.isErr()) this.error(started.error.message, {exit: 1});
    const disposables = new DisposableStore();
    disposables.add(started.value);
    this.log(JSON.stringify({kind: args.kind, address: started.value.address}));
    await new Promise<void>((resolve) => {
      process.once('SIGINT', resolve);
      process.once('SIGTERM', resolve);
    });
    disposables[Symbol.dispose]();
    this.exit(0);
  }

  #start(
    kind: (typeof kinds)[number],
    flags: {
      readonly port: number;
      readonly slots: number;
      readonly 'inter-token-ms': number;
      readonly 'lag-ms': number;
    },
  ) {
    switch (kind) {
      case 'key-value':
        return startKeyValue(systemClock, flags.port);
      case 'instances':
        return startInstanceList(systemClock, flags['lag-ms'], flags.port);
      case 'engine': {
        const speed = batchingSpeed(flags.slots, flags['inter-token-ms']);
        return startEngine(systemClock, speed, flags.port);
      }
      case 'ledger':
        return startLedger(flags.port);
    }
  }
}
