/** HTTP server of the engine stand-in: OpenAI-compatible, with resumable event streams and priorities. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {digestText} from '@marigoldfold/state';
import {
  formatEvent,
  openEventStream,
  readBody,
  sendJson,
  serverLimitsSchema,
} from '@marigoldfold/transport';
import {z} from 'zod';
import type {EngineFault, SimulatedEngine, Token} from './simulatedEngine.js';

const completionSchema = z.looseObject({
  model: z.string(),
  messages: z.array(z.looseObject({content: z.unknown()})).optional(),
  prompt: z.union([z.string(), z.array(z.string())]).optional(),
  max_tokens: z.int().min(1).optional(),
  max_completion_tokens: z.int().min(1).optional(),
  priority: z.number().default(0),
  stream_options: z.looseObject({include_usage: z.boolean().optional()}).optional(),
});

const limits = serverLimitsSchema.parse({maxBodyBytes: 16_777_216});
const streamPath = /^\/v1\/streams\/([^/]+)$/;
const CHARACTERS_PER_TOKEN = 4;
const DEFAULT_OUTPUT_TOKENS = 16;
const STATUS = {ok: 200, badRequest: 400, notFound: 404, conflict: 409} as const;

interface OpenStream {
  readonly model: string;
  readonly isChat: boolean;
  readonly promptTokens: number;
  readonly includesUsage: boolean;
}

/** Creates the request handler of the engine. */
export function serveEngine(engine: SimulatedEngine) {
  const streams = new Map<string, OpenStream>();
  return async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const url = request.url ?? '';
    const streamId = streamPath.exec(url)?.[1];
    if (streamId !== undefined && request.method === 'DELETE') {
      streams.delete(streamId);
      sendJson(response, STATUS.ok, {cancelled: engine.cancel(streamId)});
      return;
    }
    if (streamId !== undefined) {
      resume(engine, streams, streamId, request, response);
      return;
    }
    if (url === '/v1/chat/completions' || url === '/v1/completions') {
      await complete(engine, streams, request, response);
      return;
    }
    sendJson(response, STATUS.notFound, {error: {message: `no such path: ${url}`}});
  };
}

async function complete(
  engine: SimulatedEngine,
  streams: Map<string, OpenStream>,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const body = await readBody(request, limits);
  if (body.isErr()) {
    sendJson(response, STATUS.badRequest, {error: {message: body.error}});
    return;
  }
  const checked = completionSchema.safeParse(JSON.parse(body.value.toString()));
  if (!checked.success) {
    sendJson(response, STATUS.badRequest, {error: {message: checked.error.message}});
    return;
  }
  const prompt = JSON.stringify(checked.data.messages ?? checked.data.prompt ?? '');
  const id = String(request.headers['x-request-id'] ?? digestText(prompt + String(Math.random())));
  const stream: OpenStream = {
    model: checked.data.model,
    isChat: request.url === '/v1/chat/completions',
    promptTokens: Math.ceil(prompt.length / CHARACTERS_PER_TOKEN),
    includesUsage: checked.data.stream_options?.include_usage === true,
  };
  if (engine.has(id)) {
    sendJson(response, STATUS.conflict, {error: {message: `request ${id} already exists`}});
    return;
  }
  const {max_tokens: maxTokens, max_completion_tokens: maxCompletionTokens} = checked.data;
  streams.set(id, stream);
  const send = createTokenWriter(engine, streams, id, stream, response);
  openEventStream(response);
  engine.begin(
    {
      id,
      promptTokens: stream.promptTokens,
      outputTokens: maxCompletionTokens ?? maxTokens ?? DEFAULT_OUTPUT_TOKENS,
      priority: checked.data.priority,
      tokenText: createAnswerText(prompt),
    },
    send,
  );
}

function resume(
  engine: SimulatedEngine,
  streams: Map<string, OpenStream>,
  id: string,
  request: IncomingMessage,
  response: ServerResponse,
): void {
  const stream = streams.get(id);
  const after = Number(request.headers['last-event-id'] ?? 0);
  if (stream === undefined) {
    sendJson(response, STATUS.notFound, {error: {message: `no stream ${id}`}});
    return;
  }
  openEventStream(response);
  const send = createTokenWriter(engine, streams, id, stream, response);
  if (!engine.resume(id, after, send)) response.destroy();
}

/** Returns the text of each token of an answer, from 1; the first contains a digest of the prompt to identify it. */
export function createAnswerText(prompt: string): (number: number) => string {
  const promptDigest = digestText(prompt).slice(0, 8);
  return (number) => (number === 1 ? `answer ${promptDigest}:` : ` w${number}`);
}

function createTokenWriter(
  engine: SimulatedEngine,
  streams: Map<string, OpenStream>,
  id: string,
  stream: OpenStream,
  response: ServerResponse,
): (token: Token) => void {
  let isOver = false;
  response.once('close', () => {
    // The engine keeps the state of a closed stream until it is resumed, cancelled or expired.
    if (!isOver) engine.pause(id, send);
  });
  const send = (token: Token) => {
    if (response.destroyed) return;
    const fault = engine.chooseFault?.(id, token.number);
    if (fault === 'swallow') return;
    if (fault !== undefined && fault !== 'repeat') {
      isOver = fault === 'done-early';
      injectFault(engine, id, fault, response);
      return;
    }
    const data = JSON.stringify(toChunk(id, stream, token));
    const text = formatEvent({data, id: String(token.number)});
    response.write(fault === 'repeat' ? text + text : text);
    if (!token.isLast) return;
    isOver = true;
    streams.delete(id);
    if (stream.includesUsage) {
      const usage = JSON.stringify(toUsageChunk(id, stream, token.number));
      response.write(formatEvent({data: usage, id: String(token.number + 1)}));
    }
    response.end(formatEvent({data: '[DONE]'}));
  };
  return send;
}

function injectFault(
  engine: SimulatedEngine,
  id: string,
  fault: Exclude<EngineFault, 'swallow' | 'repeat'>,
  response: ServerResponse,
): void {
  switch (fault) {
    case 'cut':
      response.destroy();
      return;
    case 'done-early':
      engine.cancel(id);
      response.end(formatEvent({data: '[DONE]'}));
      return;
    case 'garbage':
      response.write(formatEvent({data: '{"choices": [', id: '1'}));
      return;
  }
}

function chunkBase(id: string, stream: OpenStream) {
  return {
    id: `${stream.isChat ? 'chatcmpl' : 'cmpl'}-${id}`,
    object: stream.isChat ? 'chat.completion.chunk' : 'text_completion',
    created: 0,
    model: stream.model,
  };
}

function toChunk(id: string, stream: OpenStream, token: Token) {
  const finish = token.isLast ? 'stop' : null;
  const choice = stream.isChat
    ? {
        index: 0,
        delta: {...(token.number === 1 ? {role: 'assistant'} : {}), content: token.text},
        finish_reason: finish,
      }
    : {index: 0, text: token.text, finish_reason: finish};
  return {...chunkBase(id, stream), choices: [choice]};
}

function toUsageChunk(id: string, stream: OpenStream, completionTokens: number) {
  const {promptTokens} = stream;
  const usage = {
    prompt_tokens: promptTokens,
    completion_tokens: completionTokens,
    total_tokens: promptTokens + completionTokens,
  };
  return {...chunkBase(id, stream), choices: [], usage};
}
