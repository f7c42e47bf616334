import {systemClock} from '@marigoldfold/runtime';
import {budgetOptions, type HttpServer, MemoryBudget} from '@marigoldfold/transport';
import {afterEach, expect, test} from 'vitest';
import {scriptedKey, serveScriptedApi} from '../__fixtures__/scriptedApi.js';

let server: HttpServer;

afterEach(() => {
  server[Symbol.dispose]();
});

function post(body: string): Promise<Response> {
  return fetch(`http://${server.address}/v1/completions`, {
    method: 'POST',
    headers: {authorization: `Bearer ${scriptedKey}`, 'content-type': 'application/json'},
    body,
  });
}

// Guards against a process that runs out of memory, or keeps bytes counted whose response has ended.
test('a body for which there is no memory is refused in the format of the API, and counted ones are released', async () => {
  const memory = new MemoryBudget({...budgetOptions(systemClock, 1_000_000), stalledMs: 50});
  server = await serveScriptedApi(() => [], memory);
  const body = JSON.stringify({model: 'm', prompt: 'x'.repeat(200_000)});
  const served = await post(body);
  await served.text();
  expect(served.status).not.toBe(503);
  await expect.poll(() => memory.usedBytes).toBe(0);
  const other = memory.open({kind: 'body', owner: 'other', onEvicted: () => undefined});
  other.resize(700_000);
  other.pin();
  const refused = await post(body);
  expect(refused.status).toBe(503);
  expect(refused.headers.get('retry-after')).toBe('1');
  expect(refused.headers.get('connection')).toBe('close');
  expect(await refused.json()).toMatchObject({
    error: {code: 'memory_exhausted', ran: 'no', retry_after_ms: 1000},
  });
  expect(memory.usedBytes).toBe(700_000);
});
