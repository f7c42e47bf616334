/** `marigoldfold-bench streams`. */
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {Command} from '@oclif/core';
import {
  type MemoryLayer,
  baseLayers,
  measureStreamMemory,
  bytesPerStream,
} from '../soak/streamMemory.js';

const COUNTS = [100, 1000, 4000];
const reportedLayers = ['agent', 'entry'] as const;

/** Prints the memory per open stream of an agent and of an entry. */
export class Streams extends Command {
  static override readonly description =
    'Opens streams at an engine, an agent and an entry, and prints the memory per stream of agent and entry.';
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
    const slopeOf = (layer: MemoryLayer) =>
      bytesPerStream(measured.filter((line) => line.layer === layer));
    for (const layer of reportedLayers) {
      // The memory measured at a layer includes that of the layer listed for it, so one process uses the difference.
      const included = baseLayers[layer];
      const bytes = slopeOf(layer) - slopeOf(included);
      this.log(`${layer}: ${Math.round(bytes)} bytes per stream`);
    }
    this.exit(0);
  }
}
