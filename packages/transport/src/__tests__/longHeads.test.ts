import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {type AddressInfo, createServer as createTcpServer} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {DisposableStore, steadyClock} from '@marigoldfold/runtime';
import {afterEach, beforeEach, describe, expect, test, vi} from 'vitest';
import {open} from '../__fixtures__/guardedServer.js';
import {CompactRequest, compactRequestClass} from '../compactRequest.js';
import {type ClosedConnection, ConnectionGuard} from '../connectionGuard.js';
import {createEndpointClient, type EndpointRequest} from '../endpointClient.js';
import {keepAllLines} from '../headMemory.js';
import {createHttpClient} from '../httpClient.js';
import {listen, serverLimitsSchema} from '../httpServer.js';
import {budgetOptions, MemoryBudget} from '../memoryBudget.js';

const LINES = 2600;
/** Alternating names and values. */
const longLines = Array.from({length: LINES}, (_, line) => ['x', String(line % 10)]).flat();
const longText = Array.from({length: LINES}, (_, line) => `x:${line % 10}\r\n`).join('');
const TIMEOUT_MS = 500;

let disposables: DisposableStore;

beforeEach(() => {
  disposables = new DisposableStore();
});

afterEach(() => {
  disposables[Symbol.dispose]();
});

interface Handled {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

async function startServer(budget?: MemoryBudget) {
  const server = createServer({
    IncomingMessage: compactRequestClass(['x-id']),
    headersTimeout: TIMEOUT_MS,
    connectionsCheckingInterval: 50,
  });
  keepAllLines(server);
  const handled: Handled[] = [];
  const closed: ClosedConnection[] = [];
  new ConnectionGuard(server, {
    budget,
    onRequest: (request, response) => handled.push({request, response}),
    onClientError: (error, socket) => socket.end(`HTTP/1.1 400 ${error.code ?? ''}\r\n\r\n`),
    onConnectionClosed: (connection) => closed.push(connection),
  });
  disposables.add({
    [Symbol.dispose]: () => {
      server.closeAllConnections();
      server.close();
    },
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return {port: (server.address() as AddressInfo).port, handled, closed};
}

function createBudget(maxBytes: number): MemoryBudget {
  return new MemoryBudget(budgetOptions(steadyClock, maxBytes));
}

describe('a request with a long head', () => {
  const head = `GET /a HTTP/1.1\r\nhost: a\r\n${longText}X-Id: 7\r\n\r\n`;

  // Guards against lines that Node.js drops, of which those came last that say what the request is.
  test.each([1, 7, 1000, 16_384])('arrives whole in pieces of %i bytes', async (pieceBytes) => {
    const {port, handled} = await startServer();
    const client = await open(port);
    const bytes = Buffer.from(head);
    for (let start = 0; start < bytes.length; start += pieceBytes) {
      client.socket.write(bytes.subarray(start, start + pieceBytes));
      if (start % 1000 === 0) await delay(0);
    }
    await vi.waitFor(() => {
      expect(handled).toHaveLength(1);
    });
    const {request} = handled[0]!;
    expect(request.rawHeaders).toEqual(['host', 'a', ...longLines, 'X-Id', '7']);
    expect(request.headers).toEqual({host: 'a', 'x-id': '7'});
  });

  // Guards against heads that are counted as less than they occupy.
  test('is counted while it arrives and while it is handled', async () => {
    const budget = createBudget(16_777_216);
    const {port, handled} = await startServer(budget);
    const client = await open(port);
    const idleBytes = budget.usedBytes;
    client.socket.write(head.slice(0, 10_000));
    await vi.waitFor(() => {
      expect(budget.bytesOf('readAhead')).toBeGreaterThanOrEqual(9999);
    });
    client.socket.write(head.slice(10_000));
    await vi.waitFor(() => {
      expect(handled).toHaveLength(1);
    });
    const {request, response} = handled[0]!;
    expect(request).toBeInstanceOf(CompactRequest);
    expect(budget.bytesOf('readAhead')).toBe(0);
    expect(budget.bytesOf('head')).toBeGreaterThanOrEqual(2 * 2 * LINES);
    response.end();
    await vi.waitFor(() => {
      expect(budget.usedBytes).toBeLessThanOrEqual(idleBytes);
    });
  });

  // Guards against connections that are closed without an answer, which promises the client nothing.
  test.each([
    ['has arrived', head],
    ['arrives', head.slice(0, -10)],
  ])('that finds no room when it %s gets 503 with retry-after', async (_when, sent) => {
    const budget = createBudget(13_000);
    const {port, handled, closed} = await startServer(budget);
    const client = await open(port);
    client.socket.write(sent);
    await vi.waitFor(() => {
      expect(client.received).toMatch(/^HTTP\/1\.1 503 .*\r\nretry-after: 1\r\n[^]*memory/s);
    });
    client.socket.end();
    await vi.waitFor(() => {
      expect(client.isClosed).toBe(true);
    });
    expect(handled).toEqual([]);
    expect(closed.map(({rule}) => rule)).toEqual(['memory']);
    expect(budget.usedBytes).toBe(0);
  });

  // Guards against trailers that are held without being counted: Node.js keeps them until the body ends.
  test('and trailers without an end is refused when there is no room', async () => {
    const {port, handled} = await startServer(createBudget(200_000));
    const client = await open(port);
    const body = 'transfer-encoding: chunked\r\n\r\n3\r\n\n0\n\r\n0\r\n';
    client.socket.write(`POST /a HTTP/1.1\r\nhost: a\r\n${body}${'a:\r\n'.repeat(10_000)}`);
    await vi.waitFor(() => {
      expect(handled).toHaveLength(1);
    });
    handled[0]!.request.resume();
    await vi.waitFor(() => {
      expect(client.received).toMatch(/^HTTP\/1\.1 503 /);
    });
  });

  // Guards against a size that Node.js counts without the ends of lines, and a refusal that a reset takes from the client.
  test('over the largest size gets 431', async () => {
    const {port, handled, closed} = await startServer();
    const client = await open(port);
    client.socket.write(`GET /a HTTP/1.1\r\nhost: a\r\n${'a:\r\n'.repeat(40_000)}`);
    await vi.waitFor(() => {
      expect(client.received).toMatch(/^HTTP\/1\.1 431 /);
    });
    expect(handled).toEqual([]);
    expect(closed.map(({rule}) => rule)).toEqual(['head_too_large']);
  });

  // Guards against heads that are collected without the time limit of `http.Server`.
  test('that does not arrive in time is refused', async () => {
    const {port, handled} = await startServer();
    const client = await open(port);
    client.socket.write(head.slice(0, 5000));
    await vi.waitFor(
      () => {
        expect(client.received).toMatch(/^HTTP\/1\.1 400 ERR_HTTP_REQUEST_TIMEOUT/);
      },
      {timeout: 4000},
    );
    expect(handled).toEqual([]);
  });
});

// Guards against the same cause in the servers of the operators' API and of the other processes, and against repeated
// headers of which Node.js keeps the first one only.
test('a server of the standalone product has all lines of a long head', async () => {
  const requests: IncomingMessage[] = [];
  const started = await listen({
    host: '127.0.0.1',
    port: 0,
    limits: serverLimitsSchema.parse({}),
    handle: (request, response) => {
      requests.push(request);
      response.end('well');
      return Promise.resolve();
    },
    onUnhandledError: () => undefined,
  });
  const server = disposables.add(started._unsafeUnwrap());
  const client = await open(server.port);
  client.socket.write(
    `GET / HTTP/1.1\r\nhost: a\r\n${longText}Age: 1\r\nage: 2\r\nX-Id: 7\r\n\r\n`,
  );
  await vi.waitFor(() => {
    expect(client.received).toMatch(/^HTTP\/1\.1 200 /);
  });
  expect(requests[0]!.headers).toMatchObject({age: '1, 2', 'x-id': '7'});
  expect(requests[0]!.rawHeaders).toHaveLength(2 * (LINES + 4));
});

describe('a response with a long head', () => {
  /** A server that answers each request with these pieces, one in each turn. */
  async function startEndpoint(pieces: readonly string[]): Promise<string> {
    const server = createTcpServer({noDelay: true}, (socket) => {
      socket.on('error', () => undefined);
      socket.once('data', () => {
        void (async () => {
          for (const piece of pieces) {
            socket.write(piece);
            await delay(1);
          }
        })();
      });
    });
    disposables.add({[Symbol.dispose]: () => void server.close()});
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
  }

  const request: Omit<EndpointRequest, 'address' | 'signal'> = {
    method: 'GET',
    target: '/',
    headers: () => ['host', 'a'],
    body: undefined,
    connectTimeoutMs: 1000,
    allowsConnectionReuse: true,
  };
  const head = `HTTP/1.1 200 OK\r\n${longText}X-Id: 7\r\ncontent-length: 4\r\n\r\n`;

  // Guards against lines that Node.js drops: an answer without its signature is none.
  test.each([
    ['at once', [`${head}well`]],
    ['in parts', [head.slice(0, 100), head.slice(100, 9000), head.slice(9000, -1), '\nwe', 'll']],
    ['behind an interim response', ['HTTP/1.1 100 Continue\r\n\r\n', head, 'well']],
  ])('that arrives %s is whole', async (_how, pieces) => {
    const address = await startEndpoint(pieces);
    const client = disposables.add(createEndpointClient(['x-id']));
    const {signal} = new AbortController();
    const outcome = await client.send({...request, address, signal});
    if (outcome.kind !== 'answered') throw new Error(outcome.kind);
    const {head: received, body, isComplete} = outcome.response;
    expect(received.lines.toArray()).toEqual([...longLines, 'X-Id', '7', 'content-length', '4']);
    expect(received.headers).toEqual({'x-id': '7', 'content-length': '4'});
    let text = '';
    for await (const chunk of body) text += String(chunk);
    expect(text).toBe('well');
    expect(isComplete()).toBe(true);
  });

  // Guards against an endpoint that fills the memory with a head without an end.
  test('over the largest size is none', async () => {
    const address = await startEndpoint([`HTTP/1.1 200 OK\r\n${'a:\r\n'.repeat(40_000)}`]);
    const client = disposables.add(createEndpointClient());
    const {signal} = new AbortController();
    const outcome = await client.send({...request, address, signal});
    expect(outcome).toEqual({kind: 'unknown', reason: 'response head over 65536 bytes'});
  });

  // Guards against the same cause in the client of the store and of the other processes.
  test('is whole in the client of other processes', async () => {
    const address = await startEndpoint([`${head}well`]);
    const client = disposables.add(createHttpClient());
    const result = await client.fetch({address, method: 'GET', path: '/'});
    expect(result._unsafeUnwrap().headers['x-id']).toBe('7');
  });
});
