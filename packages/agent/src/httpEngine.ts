/** A model engine over its OpenAI-compatible API; streams resume by the standard `Last-Event-ID`. */
import {
  type ClientRequest,
  type HttpClient,
  readEvents,
  readWholeBody,
} from '@marigoldfold/transport';
import {z} from 'zod';
import type {Engine, EngineJob, EngineStream} from './engine.js';

const END_MARK = '[DONE]';
const STATUS = {ok: 200, notFound: 404} as const;
const CANCEL_TIMEOUT_MS = 2000;

/** Connects to an engine. */
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
  const answer = await client.send(request);
  if (answer.isErr()) return {kind: 'broken', mayHaveBeenSent: answer.error.mayHaveBeenSent};
  const {status, stream: body} = answer.value;
  if (status === STATUS.notFound && request.method === 'GET') {
    body.destroy();
    return {kind: 'unknown'};
  }
  if (status !== STATUS.ok) {
    const message = await readWholeBody(body);
    if (message === undefined) return {kind: 'broken', mayHaveBeenSent: true};
    return {kind: 'refused', status, message: message.toString()};
  }
  let isFinished = false;
  for await (const {id, data} of readEvents(body, (event) => event.data === END_MARK)) {
    if (data === END_MARK) {
      // An end mark without a finish reason is an answer that was cut short.
      return isFinished ? {kind: 'whole'} : {kind: 'broken', mayHaveBeenSent: true};
    }
    const part = parseChunk(id, data);
    if (part === undefined) {
      return {kind: 'unreadable', message: 'the engine gave a part that cannot be read'};
    }
    isFinished ||= part.isFinished;
    yield {number: part.number, data};
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
  const {data: part} = chunkSchema.safeParse(document);
  if (part === undefined) return undefined;
  const isFinished = part.choices.some(({finish_reason: reason}) => typeof reason === 'string');
  return {number, isFinished};
}
