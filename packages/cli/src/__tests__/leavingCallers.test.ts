import {once} from 'node:events';
import {silentLogger} from '@marigoldfold/runtime';
import {splitAddress} from '@marigoldfold/transport';
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {blockUntilClientsClose} from '../../../entry/src/forwarding/__fixtures__/blockedProcess.js';
import {openRawConnection} from '../__fixtures__/rawConnection.js';
import {type LocalSystem, startLocalSystem} from '../localSystem.js';

let system: LocalSystem;
let startedIds: string[];

beforeEach(async () => {
  const options = {port: 0, operatorsPort: 0, logger: silentLogger, engines: 1, interTokenMs: 20};
  system = (await startLocalSystem(options))._unsafeUnwrap();
  startedIds = [];
  const engine = system.engines[0]!.implementation;
  const begin = engine.begin.bind(engine);
  engine.begin = (request, listener) => {
    startedIds.push(request.id);
    return begin(request, listener);
  };
});

afterEach(() => {
  system[Symbol.dispose]();
});

function rawChatRequest(tokens: number): string {
  const body = JSON.stringify({
    model: 'score-reader',
    messages: [{role: 'user', content: 'bar 12'}],
    max_completion_tokens: tokens,
    stream: true,
  });
  return [
    'POST /v1/chat/completions HTTP/1.1',
    'host: a',
    `authorization: Bearer ${system.keys.client}`,
    'content-type: application/json',
    `content-length: ${Buffer.byteLength(body)}`,
    '',
    body,
  ].join('\r\n');
}

/** Opens keep-alive connections to the agent and to the engine. */
async function openReusableConnections(): Promise<void> {
  for (let index = 0; index < 4; index += 1) {
    const connection = await openRawConnection(system.entry.callers.address);
    connection.socket.write(rawChatRequest(1));
    await connection.waitForText(/\[DONE\]/);
    connection.socket.destroy();
  }
  startedIds = [];
}

describe('requests of callers that disconnect', () => {
  test('do not start in the engine if the caller disconnected before the entry read them', async () => {
    await openReusableConnections();
    const port = splitAddress(system.entry.callers.address)[1];
    const requests = Array.from({length: 8}, () => rawChatRequest(500));
    await once(blockUntilClientsClose(port, requests), 'exit');
    const last = await openRawConnection(system.entry.callers.address);
    last.socket.write(rawChatRequest(1));
    await last.waitForText(/\[DONE\]/);
    last.socket.destroy();
    expect(startedIds).toHaveLength(1);
  });

  test('are cancelled in the engine, also when they are the second request of a connection', async () => {
    await openReusableConnections();
    const connection = await openRawConnection(system.entry.callers.address);
    // The second one starts when the first one has been answered.
    connection.socket.write(rawChatRequest(1) + rawChatRequest(100_000));
    await connection.waitForText(/data: /);
    while (startedIds.length < 2) await new Promise(setImmediate);
    connection.socket.destroy();
    const engine = system.engines[0]!.implementation;
    while (engine.generationCount > 0) await new Promise(setImmediate);
  });
});
