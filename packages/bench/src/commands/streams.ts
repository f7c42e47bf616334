/** `marigoldfold-bench streams`. */
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {Command} from '@oclif/core';
import {layers, measureStreams, slope} from '../soak/openStreams.js';

const COUNTS = [100, 1000, 4000];

/** Measures the memory of open streams. */
export class Streams extends Command {
  static override readonly description =
    'Opens streams at an engine, an agent and an entry, and gives the memory of each as a slope.';
  static override readonly examples = ['marigoldfold-bench streams'];

  override async run(): Promise<void> {
    await this.parse(Streams);
    setFlagsFromString('--expose-gc');
    const collect = runInNewContext('gc') as () => void;
    const measured = await measureStreams({
      counts: COUNTS,
      collect,
      onMeasured: ({layer, streams, bytes}) => {
        this.log(`${streams} streams at the ${layer}: ${bytes} bytes`);
      },
    });
    let below = 0;
    for (const layer of layers) {
      // Each layer's figure holds those below it, so a process costs the difference.
      const total = slope(measured.filter((line) => line.layer === layer));
      this.log(`${layer}: ${Math.round(total - below)} bytes a stream`);
      below = total;
    }
    this.exit(0);
  }
}
