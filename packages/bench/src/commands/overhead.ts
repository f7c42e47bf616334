/** `marigoldfold-bench overhead`. */
import {writeFileSync} from 'node:fs';
import {formatTable} from '@marigoldfold/cli';
import {Command, Flags} from '@oclif/core';
import {
  type Comparison,
  designOverheadOptions,
  measureOverhead,
  type MeasuredOverhead,
} from '../overhead/measureOverhead.js';

/** Chunks per second that an entry forwards at the design size. */
const DESIGN_CHUNKS_PER_SECOND = 5160;
const DIGITS = 3;

/** Prints the latency of routed and direct requests; exits with 1 when a request failed. */
export class OverheadCommand extends Command {
  static override readonly description =
    'Measures the latency that entry and agent add to a request and to a streamed chunk.';
  static override readonly examples = ['marigoldfold-bench overhead --json overhead.json'];
  static override readonly flags = {
    rounds: Flags.integer({
      description: 'number of alternating rounds of direct and routed requests',
      default: designOverheadOptions.rounds,
      min: 1,
    }),
    json: Flags.string({description: 'file to write the result to as JSON'}),
  };

  override async run(): Promise<void> {
    const {flags} = await this.parse(OverheadCommand);
    const result = await measureOverhead({...designOverheadOptions, rounds: flags.rounds});
    // oclif declares a boolean `json` flag, so TypeScript infers a wrong type for the `json` flag of this command.
    const json: unknown = flags.json;
    if (typeof json === 'string') writeFileSync(json, `${JSON.stringify(result, undefined, 2)}\n`);
    this.#print(result);
    this.exit(result.failures === 0 ? 0 : 1);
  }

  #print(result: MeasuredOverhead): void {
    const heading = ['MS', 'DIRECT', 'ROUTED', 'DIFFERENCE', 'RATIO'];
    const rows = [
      ...rowsOf('request to first chunk', result.firstChunk),
      ...rowsOf(`chunk, ${result.streams} streams`, result.chunk),
    ];
    this.log(formatTable(heading, rows));
    const designShare = (result.chunksPerCoreSecond / DESIGN_CHUNKS_PER_SECOND).toFixed(DIGITS);
    this.log(`failures: ${result.failures}`);
    this.log(
      `entry: ${result.chunksPerSecond.toFixed(0)} chunks/s used ${result.entryCores.toFixed(DIGITS)} cores`,
    );
    this.log(
      `entry: ${result.chunksPerCoreSecond.toFixed(0)} chunks/s per core, ${designShare} of ${DESIGN_CHUNKS_PER_SECOND}`,
    );
  }
}

function rowsOf(name: string, {direct, routed}: Comparison): readonly (readonly string[])[] {
  return (['p50', 'p99'] as const).map((quantile) => {
    const [a, b] = [direct[quantile], routed[quantile]];
    const numbers = [a, b, b - a, b / a].map((value) => value.toFixed(DIGITS));
    return [`${name} ${quantile}`, ...numbers];
  });
}
