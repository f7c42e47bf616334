import {createServer, type AddressInfo, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {afterEach, expect, test} from 'vitest';
import {createHttpClient} from '../httpClient.js';

const cleanups: (() => void)[] = [];

afterEach(() => {
  for (const cleanUp of cleanups.splice(0)) cleanUp();
});

/** Starts a server that sends a response head and then writes the body as the script does; returns its address. */
async function serveBody(length: number, write: (socket: Socket) => Promise<void>) {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${length}\r\n\r\n`);
      void write(socket);
    });
    cleanups.push(() => socket.destroy());
  });
  cleanups.push(() => server.close());
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

async function fetchFrom(address: string) {
  using client = createHttpClient();
  const transferLimits = {stallMs: 300, minBytesPerSecond: 10_000};
  return await client.fetch({address, method: 'GET', path: '/a', timeoutMs: 200, transferLimits});
}

test('a slow body that moves is read, although it takes several times the timeout', async () => {
  const address = await serveBody(200_000, async (socket) => {
    for (let piece = 0; piece < 20; piece += 1) {
      socket.write(Buffer.alloc(10_000));
      await delay(50);
    }
  });
  expect((await fetchFrom(address))._unsafeUnwrap().body).toHaveLength(200_000);
});

test('a body that trickles below the lowest rate is given up', async () => {
  const address = await serveBody(200_000, async (socket) => {
    for (let piece = 0; piece < 200 && !socket.destroyed; piece += 1) {
      socket.write('x');
      await delay(20);
    }
  });
  expect((await fetchFrom(address))._unsafeUnwrapErr().code).toBe('timed_out');
});

test('a fast start earns no time for a stall', async () => {
  const address = await serveBody(2_000_000, (socket) => {
    socket.write(Buffer.alloc(1_000_000));
    return Promise.resolve();
  });
  const startedAtMs = performance.now();
  expect((await fetchFrom(address))._unsafeUnwrapErr().code).toBe('timed_out');
  expect(performance.now() - startedAtMs).toBeLessThan(5000);
});

test('bytes that arrived during a long event loop turn count as progress', async () => {
  const address = await serveBody(20_000, async (socket) => {
    socket.write(Buffer.alloc(10_000));
    await delay(50);
    socket.write(Buffer.alloc(10_000));
    // The bytes are in the client's kernel before its event loop runs again, which is after the limit.
    const untilMs = performance.now() + 600;
    while (performance.now() < untilMs);
  });
  expect((await fetchFrom(address))._unsafeUnwrap().body).toHaveLength(20_000);
});
