/** Measures what entry and agent add to calling the engine directly. */
import {mainThreadMs} from '../rig/meters.js';
import {RemoteTestbed} from '../rig/remoteTestbed.js';
import type {StreamLoad, StreamTimes} from '../rig/streamLoad.js';
import {accountKey} from '../rig/ticketWriter.js';
import {runEntry, waitForTicket, type TestbedAccess} from '../rig/testbed.js';
import {type SampleQuantiles, sampleQuantiles} from './quantiles.js';

/** A pair of measurements from one run. */
export interface Comparison {
  readonly direct: SampleQuantiles;
  readonly routed: SampleQuantiles;
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
  await using testbed = new RemoteTestbed();
  await using loadGenerator = new RemoteTestbed();
  const access = await testbed.call('start', {
    endpoints: 16,
    accounts: 10,
    models: 1,
    tiers: 7,
    intervalMs: options.intervalMs,
    hasAgent: true,
  });
  using entry = await runEntry(access);
  await waitForTicket(entry, access.ticket);
  const run = (address: string, load: Partial<StreamLoad>) =>
    loadGenerator.call('load', {...baseLoad(address, access), ...load});
  const routedAddress = entry.callers.address;
  await run(routedAddress, {requests: WARM_UP_REQUESTS, concurrency: 4});
  await run(access.engine, {requests: WARM_UP_REQUESTS, concurrency: 4});

  const {requests, streams, chunks} = options;
  const singleRequests: Samples = {direct: [], routed: []};
  const concurrentStreams: Samples = {direct: [], routed: []};
  const streamLoad = {requests: streams, concurrency: streams, chunks};
  let entryMs = 0;
  let streamsMs = 0;
  for (let round = 0; round < options.rounds; round += 1) {
    singleRequests.direct.push(await run(access.engine, {requests}));
    singleRequests.routed.push(await run(routedAddress, {requests}));
    concurrentStreams.direct.push(await run(access.engine, streamLoad));
    const startMs = performance.now();
    const startCpuMs = mainThreadMs();
    concurrentStreams.routed.push(await run(routedAddress, streamLoad));
    entryMs += mainThreadMs() - startCpuMs;
    streamsMs += performance.now() - startMs;
  }
  const count = options.rounds * streams * chunks;
  return {
    firstChunk: compare(singleRequests, ({firstChunkMs}) => firstChunkMs),
    chunk: compare(concurrentStreams, ({chunkMs}) => chunkMs),
    failures: [
      ...singleRequests.direct,
      ...singleRequests.routed,
      ...concurrentStreams.direct,
      ...concurrentStreams.routed,
    ].reduce((sum, {failures}) => sum + failures, 0),
    streams,
    chunksPerSecond: (count / streamsMs) * MS_PER_SECOND,
    entryCores: entryMs / streamsMs,
    chunksPerCoreSecond: (count / entryMs) * MS_PER_SECOND,
  };
}

function baseLoad(address: string, access: TestbedAccess): StreamLoad {
  const isDirect = address === access.engine;
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
  return {
    direct: sampleQuantiles(direct.flatMap(select)),
    routed: sampleQuantiles(routed.flatMap(select)),
  };
}
