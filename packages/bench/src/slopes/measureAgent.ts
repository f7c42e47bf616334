/** Measures how the costs of an agent grow with the size of the configuration and the load. */
import {setTimeout as wait} from 'node:timers/promises';
import type {AgentProcess} from '@marigoldfold/agent';
import {measureRetainedBytes, type SocketMeter} from '../rig/meters.js';
import {RemoteTestbed} from '../rig/remoteTestbed.js';
import {
  formatAccountKey,
  classNames,
  modelNames,
  type ConfigurationSize,
} from '../rig/ticketWriter.js';
import {startTestbedAgent, waitForTicket, type TestbedAccess} from '../rig/testbed.js';
import {observeCosts} from './observation.js';
import {CHUNK_INTERVAL_MS, CHUNKS_PER_STREAM, type SlopePlan, smallConfiguration} from './plan.js';
import {fitSlope, type CostPoint, type Slope} from './slope.js';

interface MeasurementSetup {
  readonly testbed: RemoteTestbed;
  readonly loadGenerator: RemoteTestbed;
  readonly access: TestbedAccess;
  readonly agent: AgentProcess;
}

const REQUEST_CONCURRENCY = 8;
const WARM_UP_REQUESTS = 300;
const SETTLE_MS = 300;
/** Time in which a started entry reads the list of instances. */
const INSTANCE_LIST_WAIT_MS = 2500;
const PROBES = 2000;

/** Measures all slopes of an agent that runs on the calling thread. Throws when a request fails. */
export async function measureAgentCosts(
  plan: SlopePlan,
  meter: SocketMeter,
  onProgress: (step: string) => void,
): Promise<readonly Slope[]> {
  const slopes: Slope[] = [];
  for (const measure of [againstPeers, againstAccounts, againstTiers, againstStreams]) {
    onProgress(`${measure.name}, agent`);
    slopes.push(...(await measure(plan, meter)));
  }
  return slopes;
}

async function withSetup<T>(
  size: ConfigurationSize,
  run: (scene: MeasurementSetup) => Promise<T>,
): Promise<T> {
  await using testbed = new RemoteTestbed();
  await using loadGenerator = new RemoteTestbed();
  const options = {...size, intervalMs: CHUNK_INTERVAL_MS, hasAgent: false};
  const access = await testbed.call('start', options);
  using agent = await startTestbedAgent(access);
  await testbed.call('list', agent.server.address, size.endpoints);
  return await run({testbed, loadGenerator, access, agent});
}

async function againstPeers(plan: SlopePlan, meter: SocketMeter): Promise<readonly Slope[]> {
  const heap: CostPoint[] = [];
  const idlePoints: Record<'cpu' | 'entries' | 'platform', CostPoint[]> = {
    cpu: [],
    entries: [],
    platform: [],
  };
  const probePoints: Record<'cpu' | 'bytes', CostPoint[]> = {cpu: [], bytes: []};
  for (const x of plan.peers) {
    await withSetup(smallConfiguration, async ({testbed, access, agent}) => {
      const {address} = agent.server;
      await testbed.call('connectPeers', address, x);
      await wait(SETTLE_MS);
      heap.push({x, y: measureRetainedBytes()});
      const addresses = [address, access.keyValue, access.instances];
      const idle = await observeCosts(meter, addresses, () => wait(plan.idleMs));
      const [entries = 0, store = 0, list = 0] = idle.bytes;
      idlePoints.cpu.push({x, y: idle.cpuMs / idle.seconds});
      idlePoints.entries.push({x, y: entries / idle.seconds});
      idlePoints.platform.push({x, y: (store + list) / idle.seconds});
      const probing = await observeCosts(meter, [address], () => testbed.call('probe', PROBES));
      probePoints.cpu.push({x, y: probing.cpuMs / PROBES});
      probePoints.bytes.push({x, y: (probing.bytes[0] ?? 0) / PROBES});
    });
  }
  return [
    fitSlope('agent.rest.cpuMsPerSecond/peers', 'ms/s', idlePoints.cpu),
    fitSlope('agent.rest.entryBytesPerSecond/peers', 'B/s', idlePoints.entries),
    fitSlope('agent.rest.platformBytesPerSecond/peers', 'B/s', idlePoints.platform),
    fitSlope('agent.heapBytes/peers', 'B', heap),
    fitSlope('agent.probe.cpuMs/peers', 'ms', probePoints.cpu),
    fitSlope('agent.probe.bytes/peers', 'B', probePoints.bytes),
  ];
}

async function againstAccounts(plan: SlopePlan, meter: SocketMeter): Promise<readonly Slope[]> {
  const heap: CostPoint[] = [];
  const cpu: CostPoint[] = [];
  const bytes: CostPoint[] = [];
  for (const x of plan.accounts) {
    await withSetup({...smallConfiguration, accounts: x}, async ({testbed, access, agent}) => {
      heap.push({x, y: measureRetainedBytes()});
      const used = await observeCosts(meter, [access.keyValue], async () => {
        for (let ticket = 0; ticket < plan.tickets; ticket += 1) {
          await waitForTicket(agent, await testbed.call('commitTicket'));
        }
      });
      cpu.push({x, y: used.cpuMs / plan.tickets});
      bytes.push({x, y: (used.bytes[0] ?? 0) / plan.tickets});
    });
  }
  return [
    fitSlope('agent.heapBytes/accounts', 'B', heap),
    fitSlope('agent.ticket.cpuMs/accounts', 'ms', cpu),
    fitSlope('agent.ticket.bytes/accounts', 'B', bytes),
  ];
}

async function againstTiers(plan: SlopePlan, meter: SocketMeter): Promise<readonly Slope[]> {
  const cpu: CostPoint[] = [];
  const bytes: CostPoint[] = [];
  for (const x of plan.tiers) {
    await withSetup({...smallConfiguration, tiers: x}, async ({testbed, loadGenerator, agent}) => {
      const entryAddress = await testbed.call('startEntry');
      await wait(INSTANCE_LIST_WAIT_MS);
      const load = {
        address: entryAddress,
        keys: [formatAccountKey(0)],
        models: modelNames(1),
        classes: classNames(x),
        requests: plan.requests,
        concurrency: REQUEST_CONCURRENCY,
        chunks: 1,
      };
      await loadGenerator.call('load', {...load, requests: WARM_UP_REQUESTS});
      let failures = 0;
      const used = await observeCosts(meter, [agent.server.address], async () => {
        ({failures} = await loadGenerator.call('load', load));
      });
      if (failures > 0) throw new Error(`${failures} of ${plan.requests} requests failed`);
      cpu.push({x, y: used.cpuMs / plan.requests});
      bytes.push({x, y: (used.bytes[0] ?? 0) / plan.requests});
    });
  }
  return [
    fitSlope('agent.request.cpuMs/tiers', 'ms', cpu),
    fitSlope('agent.request.linkBytes/tiers', 'B', bytes),
  ];
}

async function againstStreams(plan: SlopePlan, meter: SocketMeter): Promise<readonly Slope[]> {
  const heap: CostPoint[] = [];
  const cpu: CostPoint[] = [];
  const bytes: CostPoint[] = [];
  for (const x of plan.streams) {
    await withSetup(smallConfiguration, async ({testbed, loadGenerator, agent}) => {
      const entryAddress = await testbed.call('startEntry');
      await wait(INSTANCE_LIST_WAIT_MS);
      const load = {
        address: entryAddress,
        keys: [formatAccountKey(0)],
        models: modelNames(1),
        classes: [],
        requests: x,
        concurrency: x,
        chunks: CHUNKS_PER_STREAM,
      };
      const used = await observeCosts(meter, [agent.server.address], () =>
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
    fitSlope('agent.heapBytes/streams', 'B', heap),
    fitSlope('agent.chunk.cpuMs/streams', 'ms', cpu),
    fitSlope('agent.chunk.linkBytes/streams', 'B', bytes),
  ];
}
