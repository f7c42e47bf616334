/** Measures how the memory of a process grows with its open streams, for engine, agent and entry. */
import {setMaxListeners} from 'node:events';
import type {Engine} from '@marigoldfold/agent';
import {classHeader} from '@marigoldfold/entry';
import {sleep, systemClock} from '@marigoldfold/runtime';
import {type ClientRequest, createHttpClient, type HttpClient} from '@marigoldfold/transport';
import {Fleet} from './fleet.js';

/** Layers at which streams are opened, each with the layer whose memory its figures include. */
export const baseLayers = {
  engine: undefined,
  agent: 'engine',
  /** An agent with an in-memory engine. */
  'lone-agent': undefined,
  /** An entry with a `lone-agent`, because one process cannot also hold a connection to an engine for each stream. */
  entry: 'lone-agent',
} as const;

/** A layer at which streams are opened. */
export type MemoryLayer = keyof typeof baseLayers;

/** Memory that one process uses for a number of open streams. */
export interface StreamMemory {
  readonly layer: MemoryLayer;
  readonly streams: number;
  /** Growth of heap and buffers after a garbage collection. */
  readonly bytes: number;
}

/** Numbers of open streams at which memory is measured, and callbacks. */
export interface StreamMemoryOptions {
  readonly counts: readonly number[];
  /** Runs a full garbage collection. */
  readonly collectGarbage: () => void;
  readonly onMeasured: (line: StreamMemory) => void;
}

const MAX_STREAMS = 4096;
const TOKEN_INTERVAL_MS = 200;
/** Longer than a measurement, because streams send nothing after their first token and must stay open. */
const SILENCE_LIMIT_MS = 600_000;
const OUTPUT_TOKENS = 1_000_000;
const SETTLE_MS = 500;
const OPEN_BATCH_SIZE = 100;
const WARM_UP_STREAMS = 500;
const FIRST_CHUNK = JSON.stringify({choices: [{index: 0, text: 'one', finish_reason: null}]});
const OK = 200;
const REQUEST_TIMEOUT_MS = 120_000;

/** Measures every layer with every number of streams. Throws when a stream cannot be opened. */
export async function measureStreamMemory(
  options: StreamMemoryOptions,
): Promise<readonly StreamMemory[]> {
  const overHttp = await measureLayers(options, ['engine', 'agent']);
  const inMemory = await measureLayers(options, ['lone-agent', 'entry'], stalledEngine);
  return [...overHttp, ...inMemory];
}

async function measureLayers(
  options: StreamMemoryOptions,
  measuredLayers: readonly MemoryLayer[],
  engine?: Engine,
): Promise<readonly StreamMemory[]> {
  using fleet = await Fleet.start({
    entries: 1,
    engines: 1,
    ledgers: 0,
    slots: MAX_STREAMS,
    interTokenMs: 1,
    silenceLimitMs: SILENCE_LIMIT_MS,
    ...(engine === undefined ? {} : {engine}),
  });
  stallEngines(fleet);
  const measured: StreamMemory[] = [];
  for (const layer of measuredLayers) {
    // The first round fills caches and compiles code; its result is discarded.
    await measureBytes(fleet, layer, WARM_UP_STREAMS, options);
    for (const streams of options.counts) {
      const bytes = await measureBytes(fleet, layer, streams, options);
      measured.push({layer, streams, bytes});
      options.onMeasured({layer, streams, bytes});
    }
  }
  return measured;
}

function stallEngines(fleet: Fleet): void {
  const speed = {
    slots: MAX_STREAMS,
    prefillTokensPerSecond: Number.MAX_SAFE_INTEGER,
    interTokenMs: () => TOKEN_INTERVAL_MS,
  };
  for (const {implementation} of fleet.allEngines) {
    implementation.setSpeed(speed);
    implementation.chooseFault = (_id, token) => (token > 1 ? 'swallow' : undefined);
  }
}

/** An in-memory engine that sends the first chunk of each stream and then stalls. */
const stalledEngine: Engine = {
  async *begin(_job, signal) {
    yield {number: 1, data: FIRST_CHUNK};
    await aborted(signal);
    return {kind: 'broken', mayHaveBeenSent: true};
  },
  // eslint-disable-next-line @typescript-eslint/require-await, require-yield
  async *resume() {
    return {kind: 'unknown'};
  },
  cancel: () => Promise.resolve(),
};

function aborted(signal: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    signal.addEventListener(
      'abort',
      () => {
        resolve();
      },
      {once: true},
    );
  });
}

async function measureBytes(
  fleet: Fleet,
  layer: MemoryLayer,
  count: number,
  {collectGarbage}: StreamMemoryOptions,
): Promise<number> {
  // Connections closed by the previous round are released with a delay.
  await sleep(systemClock, SETTLE_MS * 4);
  collectGarbage();
  const before = usedBytes();
  const controller = new AbortController();
  setMaxListeners(0, controller.signal);
  using client = createHttpClient();
  for (let opened = 0; opened < count; opened += OPEN_BATCH_SIZE) {
    const size = Math.min(OPEN_BATCH_SIZE, count - opened);
    const batch = Array.from({length: size}, (_, index) =>
      openStream(client, requestTo(fleet, layer, opened + index, controller.signal)),
    );
    await Promise.all(batch);
  }
  collectGarbage();
  await sleep(systemClock, SETTLE_MS);
  collectGarbage();
  const used = usedBytes() - before;
  controller.abort();
  while (isBusy(fleet)) {
    await sleep(systemClock, SETTLE_MS);
    for (const {implementation} of fleet.allEngines) implementation.cancelPaused();
  }
  return used;
}

function isBusy({allEngines, agents}: Fleet): boolean {
  if (agents.some(({process}) => process.worker.activeCount > 0)) return true;
  return allEngines.some(({implementation}) => implementation.generationCount > 0);
}

function usedBytes(): number {
  const {heapUsed, external} = process.memoryUsage();
  return heapUsed + external;
}

function requestTo(
  fleet: Fleet,
  layer: MemoryLayer,
  index: number,
  signal: AbortSignal,
): ClientRequest {
  const body = {model: 'score-reader', prompt: `bar ${index}`, max_tokens: OUTPUT_TOKENS};
  const common = {method: 'POST', signal, timeoutMs: REQUEST_TIMEOUT_MS};
  const json = {'content-type': 'application/json'};
  const text = JSON.stringify({...body, stream: true});
  switch (layer) {
    case 'engine':
      return {
        ...common,
        ...fleet.engineTarget(),
        path: '/v1/completions',
        headers: json,
        body: text,
      };
    case 'entry': {
      const {address, headers} = fleet.entryTarget();
      return {
        ...common,
        address,
        path: '/v1/completions',
        headers: {...json, ...headers, [classHeader]: 'bulk'},
        body: text,
      };
    }
    case 'agent':
    case 'lone-agent': {
      const {address, headers} = fleet.agentTarget();
      const work = {
        id: `direct-${index}-${performance.now()}`,
        entry: 'direct',
        account: 'demo',
        class: 'bulk',
        tier: 6,
        firstTokenBudgetMs: 600_000,
        promptTokens: 1,
        configuration: 1,
        task: {kind: 'generation', model: body.model, path: '/v1/completions', body},
      };
      const workHeaders = {...json, ...headers};
      return {
        ...common,
        address,
        path: '/work',
        headers: workHeaders,
        body: JSON.stringify(work),
      };
    }
  }
}

/** Opens a stream and leaves it open; its chunks are read and discarded. */
async function openStream(client: HttpClient, request: ClientRequest): Promise<void> {
  const response = await client.send(request);
  if (response.isErr()) throw new Error(response.error.message);
  const {status, stream} = response.value;
  if (status !== OK) throw new Error(`status ${status}: ${(await stream.toArray()).join('')}`);
  stream.resume();
}

/** Estimates the bytes per open stream with a least-squares line through the measurements. */
export function bytesPerStream(points: readonly StreamMemory[]): number {
  const meanX = mean(points.map(({streams}) => streams));
  const meanY = mean(points.map(({bytes}) => bytes));
  let covariance = 0;
  let variance = 0;
  for (const {streams, bytes} of points) {
    covariance += (streams - meanX) * (bytes - meanY);
    variance += (streams - meanX) ** 2;
  }
  return covariance / variance;
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
