import {createServer, type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import {type AddressInfo, connect, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {steadyClock, VirtualClock} from '@marigoldfold/runtime';
import {afterEach, describe, expect, test, vi} from 'vitest';
import {
  type ClosedConnection,
  ConnectionGuard,
  type ConnectionGuardOptions,
} from '../connectionGuard.js';
import {MemoryBudget} from '../memoryBudget.js';

const servers: Server[] = [];
const sockets: Socket[] = [];

afterEach(() => {
  for (const socket of sockets.splice(0)) socket.destroy();
  for (const server of servers.splice(0)) {
    server.closeAllConnections();
    server.close();
  }
});

async function start(options: Partial<ConnectionGuardOptions> = {}) {
  const server = createServer({noDelay: true});
  const closed: ClosedConnection[] = [];
  const handled: {request: IncomingMessage; response: ServerResponse}[] = [];
  new ConnectionGuard(server, {
    onRequest: (request, response) => void handled.push({request, response}),
    onClientError: (_error, socket) => {
      socket.end('HTTP/1.1 400 Bad Request\r\nconnection: close\r\n\r\n');
    },
    onConnectionClosed: (connection) => void closed.push(connection),
    ...options,
  });
  servers.push(server);
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  return {port, closed, handled, server};
}

async function open(port: number) {
  const socket = connect({port, host: '127.0.0.1', noDelay: true});
  sockets.push(socket);
  const client = {socket, received: '', isClosed: false};
  socket.on('data', (chunk: Buffer) => {
    client.received += chunk.toString('latin1');
  });
  socket.on('error', () => undefined);
  socket.on('close', () => {
    client.isClosed = true;
  });
  await new Promise((resolve) => socket.once('connect', resolve));
  return client;
}

function get(path: string, headers = ''): string {
  return `GET ${path} HTTP/1.1\r\nhost: a\r\n${headers}\r\n`;
}

async function echo(request: IncomingMessage, response: ServerResponse): Promise<void> {
  let body = '';
  request.setEncoding('latin1');
  for await (const chunk of request) body += chunk as string;
  response.end(`[${request.url ?? ''}:${body}]`);
}

function echoes(received: string): string[] {
  return [...received.matchAll(/\[([^\]]*)\]/g)].map((match) => match[1]!);
}

function createBudget(maxBytes = 16_777_216): MemoryBudget {
  return new MemoryBudget({
    clock: steadyClock,
    maxBytes,
    reservedBytes: maxBytes / 4,
    smallBytes: 65_536,
    stalledMs: 5000,
  });
}

describe('requests sent ahead', () => {
  // Guards against handling all requests of a read chunk at once, which took 612 MB for 20 connections.
  test('start one at a time, in order', async () => {
    const started: string[] = [];
    let inProgress = 0;
    let maxInProgress = 0;
    const {port} = await start({
      onRequest: (request, response) => {
        const path = request.url ?? '';
        started.push(path);
        maxInProgress = Math.max(maxInProgress, ++inProgress);
        setImmediate(() => {
          inProgress--;
          response.end(`[${path}]`);
        });
      },
    });
    const client = await open(port);
    const paths = Array.from({length: 500}, (_, index) => `/${index}`);
    client.socket.write(paths.map((path) => get(path)).join(''));
    await vi.waitFor(() => {
      expect(echoes(client.received)).toEqual(paths);
    });
    expect(started).toEqual(paths);
    expect(maxInProgress).toBe(1);
  });

  // Guards against a body that is read as a request, and a request that is read as a body.
  test.each([1, 7, 1000, 1024, 5000, 40_000, 200_000])(
    'are told from bodies of %i bytes',
    async (size) => {
      const {port} = await start({onRequest: (...pair) => void echo(...pair)});
      const client = await open(port);
      const body = `\n0\r\n\r\n${get('/inner')}`.repeat(Math.ceil(size / 20)).slice(0, size);
      const chunks = body.match(/[^]{1,900}/g)!;
      const chunked = chunks
        .map((chunk) => `${chunk.length.toString(16)}\r\n${chunk}\r\n`)
        .join('');
      client.socket.write(
        [
          `POST /length HTTP/1.1\r\nhost: a\r\ncontent-length: ${size}\r\n\r\n${body}`,
          get('/a'),
          `POST /chunked HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n${chunked}0\r\n\r\n`,
          get('/b'),
          get('/c', 'connection: close\r\n'),
        ].join(''),
      );
      await vi.waitFor(
        () => {
          expect(client.isClosed).toBe(true);
        },
        {timeout: 4000},
      );
      const sent = [`/length:${body}`, '/a:', `/chunked:${body}`, '/b:', '/c:'];
      expect(echoes(client.received)).toEqual(sent);
    },
  );

  // Guards against handlers that run for a client that has gone.
  test('are dropped when the connection closes', async () => {
    const {port, handled} = await start();
    const client = await open(port);
    client.socket.write(get('/a') + get('/b'));
    await vi.waitFor(() => {
      expect(handled.length).toBe(1);
    });
    const closed = new Promise((resolve) => handled[0]!.response.once('close', resolve));
    client.socket.destroy();
    await closed;
    await delay(20);
    expect(handled.length).toBe(1);
  });

  // Guards against an error response that the client takes for the response in progress.
  test('that are invalid do not affect the response in progress', async () => {
    const {port, handled, closed} = await start();
    const client = await open(port);
    client.socket.write(`${get('/a')}invalid\r\n\r\n`);
    await vi.waitFor(() => {
      expect(closed.map(({rule}) => rule)).toEqual(['invalid_request_ahead']);
    });
    handled[0]!.response.end('[a]');
    await vi.waitFor(() => {
      expect(client.isClosed).toBe(true);
    });
    expect(client.received).toMatch(/^HTTP\/1.1 200 OK\r\n[^]*\[a\]$/);
  });

  // Guards against input that is kept without being counted.
  test('close the connection after the response if there is no memory', async () => {
    const budget = createBudget(65_536);
    const {port, handled, closed} = await start({budget});
    const client = await open(port);
    client.socket.write(get('/a').padEnd(1024, get('/b')) + 'x'.repeat(200_000));
    await vi.waitFor(() => {
      expect(closed.map(({rule}) => rule)).toEqual(['memory']);
    });
    handled[0]!.response.end('[a]');
    await vi.waitFor(() => {
      expect(client.isClosed).toBe(true);
    });
    expect(echoes(client.received)).toEqual(['a']);
    expect(handled.length).toBe(1);
    expect(budget.usedBytes).toBe(0);
  });

  // Guards against a connection that reads on while its input is kept: more than a chunk of 64 KiB would be held.
  test('are kept up to one read chunk', async () => {
    const budget = createBudget();
    const {port, handled} = await start({budget});
    const client = await open(port);
    client.socket.write(get('/a'));
    await vi.waitFor(() => {
      expect(handled.length).toBe(1);
    });
    for (let sent = 0; sent < 100; sent++) {
      client.socket.write(get('/b').repeat(300));
      await delay(1);
    }
    expect(handled.length).toBe(1);
    expect(budget.usedBytes).toBeGreaterThan(0);
    expect(budget.usedBytes).toBeLessThanOrEqual(65_536 + 8192);
  });
});

// Guards against a client whose disconnect is noticed only when its response ends.
test('a client that has sent nothing ahead and leaves is noticed while its request is served', async () => {
  const {port, handled} = await start();
  const client = await open(port);
  client.socket.write(get('/a'));
  await vi.waitFor(() => {
    expect(handled.length).toBe(1);
  });
  const {socket} = handled[0]!.request;
  const ended = new Promise((resolve) => socket.once('end', resolve));
  client.socket.end();
  await ended;
});

// Guards against a reader's backpressure that is overridden, and against kept input that is never continued.
test('a body whose reader pauses is not read ahead and arrives whole', async () => {
  const {port, handled} = await start();
  const client = await open(port);
  const size = 4_000_000;
  client.socket.write(`POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: ${size}\r\n\r\n`);
  client.socket.write(Buffer.alloc(size, 'x'));
  await vi.waitFor(() => {
    expect(handled.length).toBe(1);
  });
  const {request, response} = handled[0]!;
  await delay(50);
  expect(request.readableLength + request.socket.readableLength).toBeLessThanOrEqual(200_000);
  let received = 0;
  for await (const chunk of request) received += (chunk as Buffer).length;
  expect(received).toBe(size);
  response.end('[done]');
  await vi.waitFor(() => {
    expect(echoes(client.received)).toEqual(['done']);
  });
});

// Guards against the rest of a refused body that is read as the next request, or never read.
test('a request behind a body that was answered early is served', async () => {
  const {port} = await start({
    onRequest: (request, response) => response.end(`[${request.url ?? ''}]`),
  });
  const client = await open(port);
  const body = get('/inner').repeat(10_000);
  client.socket.write(`POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: ${body.length}\r\n\r\n`);
  client.socket.write(body + get('/b'));
  await vi.waitFor(() => {
    expect(echoes(client.received)).toEqual(['/a', '/b']);
  });
});

// Guards against a client that waits for the interim response before it sends its body.
test('100-continue is sent for a request that waits, once it starts', async () => {
  const {port, handled} = await start();
  const client = await open(port);
  const head = 'POST /b HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\nexpect: 100-continue\r\n\r\n';
  client.socket.write(get('/a') + head);
  await vi.waitFor(() => {
    expect(handled.length).toBe(1);
  });
  handled[0]!.response.end('[a]');
  await vi.waitFor(() => {
    expect(client.received).toMatch(/\[a\]HTTP\/1.1 100 Continue/);
  });
  client.socket.write('ok');
  await vi.waitFor(() => {
    expect(handled.length).toBe(2);
  });
  await echo(handled[1]!.request, handled[1]!.response);
  await vi.waitFor(() => {
    expect(echoes(client.received)).toEqual(['a', '/b:ok']);
  });
});

// Guards against input behind an upgrade request that is lost or reordered by slicing.
test('an upgrade handler receives all input that follows the head', async () => {
  const sent = Array.from({length: 2000}, (_, index) => `${index} `).join('');
  let received = '';
  const {port} = await start({
    onUpgrade: (_request, socket, head) => {
      socket.unshift(head);
      socket.on('data', (chunk: Buffer) => (received += chunk.toString()));
    },
  });
  const client = await open(port);
  client.socket.write(get('/a', 'connection: upgrade\r\nupgrade: test\r\n') + sent);
  await vi.waitFor(() => {
    expect(received).toBe(sent);
  });
});

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

// Guards against running out of descriptors, and against closing connections in use before unused ones.
test('beyond the limit the longest unused, then the longest idle connection is closed', async () => {
  const {port, handled, closed} = await start({maxConnections: 3});
  const busy = await open(port);
  busy.socket.write(get('/busy'));
  const idle = await open(port);
  idle.socket.write(get('/idle'));
  await vi.waitFor(() => {
    expect(handled.length).toBe(2);
  });
  handled.find(({request}) => request.url === '/idle')!.response.end('[idle]');
  const unused = await open(port);
  await vi.waitFor(() => {
    expect(echoes(idle.received)).toEqual(['idle']);
  });
  const fourth = await open(port);
  await vi.waitFor(() => {
    expect(unused.isClosed).toBe(true);
  });
  fourth.socket.write(get('/fourth'));
  await vi.waitFor(() => {
    expect(handled.length).toBe(3);
  });
  const fifth = await open(port);
  await vi.waitFor(() => {
    expect(idle.isClosed).toBe(true);
  });
  fifth.socket.write(get('/fifth'));
  await vi.waitFor(() => {
    expect(handled.length).toBe(4);
  });
  const sixth = await open(port);
  await vi.waitFor(() => {
    expect(sixth.isClosed).toBe(true);
  });
  expect([busy, fourth, fifth].map(({isClosed}) => isClosed)).toEqual([false, false, false]);
  expect(closed.map(({rule}) => rule)).toEqual(['connections', 'connections', 'connections']);
});

// Guards against responses that stay in memory for clients that never read them.
test('an unread response is counted, and its connection closed after the time limit', async () => {
  const budget = createBudget(64 * 1024 * 1024);
  const {port, closed} = await start({
    budget,
    stalledReaderTimeoutMs: 200,
    onRequest: (_request, response) => response.end(Buffer.alloc(20_000_000)),
  });
  const client = await open(port);
  client.socket.pause();
  client.socket.write(get('/a'));
  await vi.waitFor(() => {
    expect(budget.usedBytes).toBeGreaterThan(10_000_000);
  });
  await vi.waitFor(
    () => {
      expect(closed.map(({rule}) => rule)).toEqual(['stalled_reader']);
      expect(budget.usedBytes).toBe(0);
    },
    {timeout: 3000},
  );
});

// Guards against heads that are never completed and are held without being counted.
test('an incomplete head is counted', async () => {
  const budget = createBudget();
  const {port} = await start({budget});
  const client = await open(port);
  client.socket.write(`GET / HTTP/1.1\r\nx: ${'x'.repeat(10_000)}`);
  await vi.waitFor(() => {
    expect(budget.usedBytes).toBeGreaterThan(10_000);
  });
  client.socket.destroy();
  await vi.waitFor(() => {
    expect(budget.usedBytes).toBe(0);
  });
});

describe('a head of many lines', () => {
  const manyLines = Array.from({length: 1500}, (_, line) => `x${line}:\r\n`).join('');
  // Guards against heads whose parsed form is held without being counted.
  test('is counted until its response has ended', async () => {
    const budget = createBudget();
    const {port, handled} = await start({budget});
    const client = await open(port);
    client.socket.write(get('/a', manyLines));
    await vi.waitUntil(() => handled.length === 1);
    expect(budget.bytesOf('head')).toBeGreaterThan(1500 * 48);
    handled[0]!.response.end('[a]');
    await vi.waitUntil(() => budget.bytesOf('head') === 0);
    expect(client.isClosed).toBe(false);
  });
  test('closes its connection if there is no room for it, and others are served', async () => {
    const budget = createBudget(100_000);
    const {port, closed} = await start({budget, onRequest: (...pair) => void echo(...pair)});
    const client = await open(port);
    client.socket.write(get('/a', manyLines));
    await vi.waitUntil(() => client.isClosed);
    expect(closed).toMatchObject([{rule: 'memory'}]);
    const other = await open(port);
    other.socket.write(get('/b'));
    await vi.waitUntil(() => echoes(other.received).includes('/b:'));
    expect(budget.bytesOf('head')).toBe(0);
  });
});
