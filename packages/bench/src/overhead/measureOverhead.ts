/** Measures the latency that entry and agent add to direct calls of the engine. */
import {mainThreadCpuMs} from '../rig/meters.js';
import {RemoteTestbed} from '../rig/remoteTestbed.js';
import type {StreamLoad, StreamTimes} from '../rig/streamLoad.js';
import {formatAccountKey} from '../rig/ticketWriter.js';
import {startTestbedEntry, waitForTicket, type TestbedAccess} from '../rig/testbed.js';
import {type SampleQuantiles, computeSampleQuantiles} from './quantiles.js';

/** Latency of direct and of routed requests in one run. */
export interface Comparison {
  readonly direct: SampleQuantiles;
  readonly routed: SampleQuantiles;
}

/** Result of a measurement; latencies are in milliseconds. */
export interface MeasuredOverhead {
  readonly firstChunk: Comparison;
  readonly chunk: Comparison;
  readonly failures: number;
  /** Number of concurrent streams, and chunks per second that the entry received from them. */
  readonly streams: number;
  readonly chunksPerSecond: number;
  /** Processor cores that the thread of the entry used at `chunksPerSecond`. */
  readonly entryCores: number;
  /** Chunks per second that one core of an entry could forward, from the processor time per chunk. */
  readonly chunksPerCoreSecond: number;
}

/** Amount of load to measure. */
export interface OverheadOptions {
  /** Alternating rounds of direct and routed requests. */
  readonly rounds: number;
  /** Sequential requests per round. */
  readonly requests: number;
  /** Number of concurrent streams. */
  readonly streams: number;
  /** Number of chunks per stream. */
  readonly chunks: number;
  readonly intervalMs: number;
}

/** Load of one entry at the design size. */
export const designOverheadOptions: OverheadOptions = {
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

/** Runs the measurement. The entry runs on the calling thread, everything else on other threads. */
export async function measureOverhead(options: OverheadOptions): Promise<MeasuredOverhead> {
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
  using entry = await startTestbedEntry(access);
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
    const startCpuMs = mainThreadCpuMs();
    concurrentStreams.routed.push(await run(routedAddress, streamLoad));
    entryMs += mainThreadCpuMs() - startCpuMs;
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
    keys: isDirect ? [] : [formatAccountKey(0)],
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
    direct: computeSampleQuantiles(direct.flatMap(select)),
    routed: computeSampleQuantiles(routed.flatMap(select)),
  };
}
