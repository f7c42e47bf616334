import {createServer, type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import {type AddressInfo, connect, type Socket} from 'node:net';
import {flushPromises, VirtualClock} from '@marigoldfold/runtime';
import type {Result} from 'neverthrow';
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {MemoryBudget, type MemoryHolder} from '../memoryBudget.js';
import {endAfterRequest} from '../earlyResponse.js';
import {type BodyError, type HeldBody, readHeldBody} from '../requestBody.js';

const LIMITS = {maxBodyBytes: 1_000_000, requestTimeoutMs: 60_000};
const MAX_BYTES = 2_000_000;

let clock: VirtualClock;
let budget: MemoryBudget;
let server: Server;
let sockets: Socket[];
let results: Result<HeldBody, BodyError>[];
let refusedBytes: number[];
let evictedBodies: number;
let requests: IncomingMessage[];

beforeEach(async () => {
  clock = new VirtualClock();
  budget = new MemoryBudget({
    clock,
    maxBytes: MAX_BYTES,
    reservedBytes: 500_000,
    smallBytes: 65_536,
    stalledMs: 5000,
  });
  [sockets, results, refusedBytes, requests] = [[], [], [], []];
  evictedBodies = 0;
  const handle = async (request: IncomingMessage, response: ServerResponse) => {
    requests.push(request);
    const memory = {
      budget,
      owner: request.headers['x-owner']?.toString() ?? 'a',
      onEvicted: () => (evictedBodies += 1),
      onRefused: (bytes: number) => refusedBytes.push(bytes),
    };
    const result = await readHeldBody(request, LIMITS, {clock, memory});
    results.push(result);
    if (result.isOk()) return;
    response.writeHead(503, {connection: 'close', 'content-length': 2});
    endAfterRequest(response, 'no');
  };
  server = createServer((request, response) => void handle(request, response));
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
});

afterEach(async () => {
  for (const socket of sockets) socket.destroy();
  server.closeAllConnections();
  await new Promise((resolve) => server.close(resolve));
  // The handlers of closed connections still end.
  await waitUntil(() => results.length === requests.length);
});

async function waitUntil(isReached: () => boolean): Promise<void> {
  for (let turn = 0; turn < 100_000 && !isReached(); turn += 1) await flushPromises();
  expect(isReached()).toBe(true);
}

/** Opens a connection and sends the head of a request, and the bytes that follow. */
async function send(headers: string, bytes: Buffer | string = ''): Promise<Socket> {
  const expected = requests.length + 1;
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
  sockets.push(socket);
  socket.on('error', () => undefined);
  socket.write(`POST /x HTTP/1.1\r\nhost: a\r\n${headers}\r\n\r\n`);
  socket.write(bytes);
  await waitUntil(() => requests.length === expected);
  return socket;
}

function hold(bytes: number, owner = 'b'): MemoryHolder {
  const holder = budget.open({kind: 'body', owner, onEvicted: () => undefined});
  expect(holder.resize(bytes)).toBe(true);
  return holder;
}

describe('a body', () => {
  test('is counted with its size until it is disposed of', async () => {
    await send('content-length: 300000', Buffer.alloc(300_000, 'x'));
    await waitUntil(() => results.length === 1);
    const body = results[0]!._unsafeUnwrap();
    expect(body.bytes.equals(Buffer.alloc(300_000, 'x'))).toBe(true);
    expect(budget.usedBytes).toBe(300_000);
    body[Symbol.dispose]();
    expect(budget.usedBytes).toBe(0);
  });

  test('that is empty is not counted', async () => {
    await send('content-length: 0');
    await waitUntil(() => results.length === 1);
    expect(results[0]!._unsafeUnwrap().bytes).toHaveLength(0);
    expect(budget.usedBytes).toBe(0);
  });

  // Guards against memory for what a client announces, but does not send.
  test('that is announced, but does not arrive, costs about what has arrived', async () => {
    await send('content-length: 1000000', Buffer.alloc(10, 'x'));
    await waitUntil(() => budget.usedBytes > 0);
    expect(budget.usedBytes).toBe(1024);
  });

  // Guards against chunks of one byte that cost 55 bytes each.
  test('in chunks of one byte costs at most twice its size', async () => {
    const CHUNKS = 20_000;
    const socket = await send('transfer-encoding: chunked', '1\r\nx\r\n'.repeat(CHUNKS));
    await waitUntil(() => budget.usedBytes >= CHUNKS);
    expect(budget.usedBytes).toBeLessThanOrEqual(2 * CHUNKS);
    socket.write('0\r\n\r\n');
    await waitUntil(() => results.length === 1);
    expect(results[0]!._unsafeUnwrap().bytes.equals(Buffer.alloc(CHUNKS, 'x'))).toBe(true);
    expect(budget.usedBytes).toBe(CHUNKS);
  });

  // Guards against memory that stays counted when clients disconnect.
  test('is released when its connection closes', async () => {
    const socket = await send('content-length: 1000000', Buffer.alloc(200_000, 'x'));
    await waitUntil(() => budget.usedBytes >= 200_000);
    socket.destroy();
    await waitUntil(() => results.length === 1);
    expect(results[0]!._unsafeUnwrapErr()).toBe('aborted');
    expect(budget.usedBytes).toBe(0);
  });
});

describe('a body for which there is no room', () => {
  test('waits until there is', async () => {
    const other = hold(1_500_000);
    other.pin();
    await send('content-length: 200000', Buffer.alloc(200_000, 'x'));
    await waitUntil(() => requests[0]!.isPaused());
    await clock.advance(4000);
    expect(results).toEqual([]);
    other[Symbol.dispose]();
    for (let turn = 0; turn < 100 && results.length === 0; turn += 1) await clock.advance(100);
    expect(results[0]!._unsafeUnwrap().bytes.equals(Buffer.alloc(200_000, 'x'))).toBe(true);
  });

  // Guards against clients that wait without end, or get no response, and against bytes that stay counted.
  test('ends when it has waited too long, and its client gets a response', async () => {
    hold(1_500_000).pin();
    const socket = await send('content-length: 200000', Buffer.alloc(150_000, 'x'));
    let response = '';
    socket.on('data', (chunk: Buffer) => (response += chunk.toString()));
    await waitUntil(() => requests[0]!.isPaused());
    await clock.advance(6000);
    expect(results[0]!._unsafeUnwrapErr()).toBe('no_memory');
    expect(refusedBytes).toHaveLength(1);
    expect(budget.usedBytes).toBe(1_500_000);
    await waitUntil(() => response.endsWith('no'));
    let isClosed = false;
    socket.on('close', () => (isClosed = true));
    socket.write(Buffer.alloc(50_000, 'x'));
    await waitUntil(() => isClosed);
  });

  // Guards against chunks of any number of waiting bodies that nothing counts.
  test('is refused at once if many wait already', async () => {
    hold(1_500_000).pin();
    while (budget.admitWaiting(65_536) !== undefined);
    await send('content-length: 200000', Buffer.alloc(150_000, 'x'));
    await waitUntil(() => results.length === 1);
    expect(results[0]!._unsafeUnwrapErr()).toBe('no_memory');
  });
});

describe('an eviction', () => {
  // Guards against uploads that stop just short of their end.
  test('ends a body that makes no progress', async () => {
    await send('x-owner: b\r\ncontent-length: 900000', Buffer.alloc(899_990, 'x'));
    await waitUntil(() => requests[0]!.socket.bytesRead > 899_990);
    expect(budget.usedBytes).toBeGreaterThanOrEqual(899_990);
    expect(budget.usedBytes).toBeLessThanOrEqual(900_000);
    await clock.advance(5000);
    await send('content-length: 900000', Buffer.alloc(900_000, 'x'));
    await waitUntil(() => results.length === 2);
    expect(results[0]!._unsafeUnwrapErr()).toBe('no_memory');
    expect(results[1]!._unsafeUnwrap().bytes).toHaveLength(900_000);
    expect(budget.usedBytes).toBe(900_000);
  });

  // Guards against complete bodies that are kept in memory although they are no longer counted.
  test('empties a complete body, unless it is pinned', async () => {
    await send('content-length: 900000', Buffer.alloc(900_000, 'x'));
    await waitUntil(() => results.length === 1);
    const body = results[0]!._unsafeUnwrap();
    await clock.advance(5000);
    hold(900_000).pin();
    expect(evictedBodies).toBe(1);
    expect(body.bytes).toHaveLength(0);
    await send('content-length: 500000', Buffer.alloc(500_000, 'x'));
    await waitUntil(() => results.length === 2);
    const pinned = results[1]!._unsafeUnwrap();
    pinned.pin();
    await clock.advance(5000);
    const other = budget.open({kind: 'body', owner: 'b', onEvicted: () => undefined});
    expect(other.resize(500_000)).toBe(false);
    expect(pinned.bytes).toHaveLength(500_000);
  });
});

describe('the lowest rate', () => {
  // Guards against uploads that trickle to keep memory and a connection.
  test('ends a body that trickles, from 10 s on', async () => {
    const socket = await send('content-length: 900000', 'x');
    for (let second = 1; second < 10; second += 1) {
      await clock.advance(1000);
      socket.write(Buffer.alloc(200, 'x'));
    }
    expect(results).toEqual([]);
    await clock.advance(1100);
    await waitUntil(() => results.length === 1);
    expect(results[0]!._unsafeUnwrapErr()).toBe('timed_out');
  });

  test('lets a slow body go on whose mean rate is sufficient, and ends it when it stops', async () => {
    const socket = await send('content-length: 900000');
    for (let second = 1; second <= 30; second += 1) {
      const size = 1 + second * 300;
      socket.write(Buffer.alloc(second === 1 ? 301 : 300, 'x'));
      await waitUntil(() => budget.usedBytes >= size);
      await clock.advance(1000);
    }
    expect(results).toEqual([]);
    await clock.advance(8000);
    await waitUntil(() => results.length === 1);
    expect(results[0]!._unsafeUnwrapErr()).toBe('timed_out');
  });
});
