import {setTimeout as wait} from 'node:timers/promises';
import {silentLogger} from '@marigoldfold/runtime';
import OpenAI from 'openai';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {type LocalSystem, startLocalSystem} from '../localSystem.js';

let system: LocalSystem;
let openai: OpenAI;

beforeAll(async () => {
  const started = await startLocalSystem({
    port: 0,
    operatorsPort: 0,
    logger: silentLogger,
    interTokenMs: 5,
  });
  system = started._unsafeUnwrap();
  openai = new OpenAI({
    apiKey: system.keys.client,
    baseURL: `http://${system.entry.callers.address}/v1`,
    maxRetries: 0,
  });
});

afterAll(async () => {
  await system.drain();
});

function post(path: string, body: string, headers: Record<string, string> = {}) {
  return fetch(`http://${system.entry.callers.address}${path}`, {
    method: 'POST',
    body,
    headers: {authorization: `Bearer ${system.keys.client}`, ...headers},
  });
}

async function waitUntilIdle() {
  while (
    system.engines.some(({implementation}) => implementation.generationCount > 0) ||
    system.agents.some(({worker}) => worker.activeCount > 0)
  ) {
    await wait(5);
  }
}

describe('the OpenAI client', () => {
  const messages = [{role: 'user' as const, content: 'Bar 12: slur or tie?'}];

  it('receives the same text with and without streaming', async () => {
    const whole = await openai.chat.completions.create({
      model: 'score-reader',
      messages,
      max_completion_tokens: 5,
    });
    const stream = await openai.chat.completions.create({
      model: 'score-reader',
      messages,
      max_completion_tokens: 5,
      stream: true,
    });
    let text = '';
    for await (const chunk of stream) text += chunk.choices[0]?.delta.content ?? '';
    expect(text).toMatch(/^answer [0-9a-f]{8}: w2 w3 w4 w5$/);
    expect(whole.choices[0]?.message.content).toBe(text);
  });

  it('receives text completions and the list of models', async () => {
    const completion = await openai.completions.create({
      model: 'charges-writer',
      prompt: 'Landing fee for a light aircraft',
      max_tokens: 2,
    });
    expect(completion.choices[0]?.text).toMatch(/^answer [0-9a-f]{8}: w2$/);
    const models = await openai.models.list();
    expect(models.data.map(({id}) => id)).toEqual(['charges-writer', 'score-reader']);
  });

  it('cancels the generation when it aborts the stream', async () => {
    const stream = await openai.chat.completions.create({
      model: 'score-reader',
      messages,
      max_completion_tokens: 100_000,
      stream: true,
    });
    for await (const chunk of stream) {
      expect(chunk.choices).toHaveLength(1);
      break;
    }
    stream.controller.abort();
    await waitUntilIdle();
    expect(system.engines.map(({implementation}) => implementation.generationCount)).toEqual([
      0, 0,
    ]);
  });
});

describe('a call that may run at most once', () => {
  it('runs once per idempotency key and returns the same response again', async () => {
    const before = system.ledger.implementation.postings.length;
    const body = JSON.stringify({account: 'parish-choir', pence: 1200});
    const first = await post('/v1/services/ledger/postings', body, {'idempotency-key': 'order-1'});
    const second = await post('/v1/services/ledger/postings', body, {'idempotency-key': 'order-1'});
    expect([first.status, second.status]).toEqual([201, 201]);
    expect(await second.text()).toBe(await first.text());
    expect(system.ledger.implementation.postings.length).toBe(before + 1);
  });

  it('is refused without a key or with a key used for another body', async () => {
    const without = await post('/v1/services/ledger/postings', '{"account":"a","pence":1}');
    expect(await without.json()).toMatchObject({
      error: {code: 'idempotency_key_missing', ran: 'no'},
    });
    const headers = {'idempotency-key': 'order-1'};
    const other = await post('/v1/services/ledger/postings', '{"account":"b","pence":2}', headers);
    expect(await other.json()).toMatchObject({error: {code: 'idempotency_key_reused', ran: 'no'}});
  });
});
