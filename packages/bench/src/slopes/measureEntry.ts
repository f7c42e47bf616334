/** Measures how the costs of an entry grow with the size of the configuration and the load. */
import {setTimeout as wait} from 'node:timers/promises';
import type {EntryProcess} from '@marigoldfold/entry';
import {measureRetainedBytes, type SocketMeter} from '../rig/meters.js';
import {RemoteTestbed} from '../rig/remoteTestbed.js';
import {
  formatAccountKey,
  classNames,
  modelNames,
  type ConfigurationSize,
} from '../rig/ticketWriter.js';
import {startTestbedEntry, waitForTicket, type TestbedAccess} from '../rig/testbed.js';
import {observeCosts} from './observation.js';
import {CHUNK_INTERVAL_MS, CHUNKS_PER_STREAM, type SlopePlan, smallConfiguration} from './plan.js';
import {fitSlope, type CostPoint, type Slope} from './slope.js';

interface MeasurementSetup {
  readonly testbed: RemoteTestbed;
  readonly loadGenerator: RemoteTestbed;
  readonly access: TestbedAccess;
  readonly entry: EntryProcess;
}

const REQUEST_CONCURRENCY = 8;
const WARM_UP_REQUESTS = 300;
const SETTLE_MS = 300;

/** Measures all slopes of an entry that runs on the calling thread. Throws when a request fails. */
export async function measureEntryCosts(
  plan: SlopePlan,
  meter: SocketMeter,
  onProgress: (step: string) => void,
): Promise<readonly Slope[]> {
  const slopes: Slope[] = [];
  for (const measure of [
    againstPeers,
    againstAccounts,
    againstModels,
    againstTiers,
    againstStreams,
  ]) {
    onProgress(`${measure.name}, entry`);
    slopes.push(...(await measure(plan, meter)));
  }
  return slopes;
}

async function withSetup<T>(
  size: ConfigurationSize,
  run: (setup: MeasurementSetup) => Promise<T>,
): Promise<T> {
  await using testbed = new RemoteTestbed();
  await using loadGenerator = new RemoteTestbed();
  const options = {...size, intervalMs: CHUNK_INTERVAL_MS, hasAgent: true};
  const access = await testbed.call('start', options);
  using entry = await startTestbedEntry(access);
  await waitForTicket(entry, access.ticket);
  return await run({testbed, loadGenerator, access, entry});
}

async function readStatus({entry, access}: MeasurementSetup): Promise<void> {
  const response = await fetch(`http://${entry.operators.address}/status`, {
    headers: {authorization: `Bearer ${access.operatorKey}`},
  });
  await response.text();
}

async function againstPeers(plan: SlopePlan, meter: SocketMeter): Promise<readonly Slope[]> {
  const idlePoints: Record<'cpu' | 'agents' | 'platform' | 'heap', CostPoint[]> = {
    cpu: [],
    agents: [],
    platform: [],
    heap: [],
  };
  const probePoints: Record<'cpu' | 'bytes', CostPoint[]> = {cpu: [], bytes: []};
  for (const x of plan.peers) {
    await withSetup({...smallConfiguration, endpoints: x}, async (setup) => {
      const {agent, keyValue, instances} = setup.access;
      // A status request probes every listed agent, which opens a connection to each of them.
      await readStatus(setup);
      await wait(SETTLE_MS);
      idlePoints.heap.push({x, y: measureRetainedBytes()});
      const idle = await observeCosts(meter, [agent, keyValue, instances], () => wait(plan.idleMs));
      const [agents = 0, store = 0, list = 0] = idle.bytes;
      idlePoints.cpu.push({x, y: idle.cpuMs / idle.seconds});
      idlePoints.agents.push({x, y: agents / idle.seconds});
      idlePoints.platform.push({x, y: (store + list) / idle.seconds});
      const probing = await observeCosts(meter, [agent], async () => {
        for (let round = 0; round < plan.probeRounds; round += 1) await readStatus(setup);
      });
      const count = plan.probeRounds * x;
      probePoints.cpu.push({x, y: probing.cpuMs / count});
      probePoints.bytes.push({x, y: (probing.bytes[0] ?? 0) / count});
    });
  }
  return [
    fitSlope('entry.rest.cpuMsPerSecond/peers', 'ms/s', idlePoints.cpu),
    fitSlope('entry.rest.agentBytesPerSecond/peers', 'B/s', idlePoints.agents),
    fitSlope('entry.rest.platformBytesPerSecond/instances', 'B/s', idlePoints.platform),
    fitSlope('entry.heapBytes/peers', 'B', idlePoints.heap),
    fitSlope('entry.probe.cpuMs/peers', 'ms', probePoints.cpu),
    fitSlope('entry.probe.bytes/peers', 'B', probePoints.bytes),
  ];
}

async function againstAccounts(plan: SlopePlan, meter: SocketMeter): Promise<readonly Slope[]> {
  const heap: CostPoint[] = [];
  const cpu: CostPoint[] = [];
  const bytes: CostPoint[] = [];
  for (const x of plan.accounts) {
    await withSetup({...smallConfiguration, accounts: x}, async ({testbed, access, entry}) => {
      heap.push({x, y: measureRetainedBytes()});
      const used = await observeCosts(meter, [access.keyValue], async () => {
        for (let ticket = 0; ticket < plan.tickets; ticket += 1) {
          await waitForTicket(entry, await testbed.call('commitTicket'));
        }
      });
      cpu.push({x, y: used.cpuMs / plan.tickets});
      bytes.push({x, y: (used.bytes[0] ?? 0) / plan.tickets});
    });
  }
  return [
    fitSlope('entry.heapBytes/accounts', 'B', heap),
    fitSlope('entry.ticket.cpuMs/accounts', 'ms', cpu),
    fitSlope('entry.ticket.bytes/accounts', 'B', bytes),
  ];
}

interface RequestCost {
  readonly cpuMs: number;
  /** Bytes on the connections to agents. */
  readonly linkBytes: number;
  /** Bytes on the connections of callers. */
  readonly callerBytes: number;
}

async function requestCost(
  plan: SlopePlan,
  meter: SocketMeter,
  size: ConfigurationSize,
): Promise<RequestCost> {
  return withSetup(size, async ({loadGenerator, access, entry}) => {
    const address = entry.callers.address;
    const load = {
      address,
      keys: [formatAccountKey(0)],
      models: modelNames(size.models),
      classes: classNames(size.tiers),
      requests: plan.requests,
      concurrency: REQUEST_CONCURRENCY,
      chunks: 1,
    };
    await loadGenerator.call('load', {...load, requests: WARM_UP_REQUESTS});
    let failures = 0;
    const used = await observeCosts(meter, [access.agent, address], async () => {
      ({failures} = await loadGenerator.call('load', load));
    });
    if (failures > 0) throw new Error(`${failures} of ${plan.requests} requests failed`);
    const [link = 0, caller = 0] = used.bytes;
    return {
      cpuMs: used.cpuMs / plan.requests,
      linkBytes: link / plan.requests,
      callerBytes: caller / plan.requests,
    };
  });
}

async function againstModels(plan: SlopePlan, meter: SocketMeter): Promise<readonly Slope[]> {
  const costs: (RequestCost & {readonly x: number})[] = [];
  for (const x of plan.models) {
    const size = {...smallConfiguration, endpoints: 16 * x, models: x};
    costs.push({x, ...(await requestCost(plan, meter, size))});
  }
  return requestSlopes('models', costs);
}

async function againstTiers(plan: SlopePlan, meter: SocketMeter): Promise<readonly Slope[]> {
  const costs: (RequestCost & {readonly x: number})[] = [];
  for (const x of plan.tiers) {
    costs.push({x, ...(await requestCost(plan, meter, {...smallConfiguration, tiers: x}))});
  }
  return requestSlopes('tiers', costs);
}

function requestSlopes(
  size: string,
  costs: readonly (RequestCost & {readonly x: number})[],
): readonly Slope[] {
  const points = (select: (cost: RequestCost) => number) =>
    costs.map((cost) => ({x: cost.x, y: select(cost)}));
  return [
    fitSlope(
      `entry.request.cpuMs/${size}`,
      'ms',
      points(({cpuMs}) => cpuMs),
    ),
    fitSlope(
      `entry.request.linkBytes/${size}`,
      'B',
      points(({linkBytes}) => linkBytes),
    ),
    fitSlope(
      `entry.request.callerBytes/${size}`,
      'B',
      points(({callerBytes}) => callerBytes),
    ),
  ];
}

async function againstStreams(plan: SlopePlan, meter: SocketMeter): Promise<readonly Slope[]> {
  const heap: CostPoint[] = [];
  const cpu: CostPoint[] = [];
  const bytes: CostPoint[] = [];
  for (const x of plan.streams) {
    await withSetup(smallConfiguration, async ({loadGenerator, access, entry}) => {
      const load = {
        address: entry.callers.address,
        keys: [formatAccountKey(0)],
        models: modelNames(1),
        classes: [],
        requests: x,
        concurrency: x,
        chunks: CHUNKS_PER_STREAM,
      };
      const used = await observeCosts(meter, [access.agent], () =>
        loadGenerator.call('load', load),
      );
      const chunks = x * CHUNKS_PER_STREAM;
      cpu.push({x, y: used.cpuMs / chunks});
      bytes.push({x, y: (used.bytes[0] ?? 0) / chunks});
      const streaming = loadGenerator.call('load', load);
      await wait((CHUNKS_PER_STREAM * CHUNK_INTERVAL_MS) / 2);
      heap.push({x, y: measureRetainedBytes()});
      await streaming;
    });
  }
  return [
    fitSlope('entry.heapBytes/streams', 'B', heap),
    fitSlope('entry.chunk.cpuMs/streams', 'ms', cpu),
    fitSlope('entry.chunk.linkBytes/streams', 'B', bytes),
  ];
}
