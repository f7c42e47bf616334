/** One stretch of time in which a process is watched. */
import {mainThreadMs, type SocketMeter} from '../rig/meters.js';

/** What was used during the stretch. */
export interface Observation {
  readonly seconds: number;
  /** Processor time of the measured thread in milliseconds. */
  readonly cpuMs: number;
  /** Bytes on the connections to each of the given addresses, in their order. */
  readonly bytes: readonly number[];
}

const MS_PER_SECOND = 1000;

/** Runs an action and tells what it used. */
export async function observe(
  meter: SocketMeter,
  addresses: readonly string[],
  action: () => Promise<unknown>,
): Promise<Observation> {
  const count = () => addresses.map((address) => meter.bytes(address));
  const bytesBefore = count();
  const cpuBefore = mainThreadMs();
  const startMs = performance.now();
  await action();
  const seconds = (performance.now() - startMs) / MS_PER_SECOND;
  const cpuMs = mainThreadMs() - cpuBefore;
  const bytes = count().map((total, index) => total - (bytesBefore[index] ?? 0));
  return {seconds, cpuMs, bytes};
}
