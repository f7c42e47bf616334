import {createServer, type AddressInfo} from 'node:net';
import {describe, expect, test} from 'vitest';
import {endlessBodies, endlessHeads, startFloodServer} from '../__fixtures__/floodServer.js';
import {createEndpointClient} from '../endpointClient.js';
import {readEvents} from '../eventStream.js';
import {createHttpClient} from '../httpClient.js';

/** Far longer than a client takes to reject the flood, so waiting for the timeout fails the test. */
const REQUEST_TIMEOUT_MS = 600_000;

async function waitUntilClosed(server: {readonly openCount: () => number}): Promise<void> {
  while (server.openCount() > 0) await new Promise(setImmediate);
}

const requestFields = {method: 'GET', path: '/a', timeoutMs: REQUEST_TIMEOUT_MS} as const;

describe('a response whose headers never end is aborted', () => {
  test.each(endlessHeads)('by the endpoint client: %s', async (_name, prefix, repeated) => {
    using server = await startFloodServer(prefix, repeated);
    using client = createEndpointClient();
    const {kind} = await client.send({
      address: server.address,
      method: 'GET',
      target: '/a',
      headers: () => ['host', 'a.example'],
      body: undefined,
      signal: new AbortController().signal,
      connectTimeoutMs: REQUEST_TIMEOUT_MS,
      allowsConnectionReuse: true,
    });
    expect(kind).toBe('unknown');
    await waitUntilClosed(server);
  });

  test.each(endlessHeads)('by the HTTP client: %s', async (_name, prefix, repeated) => {
    using server = await startFloodServer(prefix, repeated);
    using client = createHttpClient();
    const response = await client.send({address: server.address, ...requestFields});
    expect(response._unsafeUnwrapErr()).toMatchObject({code: 'broken', mayHaveBeenSent: true});
    await waitUntilClosed(server);
  });
});

describe('a response whose body never ends is aborted', () => {
  test.each(endlessBodies)('by a buffering fetch: %s', async (_name, prefix, repeated) => {
    using server = await startFloodServer(prefix, repeated);
    using client = createHttpClient();
    const response = await client.fetch({address: server.address, ...requestFields});
    expect(response._unsafeUnwrapErr()).toMatchObject({code: 'broken', mayHaveBeenSent: true});
    await waitUntilClosed(server);
  });

  test.each(endlessBodies)('by the event reader: %s', async (_name, prefix, repeated) => {
    using server = await startFloodServer(prefix, repeated);
    using client = createHttpClient();
    const response = await client.send({address: server.address, ...requestFields});
    for await (const event of readEvents(response._unsafeUnwrap().stream)) {
      expect(event).toBeUndefined();
    }
    await waitUntilClosed(server);
  });

  test('by the event reader after the last event', async () => {
    const prefix = 'HTTP/1.1 200 OK\r\n\r\ndata: last\n\n';
    using server = await startFloodServer(prefix, ': zzzz\n');
    using client = createHttpClient();
    const response = await client.send({address: server.address, ...requestFields});
    const {stream} = response._unsafeUnwrap();
    for await (const {data} of readEvents(stream, (event) => event.data === 'last')) {
      if (data === 'last') break;
    }
    await waitUntilClosed(server);
  });
});

describe('the timeout of a fetch', () => {
  test('also applies to the body', async () => {
    const server = createServer((socket) => {
      socket.on('error', () => undefined);
      socket.once('data', () => socket.write('HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nbegun'));
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    using client = createHttpClient();
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const response = await client.fetch({address, method: 'GET', path: '/a', timeoutMs: 50});
    expect(response._unsafeUnwrapErr()).toMatchObject({code: 'timed_out', mayHaveBeenSent: true});
    server.close();
  });
});
