/** The slopes of an entry. */
import {setTimeout as wait} from 'node:timers/promises';
import type {EntryProcess} from '@marigoldfold/entry';
import {retainedBytes, type SocketMeter} from '../rig/meters.js';
import {RemoteWorld} from '../rig/remoteWorld.js';
import {accountKey, classNames, modelNames, type SiteSize} from '../rig/ticketWriter.js';
import {runEntry, untilNumber, type WorldPlaces} from '../rig/world.js';
import {observe} from './observation.js';
import {chunkIntervalMs, chunksOfStream, type SlopePlan, smallSite} from './plan.js';
import {fitSlope, type Point, type Slope} from './slope.js';

interface Scene {
  readonly world: RemoteWorld;
  readonly clients: RemoteWorld;
  readonly places: WorldPlaces;
  readonly entry: EntryProcess;
}

const REQUEST_CONCURRENCY = 8;
const WARM_UP_REQUESTS = 300;
const SETTLE_MS = 300;

/** Measures all slopes of an entry, which runs on the calling thread. */
export async function measureEntry(
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

async function withScene<T>(size: SiteSize, run: (scene: Scene) => Promise<T>): Promise<T> {
  await using world = new RemoteWorld();
  await using clients = new RemoteWorld();
  const options = {...size, intervalMs: chunkIntervalMs, hasAgent: true};
  const places = await world.call('start', options);
  using entry = await runEntry(places);
  await untilNumber(entry, places.ticket);
  return await run({world, clients, places, entry});
}

async function readStatus({entry, places}: Scene): Promise<void> {
  const answer = await fetch(`http://${entry.operators.address}/status`, {
    headers: {authorization: `Bearer ${places.operatorKey}`},
  });
  await answer.text();
}

async function againstPeers(plan: SlopePlan, meter: SocketMeter): Promise<readonly Slope[]> {
  const rest: Record<'cpu' | 'agents' | 'platform' | 'heap', Point[]> = {
    cpu: [],
    agents: [],
    platform: [],
    heap: [],
  };
  const probes: Record<'cpu' | 'bytes', Point[]> = {cpu: [], bytes: []};
  for (const x of plan.peers) {
    await withScene({...smallSite, endpoints: x}, async (scene) => {
      const {agent, keyValue, instances} = scene.places;
      // A status asks every listed agent, so that a connection to each stands.
      await readStatus(scene);
      await wait(SETTLE_MS);
      rest.heap.push({x, y: retainedBytes()});
      const idle = await observe(meter, [agent, keyValue, instances], () => wait(plan.restMs));
      const [agents = 0, store = 0, list = 0] = idle.bytes;
      rest.cpu.push({x, y: idle.cpuMs / idle.seconds});
      rest.agents.push({x, y: agents / idle.seconds});
      rest.platform.push({x, y: (store + list) / idle.seconds});
      const probing = await observe(meter, [agent], async () => {
        for (let round = 0; round < plan.probeRounds; round += 1) await readStatus(scene);
      });
      const count = plan.probeRounds * x;
      probes.cpu.push({x, y: probing.cpuMs / count});
      probes.bytes.push({x, y: (probing.bytes[0] ?? 0) / count});
    });
  }
  return [
    fitSlope('entry.rest.cpuMsPerSecond/peers', 'ms/s', rest.cpu),
    fitSlope('entry.rest.agentBytesPerSecond/peers', 'B/s', rest.agents),
    fitSlope('entry.rest.platformBytesPerSecond/instances', 'B/s', rest.platform),
    fitSlope('entry.heapBytes/peers', 'B', rest.heap),
    fitSlope('entry.probe.cpuMs/peers', 'ms', probes.cpu),
    fitSlope('entry.probe.bytes/peers', 'B', probes.bytes),
  ];
}

async function againstAccounts(plan: SlopePlan, meter: SocketMeter): Promise<readonly Slope[]> {
  const heap: Point[] = [];
  const cpu: Point[] = [];
  const bytes: Point[] = [];
  for (const x of plan.accounts) {
    await withScene({...smallSite, accounts: x}, async ({world, places, entry}) => {
      heap.push({x, y: retainedBytes()});
      const used = await observe(meter, [places.keyValue], async () => {
        for (let ticket = 0; ticket < plan.tickets; ticket += 1) {
          await untilNumber(entry, await world.call('commitTicket'));
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
  size: SiteSize,
): Promise<RequestCost> {
  return withScene(size, async ({clients, places, entry}) => {
    const address = entry.callers.address;
    const load = {
      address,
      keys: [accountKey(0)],
      models: modelNames(size.models),
      classes: classNames(size.tiers),
      requests: plan.requests,
      concurrency: REQUEST_CONCURRENCY,
      chunks: 1,
    };
    await clients.call('load', {...load, requests: WARM_UP_REQUESTS});
    let failures = 0;
    const used = await observe(meter, [places.agent, address], async () => {
      ({failures} = await clients.call('load', load));
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
    const size = {...smallSite, endpoints: 16 * x, models: x};
    costs.push({x, ...(await requestCost(plan, meter, size))});
  }
  return requestSlopes('models', costs);
}

async function againstTiers(plan: SlopePlan, meter: SocketMeter): Promise<readonly Slope[]> {
  const costs: (RequestCost & {readonly x: number})[] = [];
  for (const x of plan.tiers) {
    costs.push({x, ...(await requestCost(plan, meter, {...smallSite, tiers: x}))});
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
  const heap: Point[] = [];
  const cpu: Point[] = [];
  const bytes: Point[] = [];
  for (const x of plan.streams) {
    await withScene(smallSite, async ({clients, places, entry}) => {
      const load = {
        address: entry.callers.address,
        keys: [accountKey(0)],
        models: modelNames(1),
        classes: [],
        requests: x,
        concurrency: x,
        chunks: chunksOfStream,
      };
      const used = await observe(meter, [places.agent], () => clients.call('load', load));
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
    fitSlope('entry.heapBytes/streams', 'B', heap),
    fitSlope('entry.chunk.cpuMs/streams', 'ms', cpu),
    fitSlope('entry.chunk.linkBytes/streams', 'B', bytes),
  ];
}
