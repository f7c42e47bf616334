/** Sizes V8's heap for the memory that a process may use. V8 sizes it for the memory of the host, which may be far larger. */
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

/** Memory from which on V8's own growth is kept, in bytes. */
const LARGE_MEMORY_BYTES = 1_073_741_824;
/** Growth of the heap between two collections; V8 itself uses it where a heap may have 256 MB at most. Percent. */
const SMALL_HEAP_GROWTH = 30;

/**
 * Makes the heap grow slowly in a process that may use little memory, in bytes. Collects garbage once, as V8 begins with a
 * limit of hundreds of MB on a large host and computes the next one at a collection.
 */
export function limitHeapGrowth(memoryBytes: number): void {
  if (memoryBytes >= LARGE_MEMORY_BYTES) return;
  setFlagsFromString(`--heap-growing-percent=${SMALL_HEAP_GROWTH}`);
  // The function is only in contexts that are made after the flag is set.
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('gc') as () => void;
  setFlagsFromString('--no-expose-gc');
  collect();
}
