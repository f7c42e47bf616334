/** Measures what entry and agent add to calling the engine directly. */
import {mainThreadMs} from '../rig/meters.js';
import {RemoteWorld} from '../rig/remoteWorld.js';
import type {StreamLoad, StreamTimes} from '../rig/streamLoad.js';
import {accountKey} from '../rig/ticketWriter.js';
import {runEntry, untilNumber, type WorldPlaces} from '../rig/world.js';
import {type Spread, spread} from './quantiles.js';

/** A pair of measurements from one run. */
export interface Comparison {
  readonly direct: Spread;
  readonly routed: Spread;
}

/** The result, in milliseconds. */
export interface Overhead {
  readonly firstChunk: Comparison;
  readonly chunk: Comparison;
  readonly failures: number;
  /** Streams that were open at one time, and chunks a second that they brought to the entry. */
  readonly streams: number;
  readonly chunksPerSecond: number;
  /** Part of a core that the entry's thread used at that rate. */
  readonly entryCores: number;
  /** Chunks that one core of an entry would carry, from the processor time of each. */
  readonly chunksPerCoreSecond: number;
}

/** How much is measured. */
export interface OverheadOptions {
  /** Alternating rounds of direct and routed requests. */
  readonly rounds: number;
  /** Requests of a round, one after the other. */
  readonly requests: number;
  /** Streams that are open at one time. */
  readonly streams: number;
  /** Chunks of each stream. */
  readonly chunks: number;
  readonly intervalMs: number;
}

/** The load of one entry at the design size. */
export const designOverhead: OverheadOptions = {
  rounds: 6,
  requests: 300,
  streams: 134,
  chunks: 154,
  intervalMs: 26,
};

const MODEL = 'model-0';
const MS_PER_SECOND = 1000;
const WARM_UP_REQUESTS = 500;

interface Samples {
  readonly direct: StreamTimes[];
  readonly routed: StreamTimes[];
}

/** Measures; the entry runs on the calling thread, all else on threads of its own. */
export async function measureOverhead(options: OverheadOptions): Promise<Overhead> {
  await using world = new RemoteWorld();
  await using clients = new RemoteWorld();
  const places = await world.call('start', {
    endpoints: 16,
    accounts: 10,
    models: 1,
    tiers: 7,
    intervalMs: options.intervalMs,
    hasAgent: true,
  });
  using entry = await runEntry(places);
  await untilNumber(entry, places.ticket);
  const run = (address: string, load: Partial<StreamLoad>) =>
    clients.call('load', {...baseLoad(address, places), ...load});
  const routedAddress = entry.callers.address;
  await run(routedAddress, {requests: WARM_UP_REQUESTS, concurrency: 4});
  await run(places.engine, {requests: WARM_UP_REQUESTS, concurrency: 4});

  const {requests, streams, chunks} = options;
  const singles: Samples = {direct: [], routed: []};
  const many: Samples = {direct: [], routed: []};
  const streamLoad = {requests: streams, concurrency: streams, chunks};
  let entryMs = 0;
  let streamsMs = 0;
  for (let round = 0; round < options.rounds; round += 1) {
    singles.direct.push(await run(places.engine, {requests}));
    singles.routed.push(await run(routedAddress, {requests}));
    many.direct.push(await run(places.engine, streamLoad));
    const startMs = performance.now();
    const startCpuMs = mainThreadMs();
    many.routed.push(await run(routedAddress, streamLoad));
    entryMs += mainThreadMs() - startCpuMs;
    streamsMs += performance.now() - startMs;
  }
  const count = options.rounds * streams * chunks;
  return {
    firstChunk: compare(singles, ({firstChunkMs}) => firstChunkMs),
    chunk: compare(many, ({chunkMs}) => chunkMs),
    failures: [...singles.direct, ...singles.routed, ...many.direct, ...many.routed].reduce(
      (sum, {failures}) => sum + failures,
      0,
    ),
    streams,
    chunksPerSecond: (count / streamsMs) * MS_PER_SECOND,
    entryCores: entryMs / streamsMs,
    chunksPerCoreSecond: (count / entryMs) * MS_PER_SECOND,
  };
}

function baseLoad(address: string, places: WorldPlaces): StreamLoad {
  const isDirect = address === places.engine;
  return {
    address,
    keys: isDirect ? [] : [accountKey(0)],
    models: [MODEL],
    classes: [],
    requests: 1,
    concurrency: 1,
    chunks: 1,
  };
}

function compare(
  {direct, routed}: Samples,
  select: (times: StreamTimes) => readonly number[],
): Comparison {
  return {direct: spread(direct.flatMap(select)), routed: spread(routed.flatMap(select))};
}
