/** Unstreamed answers, assembled from streamed chunks and read with the `openai` client. */
import type {HttpServer} from '@marigoldfold/transport';
import type {WorkRequest} from '@marigoldfold/protocol';
import OpenAI from 'openai';
import {afterEach, describe, expect, it} from 'vitest';
import {scriptedKey, serveScriptedApi} from '../__fixtures__/scriptedApi.js';

let server: HttpServer | undefined;

afterEach(() => {
  server?.[Symbol.dispose]();
});

async function clientFor(script: (work: WorkRequest) => readonly unknown[]): Promise<OpenAI> {
  server = await serveScriptedApi(script);
  const baseURL = `http://${server.address}/v1`;
  return new OpenAI({apiKey: scriptedKey, baseURL, maxRetries: 0});
}

const head = {id: 'chatcmpl-1', object: 'chat.completion.chunk', created: 7, model: 'm'};
const messages = [{role: 'user' as const, content: 'Transpose for clarinet'}];
const usage = {prompt_tokens: 5, completion_tokens: 6, total_tokens: 11};

function part(index: number, delta: unknown, rest: Record<string, unknown> = {}) {
  return {...head, choices: [{index, delta, finish_reason: null, ...rest}]};
}

describe('an unstreamed chat answer', () => {
  it('separates choices, in order, with usage and fingerprint', async () => {
    const client = await clientFor(() => [
      part(1, {role: 'assistant', content: 'B'}),
      part(0, {role: 'assistant', content: 'A'}),
      {...part(0, {content: 'a'}), system_fingerprint: 'fp', service_tier: 'default'},
      part(1, {content: 'b'}, {finish_reason: 'length'}),
      part(0, {}, {finish_reason: 'stop'}),
      {...head, choices: [], usage},
    ]);
    const answer = await client.chat.completions.create({model: 'm', messages, n: 2});
    expect(answer).toEqual({
      id: 'chatcmpl-1',
      object: 'chat.completion',
      created: 7,
      model: 'm',
      system_fingerprint: 'fp',
      service_tier: 'default',
      usage,
      choices: ['Aa', 'Bb'].map((content, index) => ({
        index,
        finish_reason: index === 0 ? 'stop' : 'length',
        logprobs: null,
        message: {role: 'assistant', content, refusal: null},
      })),
    });
  });

  it('joins tool calls that are split over chunks', async () => {
    const client = await clientFor(() => [
      part(0, {
        role: 'assistant',
        tool_calls: [
          {index: 0, id: 'c1', type: 'function', function: {name: 'fee', arguments: ''}},
        ],
      }),
      part(0, {tool_calls: [{index: 0, function: {arguments: '{"field":'}}]}),
      part(0, {tool_calls: [{index: 1, id: 'c2', function: {name: 'balance', arguments: '{}'}}]}),
      part(0, {tool_calls: [{index: 0, function: {arguments: '"EGPH"}'}}]}),
      part(0, {}, {finish_reason: 'tool_calls'}),
    ]);
    const answer = await client.chat.completions.create({model: 'm', messages});
    expect(answer.choices[0]).toMatchObject({
      finish_reason: 'tool_calls',
      message: {
        content: null,
        tool_calls: [
          {id: 'c1', type: 'function', function: {name: 'fee', arguments: '{"field":"EGPH"}'}},
          {id: 'c2', type: 'function', function: {name: 'balance', arguments: '{}'}},
        ],
      },
    });
  });

  it('joins the log probabilities of the tokens', async () => {
    const token = (text: string) => ({token: text, logprob: -0.5, bytes: null, top_logprobs: []});
    const client = await clientFor(() => [
      part(0, {content: 'A'}, {logprobs: {content: [token('A')], refusal: null}}),
      part(0, {content: 'b'}, {logprobs: {content: [token('b')], refusal: null}}),
    ]);
    const answer = await client.chat.completions.create({model: 'm', messages, logprobs: true});
    expect(answer.choices[0]?.logprobs).toEqual({content: [token('A'), token('b')], refusal: null});
  });

  it('requests usage from engines, and leaves the options of a streaming caller unchanged', async () => {
    const bodies: Record<string, unknown>[] = [];
    const client = await clientFor(({task}) => {
      if (task.kind === 'generation') bodies.push(task.body);
      return [part(0, {content: 'A'})];
    });
    await client.chat.completions.create({model: 'm', messages});
    const stream = await client.chat.completions.create({model: 'm', messages, stream: true});
    for await (const chunk of stream) expect(chunk.choices).toHaveLength(1);
    expect(bodies.map((body) => body.stream_options)).toEqual([{include_usage: true}, undefined]);
  });

  it('is a failure when a chunk cannot be parsed', async () => {
    const client = await clientFor(() => [part(0, {content: 'A'}), '{"choices":']);
    const answer = client.chat.completions.create({model: 'm', messages});
    await expect(answer).rejects.toMatchObject({
      status: 502,
      error: {code: 'answer_incomplete', ran: 'yes'},
    });
  });
});

describe('an unstreamed text answer', () => {
  it('has a text for each prompt of a list', async () => {
    const prompts: unknown[] = [];
    const client = await clientFor(({task}) => {
      if (task.kind === 'generation') prompts.push(task.body.prompt);
      const text = (index: number, value: string) => ({
        ...head,
        choices: [{index, text: value, finish_reason: 'stop'}],
      });
      return [text(1, 'two'), text(0, 'one')];
    });
    const answer = await client.completions.create({model: 'm', prompt: ['1', '2']});
    expect(answer.choices.map(({text}) => text)).toEqual(['one', 'two']);
    await client.completions.create({model: 'm', prompt: [[1, 2], [3]]});
    expect(prompts).toEqual([
      ['1', '2'],
      [[1, 2], [3]],
    ]);
  });
});
