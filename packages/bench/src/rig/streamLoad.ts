/** Streams chat completions and times every chunk. */
import {createHttpClient, type HttpClient, readEvents} from '@marigoldfold/transport';
import {z} from 'zod';
import {preciseNow} from './timestampingEngine.js';

/** What is sent. */
export interface StreamLoad {
  /** `host:port` of an entry, or of the engine itself. */
  readonly address: string;
  /** Bearer keys, taken in turn; none for the engine. */
  readonly keys: readonly string[];
  readonly models: readonly string[];
  /** Classes, taken in turn; the account's default when empty. */
  readonly classes: readonly string[];
  readonly requests: number;
  /** Streams that are open at one time. */
  readonly concurrency: number;
  /** Chunks of each stream. */
  readonly chunks: number;
}

/** Times in milliseconds. */
export interface StreamTimes {
  /** From sending a request to its first chunk. */
  readonly firstChunkMs: readonly number[];
  /** From the engine's sending of a later chunk to its arrival. */
  readonly chunkMs: readonly number[];
  /** Requests without a whole answer. */
  readonly failures: number;
}

interface Recorder {
  readonly firstChunkMs: number[];
  readonly chunkMs: number[];
  failures: number;
}

const stampSchema = z.object({
  choices: z.tuple([z.object({delta: z.object({content: z.string()})})]),
});

/** Sends the requests and resolves when the last answer has ended. */
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
  const sentMs = preciseNow();
  const answer = await client.send({
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
  if (answer.isErr()) {
    recorder.failures += 1;
    return;
  }
  let received = 0;
  for await (const event of readEvents(answer.value.stream)) {
    const now = preciseNow();
    // The body is read to its end, so that the connection can be used again.
    if (event.data === '[DONE]') continue;
    const stamp = stampSchema.safeParse(JSON.parse(event.data));
    if (!stamp.success) continue;
    received += 1;
    if (received === 1) recorder.firstChunkMs.push(now - sentMs);
    else recorder.chunkMs.push(now - Number(stamp.data.choices[0].delta.content));
  }
  if (received !== chunks) recorder.failures += 1;
}
