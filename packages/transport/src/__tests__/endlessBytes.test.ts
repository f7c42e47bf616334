import {createServer, type AddressInfo} from 'node:net';
import {describe, expect, test} from 'vitest';
import {endlessBodies, endlessHeads, startFloodServer} from '../__fixtures__/floodServer.js';
import {createEndpointClient} from '../endpointClient.js';
import {readEvents} from '../eventStream.js';
import {createHttpClient} from '../httpClient.js';

/** Far longer than a client takes to refuse a flood; a client that waits for the head fails the test. */
const REQUEST_TIMEOUT_MS = 600_000;

async function waitUntilClosed(server: {readonly openCount: () => number}): Promise<void> {
  while (server.openCount() > 0) await new Promise(setImmediate);
}

const requestFields = {method: 'GET', path: '/a', timeoutMs: REQUEST_TIMEOUT_MS} as const;

describe('bytes without end in place of a head keep', () => {
  test.each(endlessHeads)('a send to an endpoint: %s', async (_name, beginning, again) => {
    using server = await startFloodServer(beginning, again);
    using client = createEndpointClient();
    const {kind} = await client.send({
      address: server.address,
      method: 'GET',
      target: '/a',
      headers: ['host', 'a.example'],
      body: undefined,
      signal: new AbortController().signal,
      connectTimeoutMs: REQUEST_TIMEOUT_MS,
      allowsConnectionReuse: true,
    });
    expect(kind).toBe('unknown');
    await waitUntilClosed(server);
  });

  test.each(endlessHeads)('a call: %s', async (_name, beginning, again) => {
    using server = await startFloodServer(beginning, again);
    using client = createHttpClient();
    const answer = await client.send({address: server.address, ...requestFields});
    expect(answer._unsafeUnwrapErr()).toMatchObject({code: 'broken', mayHaveBeenSent: true});
    await waitUntilClosed(server);
  });
});

describe('bytes without end in place of a body', () => {
  test.each(endlessBodies)('fill the memory of a call: %s', async (_name, beginning, again) => {
    using server = await startFloodServer(beginning, again);
    using client = createHttpClient();
    const answer = await client.fetch({address: server.address, ...requestFields});
    expect(answer._unsafeUnwrapErr()).toMatchObject({code: 'broken', mayHaveBeenSent: true});
    await waitUntilClosed(server);
  });

  test.each(endlessBodies)('keep a reader of events: %s', async (_name, beginning, again) => {
    using server = await startFloodServer(beginning, again);
    using client = createHttpClient();
    const answer = await client.send({address: server.address, ...requestFields});
    for await (const event of readEvents(answer._unsafeUnwrap().stream)) {
      expect(event).toBeUndefined();
    }
    await waitUntilClosed(server);
  });

  test('are read after the last event', async () => {
    const beginning = 'HTTP/1.1 200 OK\r\n\r\ndata: last\n\n';
    using server = await startFloodServer(beginning, ': zzzz\n');
    using client = createHttpClient();
    const answer = await client.send({address: server.address, ...requestFields});
    const {stream} = answer._unsafeUnwrap();
    for await (const {data} of readEvents(stream, (event) => event.data === 'last')) {
      if (data === 'last') break;
    }
    await waitUntilClosed(server);
  });
});

describe('a call has no time limit', () => {
  test('once the head of its answer has come', async () => {
    const server = createServer((socket) => {
      socket.on('error', () => undefined);
      socket.once('data', () => socket.write('HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nbegun'));
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    using client = createHttpClient();
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const answer = await client.fetch({address, method: 'GET', path: '/a', timeoutMs: 50});
    expect(answer._unsafeUnwrapErr()).toMatchObject({code: 'timed_out', mayHaveBeenSent: true});
    server.close();
  });
});
