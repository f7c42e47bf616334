/** Measures the slopes of entry and agent in one process. */
import {cpus, loadavg} from 'node:os';
import {SocketMeter} from '../rig/meters.js';
import {startTestbedEntry} from '../rig/testbed.js';
import {measureAgentCosts} from './measureAgent.js';
import {measureEntryCosts} from './measureEntry.js';
import type {SlopePlan} from './plan.js';
import type {SlopeReport} from './slope.js';

/** A loopback port on which no process listens. */
const UNUSED_ADDRESS = '127.0.0.1:9';

/** Measures the sizes of the plan; `onProgress` is called before each step. */
export async function measureCostSlopes(
  plan: SlopePlan,
  onProgress: (step: string) => void,
): Promise<SlopeReport> {
  const idleResidentBytes = await measureIdleEntry();
  const meter = new SocketMeter();
  const entry = await measureEntryCosts(plan, meter, onProgress);
  const [loadAverage] = loadavg();
  const agent = await measureAgentCosts(plan, meter, onProgress);
  return {
    node: process.version,
    cores: cpus().length,
    idleResidentBytes,
    loadAverage: loadAverage ?? 0,
    slopes: [...entry, ...agent],
  };
}

/** Resident memory in bytes of the process while it runs only an idle entry. */
async function measureIdleEntry(): Promise<number> {
  using entry = await startTestbedEntry({
    keyValue: UNUSED_ADDRESS,
    instances: UNUSED_ADDRESS,
    engine: UNUSED_ADDRESS,
    agent: UNUSED_ADDRESS,
    secrets: {clusterKey: 'cluster-key-of-the-bench', monitorKey: ''},
    operatorKey: 'none',
    ticket: 0,
  });
  return entry.callers.port > 0 ? process.memoryUsage().rss : 0;
}
