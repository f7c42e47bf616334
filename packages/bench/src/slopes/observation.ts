/** Measures the resources that a process uses during an action. */
import {mainThreadCpuMs, type SocketMeter} from '../rig/meters.js';

/** Time, processor time and socket bytes that a process used during an action. */
export interface Observation {
  readonly seconds: number;
  /** Processor time of the measured thread in milliseconds. */
  readonly cpuMs: number;
  /** Bytes on the connections of each given address, in the given order. */
  readonly bytes: readonly number[];
}

const MS_PER_SECOND = 1000;

/** Runs an action and measures its duration, processor time and bytes on sockets. */
export async function observeCosts(
  meter: SocketMeter,
  addresses: readonly string[],
  action: () => Promise<unknown>,
): Promise<Observation> {
  const count = () => addresses.map((address) => meter.bytes(address));
  const bytesBefore = count();
  const cpuBefore = mainThreadCpuMs();
  const startMs = performance.now();
  await action();
  const seconds = (performance.now() - startMs) / MS_PER_SECOND;
  const cpuMs = mainThreadCpuMs() - cpuBefore;
  const bytes = count().map((total, index) => total - (bytesBefore[index] ?? 0));
  return {seconds, cpuMs, bytes};
}
