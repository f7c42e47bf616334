/** An engine stand-in for latency measurements: each chunk contains the time at which it was sent. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
  formatEvent,
  type HttpServer,
  listen,
  openEventStream,
  readBody,
  sendJson,
  serverLimitsSchema,
} from '@marigoldfold/transport';
import {z} from 'zod';

const limits = serverLimitsSchema.parse({maxConnections: 100_000, idleTimeoutMs: 600_000});
const requestSchema = z.looseObject({model: z.string(), max_tokens: z.int().default(1)});
const OK = 200;

/** Milliseconds since 1970 with a fraction; comparable between the threads of a process. */
export function readPreciseTimeMs(): number {
  return performance.timeOrigin + performance.now();
}

/** Starts the engine on a free port; it sends the first chunk immediately and then one per interval. */
export async function startTimestampingEngine(intervalMs: number): Promise<HttpServer> {
  const server = await listen({
    host: '127.0.0.1',
    port: 0,
    limits,
    handle: (request, response) => handle(request, response, intervalMs),
    onUnhandledError: (error) => {
      throw error;
    },
  });
  return server._unsafeUnwrap();
}

async function handle(
  request: IncomingMessage,
  response: ServerResponse,
  intervalMs: number,
): Promise<void> {
  const body = await readBody(request, limits);
  if (request.method !== 'POST' || body.isErr()) {
    sendJson(response, OK, {});
    return;
  }
  const {model, max_tokens: count} = requestSchema.parse(JSON.parse(body.value.toString()));
  openEventStream(response);
  let number = 0;
  const sendNext = () => {
    number += 1;
    response.write(formatEvent({id: String(number), data: chunk(model, number === count)}));
    if (number < count) return;
    clearInterval(timer);
    response.end(formatEvent({data: '[DONE]'}));
  };
  const timer = setInterval(sendNext, intervalMs);
  response.once('close', () => {
    clearInterval(timer);
  });
  sendNext();
}

function chunk(model: string, isLast: boolean): string {
  const delta = {content: readPreciseTimeMs().toFixed(3)};
  const choices = [{index: 0, delta, finish_reason: isLast ? 'stop' : null}];
  return JSON.stringify({
    id: 'chatcmpl-1',
    object: 'chat.completion.chunk',
    created: 0,
    model,
    choices,
  });
}
