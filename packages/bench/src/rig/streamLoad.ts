/** Streams chat completions and measures the latency of every chunk. */
import {createHttpClient, type HttpClient, readEvents} from '@marigoldfold/transport';
import {z} from 'zod';
import {readPreciseTimeMs} from './timestampingEngine.js';

/** Target, number and form of the streaming requests to send. */
export interface StreamLoad {
  /** `host:port` of an entry, or of the engine itself. */
  readonly address: string;
  /** Bearer keys, used in turn; empty for the engine. */
  readonly keys: readonly string[];
  readonly models: readonly string[];
  /** Classes, used in turn; the account's default class when empty. */
  readonly classes: readonly string[];
  readonly requests: number;
  /** Number of concurrent streams. */
  readonly concurrency: number;
  /** Number of chunks per stream. */
  readonly chunks: number;
}

/** Measured latencies of a stream load in milliseconds, and the number of failed requests. */
export interface StreamTimes {
  /** Time from sending a request to receiving its first chunk. */
  readonly firstChunkMs: readonly number[];
  /** Time from the engine's sending of each later chunk to its arrival. */
  readonly chunkMs: readonly number[];
  /** Requests without a complete response. */
  readonly failures: number;
}

interface Recorder {
  readonly firstChunkMs: number[];
  readonly chunkMs: number[];
  failures: number;
}

const timestampSchema = z.object({
  choices: z.tuple([z.object({delta: z.object({content: z.string()})})]),
});

/** Sends the requests; resolves when the last response has ended. */
export async function runStreamLoad(load: StreamLoad): Promise<StreamTimes> {
  using client = createHttpClient();
  const recorder: Recorder = {firstChunkMs: [], chunkMs: [], failures: 0};
  let next = 0;
  const worker = async () => {
    while (next < load.requests) {
      next += 1;
      await runStream(client, load, next, recorder);
    }
  };
  await Promise.all(Array.from({length: load.concurrency}, worker));
  return recorder;
}

async function runStream(
  client: HttpClient,
  {address, keys, models, classes, chunks}: StreamLoad,
  index: number,
  recorder: Recorder,
): Promise<void> {
  const key = keys[index % keys.length];
  const className = classes[index % classes.length];
  const body = JSON.stringify({
    model: models[index % models.length],
    stream: true,
    max_tokens: chunks,
    messages: [{role: 'user', content: `Bar ${index}: slur or tie?`}],
  });
  const sentMs = readPreciseTimeMs();
  const response = await client.send({
    address,
    method: 'POST',
    path: '/v1/chat/completions',
    headers: {
      'content-type': 'application/json',
      ...(key === undefined ? {} : {authorization: `Bearer ${key}`}),
      ...(className === undefined ? {} : {'x-marigoldfold-class': className}),
    },
    body,
  });
  if (response.isErr()) {
    recorder.failures += 1;
    return;
  }
  let received = 0;
  for await (const event of readEvents(response.value.stream)) {
    const now = readPreciseTimeMs();
    // The body is read to its end so that the connection can be reused.
    if (event.data === '[DONE]') continue;
    const timestamp = timestampSchema.safeParse(JSON.parse(event.data));
    if (!timestamp.success) continue;
    received += 1;
    if (received === 1) recorder.firstChunkMs.push(now - sentMs);
    else recorder.chunkMs.push(now - Number(timestamp.data.choices[0].delta.content));
  }
  if (received !== chunks) recorder.failures += 1;
}
