/** `marigoldfold-bench streams`. */
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {Command} from '@oclif/core';
import {type Layer, layers, measureStreamMemory, bytesPerStream} from '../soak/streamMemory.js';

const COUNTS = [100, 1000, 4000];
const reportedLayers = ['agent', 'entry'] as const;

/** Measures the memory of open streams. */
export class Streams extends Command {
  static override readonly description =
    'Opens streams at an engine, an agent and an entry, and gives the memory of each as a slope.';
  static override readonly examples = ['marigoldfold-bench streams'];

  override async run(): Promise<void> {
    await this.parse(Streams);
    setFlagsFromString('--expose-gc');
    const collectGarbage = runInNewContext('gc') as () => void;
    const measured = await measureStreamMemory({
      counts: COUNTS,
      collectGarbage,
      onMeasured: ({layer, streams, bytes}) => {
        this.log(`${streams} streams at the ${layer}: ${bytes} bytes`);
      },
    });
    const slopeOf = (layer: Layer) =>
      bytesPerStream(measured.filter((line) => line.layer === layer));
    for (const layer of reportedLayers) {
      // A layer's figure holds those of the layer that it stands before, so a process costs the difference.
      const included = layers[layer];
      const bytes = slopeOf(layer) - slopeOf(included);
      this.log(`${layer}: ${Math.round(bytes)} bytes a stream`);
    }
    this.exit(0);
  }
}
