import {setTimeout as delay} from 'node:timers/promises';
import {describe, expect, test, vi} from 'vitest';
import {createBudget, echo, echoes, get, open, start} from '../__fixtures__/guardedServer.js';

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
