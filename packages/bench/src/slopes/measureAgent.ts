/** The slopes of an agent. */
import {setTimeout as wait} from 'node:timers/promises';
import type {AgentProcess} from '@marigoldfold/agent';
import {retainedBytes, type SocketMeter} from '../rig/meters.js';
import {RemoteWorld} from '../rig/remoteWorld.js';
import {accountKey, classNames, modelNames, type SiteSize} from '../rig/ticketWriter.js';
import {runAgent, untilNumber, type WorldPlaces} from '../rig/world.js';
import {observe} from './observation.js';
import {chunkIntervalMs, chunksOfStream, type SlopePlan, smallSite} from './plan.js';
import {fitSlope, type Point, type Slope} from './slope.js';

interface Scene {
  readonly world: RemoteWorld;
  readonly clients: RemoteWorld;
  readonly places: WorldPlaces;
  readonly agent: AgentProcess;
}

const REQUEST_CONCURRENCY = 8;
const WARM_UP_REQUESTS = 300;
const SETTLE_MS = 300;
/** Time for an entry to read the list of instances. */
const LISTING_MS = 2500;
const PROBES = 2000;

/** Measures all slopes of an agent, which runs on the calling thread. */
export async function measureAgent(
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

async function withScene<T>(size: SiteSize, run: (scene: Scene) => Promise<T>): Promise<T> {
  await using world = new RemoteWorld();
  await using clients = new RemoteWorld();
  const options = {...size, intervalMs: chunkIntervalMs, hasAgent: false};
  const places = await world.call('start', options);
  using agent = await runAgent(places);
  await world.call('list', agent.server.address, size.endpoints);
  return await run({world, clients, places, agent});
}

async function againstPeers(plan: SlopePlan, meter: SocketMeter): Promise<readonly Slope[]> {
  const heap: Point[] = [];
  const rest: Record<'cpu' | 'entries' | 'platform', Point[]> = {
    cpu: [],
    entries: [],
    platform: [],
  };
  const probes: Record<'cpu' | 'bytes', Point[]> = {cpu: [], bytes: []};
  for (const x of plan.peers) {
    await withScene(smallSite, async ({world, places, agent}) => {
      const {address} = agent.server;
      await world.call('connectPeers', address, x);
      await wait(SETTLE_MS);
      heap.push({x, y: retainedBytes()});
      const addresses = [address, places.keyValue, places.instances];
      const idle = await observe(meter, addresses, () => wait(plan.restMs));
      const [entries = 0, store = 0, list = 0] = idle.bytes;
      rest.cpu.push({x, y: idle.cpuMs / idle.seconds});
      rest.entries.push({x, y: entries / idle.seconds});
      rest.platform.push({x, y: (store + list) / idle.seconds});
      const probing = await observe(meter, [address], () => world.call('probe', PROBES));
      probes.cpu.push({x, y: probing.cpuMs / PROBES});
      probes.bytes.push({x, y: (probing.bytes[0] ?? 0) / PROBES});
    });
  }
  return [
    fitSlope('agent.rest.cpuMsPerSecond/peers', 'ms/s', rest.cpu),
    fitSlope('agent.rest.entryBytesPerSecond/peers', 'B/s', rest.entries),
    fitSlope('agent.rest.platformBytesPerSecond/peers', 'B/s', rest.platform),
    fitSlope('agent.heapBytes/peers', 'B', heap),
    fitSlope('agent.probe.cpuMs/peers', 'ms', probes.cpu),
    fitSlope('agent.probe.bytes/peers', 'B', probes.bytes),
  ];
}

async function againstAccounts(plan: SlopePlan, meter: SocketMeter): Promise<readonly Slope[]> {
  const heap: Point[] = [];
  const cpu: Point[] = [];
  const bytes: Point[] = [];
  for (const x of plan.accounts) {
    await withScene({...smallSite, accounts: x}, async ({world, places, agent}) => {
      heap.push({x, y: retainedBytes()});
      const used = await observe(meter, [places.keyValue], async () => {
        for (let ticket = 0; ticket < plan.tickets; ticket += 1) {
          await untilNumber(agent, await world.call('commitTicket'));
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
  const cpu: Point[] = [];
  const bytes: Point[] = [];
  for (const x of plan.tiers) {
    await withScene({...smallSite, tiers: x}, async ({world, clients, agent}) => {
      const entryAddress = await world.call('startEntry');
      await wait(LISTING_MS);
      const load = {
        address: entryAddress,
        keys: [accountKey(0)],
        models: modelNames(1),
        classes: classNames(x),
        requests: plan.requests,
        concurrency: REQUEST_CONCURRENCY,
        chunks: 1,
      };
      await clients.call('load', {...load, requests: WARM_UP_REQUESTS});
      let failures = 0;
      const used = await observe(meter, [agent.server.address], async () => {
        ({failures} = await clients.call('load', load));
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
  const heap: Point[] = [];
  const cpu: Point[] = [];
  const bytes: Point[] = [];
  for (const x of plan.streams) {
    await withScene(smallSite, async ({world, clients, agent}) => {
      const entryAddress = await world.call('startEntry');
      await wait(LISTING_MS);
      const load = {
        address: entryAddress,
        keys: [accountKey(0)],
        models: modelNames(1),
        classes: [],
        requests: x,
        concurrency: x,
        chunks: chunksOfStream,
      };
      const used = await observe(meter, [agent.server.address], () => clients.call('load', load));
      const chunks = x * chunksOfStream;
      cpu.push({x, y: used.cpuMs / chunks});
      bytes.push({x, y: (used.bytes[0] ?? 0) / chunks});
      const streaming = clients.call('load', load);
      await wait((chunksOfStream * chunkIntervalMs) / 2);
      heap.push({x, y: retainedBytes()});
      await streaming;
    });
  }
  return [
    fitSlope('agent.heapBytes/streams', 'B', heap),
    fitSlope('agent.chunk.cpuMs/streams', 'ms', cpu),
    fitSlope('agent.chunk.linkBytes/streams', 'B', bytes),
  ];
}
