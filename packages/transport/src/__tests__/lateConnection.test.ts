import {once} from 'node:events';
import {type AddressInfo, createServer} from 'node:net';
import {expect, test} from 'vitest';
import {createEndpointClient} from '../endpointClient.js';

test('nothing is sent on a connection that opens after the permission has run out', async () => {
  let received = '';
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', (bytes: Buffer) => (received += bytes.toString()));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  using client = createEndpointClient();
  let checks = 0;
  const outcome = await client.send({
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    method: 'POST',
    target: '/',
    headers: () => ['host', 'a', 'content-length', '4'],
    body: Buffer.from('body'),
    signal: new AbortController().signal,
    connectTimeoutMs: 1000,
    allowsConnectionReuse: false,
    mayStillSend: () => {
      checks += 1;
      return false;
    },
  });
  await new Promise((resolve) => setTimeout(resolve, 30));
  expect(outcome.kind).toBe('withdrawn');
  expect(checks).toBe(1);
  expect(received).toBe('');
  server.close();
});
