/** Client of a model engine with an OpenAI-compatible API; streams resume through the `Last-Event-ID` header. */
import {
  type ClientRequest,
  type HttpClient,
  readEvents,
  readWholeBody,
} from '@marigoldfold/transport';
import {z} from 'zod';
import type {Engine, EngineJob, EngineStream} from './engine.js';

const END_OF_STREAM = '[DONE]';
const STATUS = {ok: 200, notFound: 404} as const;
const CANCEL_TIMEOUT_MS = 2000;

/** Creates an engine over HTTP; cancelling a generation times out after 2 s. */
export function createHttpEngine(client: HttpClient, address: string): Engine {
  return {
    begin: (job, signal) => stream(client, beginRequest(address, job, signal)),
    resume: (id, afterChunk, signal) =>
      stream(client, {
        address,
        method: 'GET',
        path: `/v1/streams/${id}`,
        headers: {'last-event-id': String(afterChunk)},
        signal,
      }),
    async cancel(id) {
      await client.fetch({
        address,
        method: 'DELETE',
        path: `/v1/streams/${id}`,
        timeoutMs: CANCEL_TIMEOUT_MS,
      });
    },
  };
}

function beginRequest(address: string, job: EngineJob, signal: AbortSignal): ClientRequest {
  const {generation, id, priority} = job;
  return {
    address,
    method: 'POST',
    path: generation.path,
    headers: {'content-type': 'application/json', 'x-request-id': id},
    body: JSON.stringify({...generation.body, stream: true, priority}),
    signal,
  };
}

async function* stream(client: HttpClient, request: ClientRequest): EngineStream {
  const response = await client.send(request);
  if (response.isErr()) return {kind: 'broken', mayHaveBeenSent: response.error.mayHaveBeenSent};
  const {status, stream: body} = response.value;
  if (status === STATUS.notFound && request.method === 'GET') {
    body.destroy();
    return {kind: 'unknown'};
  }
  if (status !== STATUS.ok) {
    const message = await readWholeBody(body);
    if (message.isErr()) return {kind: 'broken', mayHaveBeenSent: true};
    return {kind: 'refused', status, message: message.value.toString()};
  }
  let isFinished = false;
  for await (const {id, data} of readEvents(body, (event) => event.data === END_OF_STREAM)) {
    if (data === END_OF_STREAM) {
      // If the stream ends without a finish reason, the output was truncated.
      return isFinished ? {kind: 'whole'} : {kind: 'broken', mayHaveBeenSent: true};
    }
    const chunk = parseChunk(id, data);
    if (chunk === undefined) {
      return {kind: 'unreadable', message: 'the engine sent a chunk that cannot be parsed'};
    }
    isFinished ||= chunk.isFinished;
    yield {number: chunk.number, data};
  }
  return {kind: 'broken', mayHaveBeenSent: true};
}

const chunkSchema = z.looseObject({
  choices: z.array(z.looseObject({finish_reason: z.string().nullish()})),
});

interface ParsedChunk {
  readonly number: number;
  readonly isFinished: boolean;
}

function parseChunk(id: string | undefined, data: string): ParsedChunk | undefined {
  const number = Number(id);
  if (!Number.isSafeInteger(number) || number < 1) return undefined;
  let document: unknown;
  try {
    document = JSON.parse(data);
  } catch {
    return undefined;
  }
  const {data: parsed} = chunkSchema.safeParse(document);
  if (parsed === undefined) return undefined;
  const isFinished = parsed.choices.some(({finish_reason: reason}) => typeof reason === 'string');
  return {number, isFinished};
}
