import {createServer, type AddressInfo} from 'node:net';
import {afterEach, expect, test} from 'vitest';
import {createEndpointClient} from '../endpointClient.js';

const HEAD =
  'HTTP/1.1 200 OK\r\nx-id: first\r\nx-signed: yes\r\ncontent-type: text/event-stream\r\n\r\n';

const cleanups: (() => void)[] = [];

afterEach(() => {
  for (const cleanUp of cleanups.splice(0)) cleanUp();
});

/** Sends a request to a server that writes a part of a response and ends its connection. */
async function receive(part: string, isReset: boolean): Promise<string> {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      if (!isReset) socket.end(part);
      else socket.write(part, () => socket.resetAndDestroy());
    });
  });
  cleanups.push(() => server.close());
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  using client = createEndpointClient();
  const outcome = await client.send({
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    method: 'GET',
    target: '/a',
    headers: () => ['host', 'a.example'],
    body: undefined,
    signal: new AbortController().signal,
    connectTimeoutMs: 1000,
    allowsConnectionReuse: false,
  });
  return outcome.kind;
}

test.each([false, true])('a head that ends early is no response, reset: %s', async (isReset) => {
  for (let length = 1; length < HEAD.length; length += 1)
    expect([length, await receive(HEAD.slice(0, length), isReset)]).toEqual([length, 'unknown']);
});
