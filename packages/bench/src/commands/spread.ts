/** `marigoldfold-bench spread`. */
import {writeFileSync} from 'node:fs';
import {formatTable} from '@marigoldfold/cli';
import {Command, Flags} from '@oclif/core';
import {measureConfiguration} from '../spread/measureConfiguration.js';
import {type FleetFigures, measureFleet} from '../spread/measureFleet.js';
import {createGossipReport, type GossipReport} from '../spread/gossipReport.js';

const DEFAULT_SIZES = '10,50,100,200';
const DEFAULT_ACCOUNTS = '1000,6000,18000';
const DECIMALS = 1;

/** Prints how fast and at what cost configurations reach all instances of simulated fleets. */
export class Spread extends Command {
  static override readonly description =
    'Measures the distribution of configurations: time, bytes, processor time and calls to the key-value service.';
  static override readonly examples = [
    'marigoldfold-bench spread --json spread.json',
    'marigoldfold-bench spread --sizes 970 --domains 1',
  ];
  static override readonly flags = {
    sizes: Flags.string({
      description: 'numbers of instances, separated by commas',
      default: DEFAULT_SIZES,
    }),
    accounts: Flags.string({
      description: 'numbers of client accounts, separated by commas',
      default: DEFAULT_ACCOUNTS,
    }),
    domains: Flags.integer({description: 'number of failure domains', default: 2, min: 1}),
    tickets: Flags.integer({description: 'number of tickets for each size', default: 20, min: 1}),
    seed: Flags.integer({description: 'seed of the random numbers', default: 1}),
    json: Flags.string({description: 'file to write the result to as JSON'}),
  };

  override async run(): Promise<void> {
    const {flags} = await this.parse(Spread);
    const {domains, tickets, seed} = flags;
    const fleets: FleetFigures[] = [];
    for (const instances of this.#numbers('sizes', flags.sizes)) {
      fleets.push(await measureFleet({instances, domains, tickets, seed}));
    }
    const configurations = this.#numbers('accounts', flags.accounts).map(measureConfiguration);
    const report = createGossipReport(fleets, configurations);
    // oclif declares a boolean `json` flag, so TypeScript infers a wrong type for the `json` flag of this command.
    const json: unknown = flags.json;
    if (typeof json === 'string') {
      writeFileSync(json, `${JSON.stringify(report, undefined, 2)}\n`);
    }
    this.log(formatReport(report));
  }

  #numbers(flag: string, text: string): readonly number[] {
    const numbers = text.split(',').map(Number);
    if (numbers.every((number) => Number.isSafeInteger(number) && number > 0)) return numbers;
    this.error(`--${flag} must be a list of positive integers, separated by commas`, {exit: 2});
  }
}

function formatReport({fleets, configurations, carried}: GossipReport): string {
  const show = (value: number) => value.toFixed(DECIMALS);
  const fleetRows = fleets.map((each) => [
    each.instances,
    each.domains,
    show(each.inForceMs.median),
    show(each.inForceMs.max),
    show(each.rest.bytes),
    show(each.restMaxBytes),
    show(each.rest.cpuUs),
    show(each.ticket.bytes),
    show(each.ticket.cpuUs),
    show(each.serviceCallsPerSecond),
    show(each.confirmationAgeMs.max),
  ]);
  const configurationRows = configurations.map((each) => [
    each.accounts,
    show(each.stepUs),
    show(each.snapshotMs),
    each.snapshotBytes,
    each.ticketBytes,
  ]);
  const carriedRows = carried.map(({name, value, limit, unit}) => [name, show(value), limit, unit]);
  return [
    formatTable(
      [
        'INSTANCES',
        'DOMAINS',
        'MEDIAN ms',
        'LAST ms',
        'REST B/s',
        'MAX B/s',
        'REST µs/s',
        'TICKET B',
        'TICKET µs',
        'CALLS/s',
        'AGE ms',
      ],
      fleetRows,
    ),
    formatTable(
      ['ACCOUNTS', 'STEP µs', 'SNAPSHOT ms', 'SNAPSHOT B', 'TICKET B'],
      configurationRows,
    ),
    formatTable(['AT THE DESIGN SIZE', 'VALUE', 'LIMIT', 'UNIT'], carriedRows),
  ].join('\n\n');
}
