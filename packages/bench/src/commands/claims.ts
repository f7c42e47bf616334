/** `marigoldfold-bench claims`. */
import {formatTable} from '@marigoldfold/cli';
import {Command, Flags} from '@oclif/core';
import {measureClaimCost} from '../soak/claimCost.js';

const DIGITS = 2;

/** Prints latency and key-value service calls per request, for requests with and without an idempotency claim. */
export class Claims extends Command {
  static override readonly description =
    'Measures the latency and the key-value service calls that a claim adds to a call.';
  static override readonly examples = ['marigoldfold-bench claims --calls 1000'];
  static override readonly flags = {
    calls: Flags.integer({description: 'number of calls of each kind', default: 1000, min: 1}),
  };

  override async run(): Promise<void> {
    const {flags} = await this.parse(Claims);
    const times = await measureClaimCost(flags.calls);
    const rows = times.map(({kind, p50, p99, storeCalls}) => [
      kind,
      p50.toFixed(DIGITS),
      p99.toFixed(DIGITS),
      storeCalls.toFixed(DIGITS),
    ]);
    this.log(formatTable(['CALL', 'P50 MS', 'P99 MS', 'STORE CALLS'], rows));
    this.exit(0);
  }
}
