import {once} from 'node:events';
import {connect} from 'node:net';
import {silentLogger} from '@marigoldfold/runtime';
import {createClusterKey, serverLimitsSchema} from '@marigoldfold/transport';
import {Registry} from 'prom-client';
import {expect, test} from 'vitest';
import {
  createGenerationWork,
  createScriptedEngine,
  createTestWorker,
} from '../__fixtures__/scriptedWork.js';
import {startAgentServer} from '../server.js';

/** Exceeds the buffers of a loopback connection: 200 chunks of 100 kB. */
const CHUNKS = 200;
const CHUNK_BYTES = 100_000;

test('an answer is detached from an entry that stays connected but reads nothing', async () => {
  const {engine} = createScriptedEngine(async function* () {
    for (let number = 1; number <= CHUNKS; number += 1) {
      await Promise.resolve();
      yield {number, data: 'x'.repeat(CHUNK_BYTES)};
    }
    return {kind: 'whole'};
  });
  const {worker, clock} = createTestWorker({engine});
  const clusterKey = createClusterKey('secret');
  using server = (
    await startAgentServer({
      host: '127.0.0.1',
      port: 0,
      limits: serverLimitsSchema.parse({stalledReaderTimeoutMs: 100}),
      clusterKey,
      addPeerMethods: (methods) => methods,
      worker,
      clock,
      registry: new Registry(),
      isReady: () => true,
      logger: silentLogger,
    })
  )._unsafeUnwrap();
  const body = JSON.stringify(createGenerationWork('a.1'));
  const socket = connect(server.port, '127.0.0.1');
  socket.pause();
  const headers = Object.entries(clusterKey.headers).map(([name, value]) => `${name}: ${value}`);
  const head = ['POST /work HTTP/1.1', 'host: a', ...headers, `content-length: ${body.length}`];
  socket.write(`${head.join('\r\n')}\r\n\r\n${body}`);
  while (server.activeCount() === 0) await new Promise(setImmediate);
  while (server.activeCount() > 0) await new Promise(setImmediate);
  expect(worker.answer('a.1')?.detachedAtMs).toBeDefined();
  socket.destroy();
  await once(socket, 'close');
});
