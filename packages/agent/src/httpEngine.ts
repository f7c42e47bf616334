/** A model engine over its OpenAI-compatible API; streams resume by the standard `Last-Event-ID`. */
import {type ClientRequest, type HttpClient, readEvents} from '@marigoldfold/transport';
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
  if (answer.isErr()) return {kind: 'broken'};
  const {status, stream: body} = answer.value;
  if (status === STATUS.notFound && request.method === 'GET') {
    body.destroy();
    return {kind: 'unknown'};
  }
  if (status !== STATUS.ok) {
    const parts: string[] = [];
    body.setEncoding('utf8');
    try {
      for await (const part of body) parts.push(part as string);
    } catch {
      return {kind: 'broken'};
    }
    return {kind: 'refused', status, message: parts.join('')};
  }
  try {
    for await (const event of readEvents(body)) {
      if (event.data === END_MARK) return {kind: 'whole'};
      yield {number: Number(event.id), data: event.data};
    }
  } finally {
    body.destroy();
  }
  return {kind: 'broken'};
}
