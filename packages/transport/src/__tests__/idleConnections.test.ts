import {setTimeout as delay} from 'node:timers/promises';
import {VirtualClock} from '@marigoldfold/runtime';
import {expect, test, vi} from 'vitest';
import {createBudget, echo, echoes, get, open, start} from '../__fixtures__/guardedServer.js';
import {MemoryBudget} from '../memoryBudget.js';

// Guards against idle connections, fewer than the limit, that use up the memory so that every new one is closed.
test('without memory for a connection the longest idle one is closed', async () => {
  const budget = createBudget(4 * 8192);
  const {port, closed} = await start({
    budget,
    onRequest: (request, response) => response.end(`[${request.url ?? ''}]`),
  });
  const clients: Awaited<ReturnType<typeof open>>[] = [];
  for (let index = 0; index < 6; index++) {
    const client = await open(port);
    clients.push(client);
    client.socket.write(get(`/${index}`));
    await vi.waitFor(() => {
      expect(echoes(client.received)).toEqual([`/${index}`]);
    });
  }
  await vi.waitFor(() => {
    expect(clients.map(({isClosed}) => isClosed)).toEqual([true, true, false, false, false, false]);
  });
  expect(closed.map(({rule}) => rule)).toEqual(['memory', 'memory']);
  expect(budget.bytesOf('connection')).toBe(4 * 8192);
});

// Guards against idle connections that leave no memory for the requests of others.
test('idle connections give way to a body after a time', async () => {
  const clock = new VirtualClock();
  const maxBytes = 4 * 8192;
  const sizes = {maxBytes, reservedBytes: 0, smallBytes: 65_536, stalledMs: 5000};
  const budget = new MemoryBudget({clock, ...sizes});
  const {port, handled, closed} = await start({budget});
  const clients = await Promise.all([open(port), open(port), open(port), open(port)]);
  clients[3].socket.write('POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: 9000\r\n\r\n');
  await vi.waitFor(() => {
    expect(handled.length).toBe(1);
  });
  const holder = budget.open({kind: 'body', owner: 'other', onEvicted: () => undefined});
  expect(holder.resize(2 * 8192)).toBe(false);
  await clock.advance(5000);
  expect(holder.resize(2 * 8192)).toBe(true);
  await vi.waitFor(() => {
    expect(clients.map(({isClosed}) => isClosed)).toEqual([true, true, false, false]);
  });
  expect(closed.map(({rule}) => rule)).toEqual(['evicted_stalled', 'evicted_stalled']);
});

// Guards against a planned stop that cuts off responses: Node.js takes a connection for idle once its response has ended,
// also while bytes of it wait in the process.
test('a connection whose response is not written out is not closed as an idle one', async () => {
  const {port, handled, server} = await start();
  const client = await open(port);
  client.socket.pause();
  client.socket.write(get('/a'));
  const idle = await open(port);
  await vi.waitFor(() => {
    expect(handled.length).toBe(1);
  });
  const size = 16_777_216;
  handled[0]!.response.end(Buffer.alloc(size, 'x'));
  await delay(20);
  server.closeIdleConnections();
  server.close();
  await vi.waitFor(() => {
    expect(idle.isClosed).toBe(true);
  });
  client.socket.resume();
  await vi.waitFor(() => {
    expect(client.received.length).toBeGreaterThan(size);
  });
  await delay(20);
  expect(client.isClosed).toBe(false);
  server.closeIdleConnections();
  await vi.waitFor(() => {
    expect(client.isClosed).toBe(true);
  });
});

// Guards against a stop that waits for connections on which line ends have arrived behind a body, as some clients send them.
test('a connection with line ends behind a request is idle', async () => {
  const {port, handled, server} = await start();
  const client = await open(port);
  client.socket.write('POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\nok');
  await vi.waitFor(() => {
    expect(handled.length).toBe(1);
  });
  await echo(handled[0]!.request, handled[0]!.response);
  await vi.waitFor(() => {
    expect(echoes(client.received)).toEqual(['/a:ok']);
  });
  client.socket.write('\r\n');
  await delay(20);
  server.closeIdleConnections();
  await vi.waitFor(() => {
    expect(client.isClosed).toBe(true);
  });
});
