/** Successive requests reuse the connections from entry to agent and from agent to engine. */
import {subscribe} from 'node:diagnostics_channel';
import type {Socket} from 'node:net';
import {silentLogger} from '@marigoldfold/runtime';
import {splitAddress} from '@marigoldfold/transport';
import OpenAI from 'openai';
import {expect, it} from 'vitest';
import {startLocalSystem} from '../localSystem.js';

const REQUESTS = 12;

it('does not open a connection per request', async () => {
  const accepted = new Map<number, number>();
  subscribe('net.server.socket', (message) => {
    const port = (message as {readonly socket: Socket}).socket.localPort ?? 0;
    accepted.set(port, (accepted.get(port) ?? 0) + 1);
  });
  const options = {port: 0, operatorsPort: 0, logger: silentLogger, engines: 1, interTokenMs: 1};
  const system = (await startLocalSystem(options))._unsafeUnwrap();
  const client = new OpenAI({
    apiKey: system.keys.client,
    baseURL: `http://${system.entry.callers.address}/v1`,
    maxRetries: 0,
  });
  for (let index = 0; index < REQUESTS; index += 1) {
    const answer = await client.chat.completions.create({
      model: 'score-reader',
      messages: [{role: 'user', content: `bar ${index}`}],
      max_completion_tokens: 2,
    });
    expect(answer.choices).toHaveLength(1);
  }
  const countAt = (address = '') => accepted.get(splitAddress(address)[1]) ?? 0;
  const agent = countAt(system.agents[0]?.server.address);
  const engine = countAt(system.engines[0]?.address);
  await system.drain();
  // One connection for requests and one for control messages; a request may open another while the previous
  // connection is still busy.
  expect(agent).toBeLessThanOrEqual(4);
  expect(agent).toBeGreaterThan(0);
  expect(engine).toBeLessThanOrEqual(4);
  expect(engine).toBeGreaterThan(0);
});
