import {once} from 'node:events';
import {type AddressInfo, createServer, type Server, type Socket} from 'node:net';
import {afterEach, describe, expect, test} from 'vitest';
import {createEndpointClient, type EndpointRequest, type SendOutcome} from '../endpointClient.js';

/** Writes the raw response; requests are numbered from 1 across all connections. */
type Responder = (socket: Socket, requestNumber: number) => void;

const servers: Server[] = [];
const sockets = new Set<Socket>();

async function startEndpoint(respond: Responder): Promise<string> {
  let count = 0;
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('data', () => {
      count += 1;
      respond(socket, count);
    });
  });
  servers.push(server);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function requestTo(address: string, overrides: Partial<EndpointRequest> = {}): EndpointRequest {
  return {
    address,
    method: 'GET',
    target: '/a',
    headers: () => ['host', 'a.example'],
    body: undefined,
    signal: new AbortController().signal,
    connectTimeoutMs: 5000,
    allowsConnectionReuse: true,
    ...overrides,
  };
}

async function readBody(outcome: SendOutcome): Promise<{text: string; isComplete: boolean}> {
  if (outcome.kind !== 'answered') throw new Error(`no response: ${outcome.reason}`);
  let text = '';
  try {
    for await (const chunk of outcome.response.body) text += String(chunk);
  } catch {
    text += '!';
  }
  return {text, isComplete: outcome.response.isComplete()};
}

afterEach(() => {
  for (const socket of sockets) socket.destroy();
  for (const server of servers.splice(0)) server.close();
  sockets.clear();
});

describe('outcome of a send', () => {
  test('is notSent when nothing listens', async () => {
    const address = await startEndpoint(() => undefined);
    servers.splice(0)[0]?.close();
    const outcome = await createEndpointClient().send(requestTo(address));
    expect(outcome.kind).toBe('notSent');
  });

  test('is notSent when the signal is already aborted', async () => {
    const address = await startEndpoint(() => undefined);
    const outcome = await createEndpointClient().send(
      requestTo(address, {signal: AbortSignal.abort()}),
    );
    expect(outcome.kind).toBe('notSent');
  });

  test('is unknown when the connection closes without a response', async () => {
    const address = await startEndpoint((socket) => socket.destroy());
    const outcome = await createEndpointClient().send(requestTo(address));
    expect(outcome.kind).toBe('unknown');
  });

  test('is unknown when the response is not valid HTTP', async () => {
    const address = await startEndpoint((socket) => socket.write('what is this\r\n\r\n'));
    const outcome = await createEndpointClient().send(requestTo(address));
    expect(outcome.kind).toBe('unknown');
  });

  // Guards against heads that Node.js reads from an endpoint and throws on when they are sent to a client.
  test('is unknown when the reason of the response has a control byte', async () => {
    const address = await startEndpoint((socket) =>
      socket.write('HTTP/1.1 400 Bad\x01Request\r\ncontent-length: 0\r\n\r\n'),
    );
    const outcome = await createEndpointClient().send(requestTo(address));
    expect(outcome).toEqual({
      kind: 'unknown',
      reason: 'invalid response: the reason has an invalid character',
    });
    const [socket] = sockets;
    if (socket?.closed === false) await once(socket, 'close');
  });
});

describe('the end of a response', () => {
  test('without a length is complete when the connection closes', async () => {
    const address = await startEndpoint((socket) => socket.end('HTTP/1.1 200 OK\r\n\r\nabc'));
    const outcome = await createEndpointClient().send(requestTo(address));
    expect(await readBody(outcome)).toEqual({text: 'abc', isComplete: true});
  });

  test('without a length is incomplete when the connection is reset', async () => {
    const address = await startEndpoint((socket) => {
      socket.write('HTTP/1.1 200 OK\r\n\r\nabc');
    });
    const outcome = await createEndpointClient().send(requestTo(address));
    for (const socket of sockets) socket.resetAndDestroy();
    expect((await readBody(outcome)).isComplete).toBe(false);
  });

  test('without a length is incomplete when the reset arrives together with the last bytes', async () => {
    const address = await startEndpoint((socket) => {
      socket.write('HTTP/1.1 200 OK\r\n\r\nabc');
      socket.resetAndDestroy();
    });
    const outcome = await createEndpointClient().send(requestTo(address));
    expect((await readBody(outcome)).isComplete).toBe(false);
  });

  test('without a length on a reused connection is incomplete when the connection is reset', async () => {
    const address = await startEndpoint((socket, number) => {
      if (number === 1) {
        socket.write('HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n1');
        return;
      }
      socket.write('HTTP/1.1 200 OK\r\n\r\nabc');
      socket.resetAndDestroy();
    });
    const client = createEndpointClient();
    await readBody(await client.send(requestTo(address)));
    const outcome = await client.send(requestTo(address));
    expect((await readBody(outcome)).isComplete).toBe(false);
    expect(client.openedConnectionCount()).toBe(1);
  });

  test('with a length is incomplete when bytes are missing', async () => {
    const address = await startEndpoint((socket) =>
      socket.end('HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nabc'),
    );
    const outcome = await createEndpointClient().send(requestTo(address));
    expect((await readBody(outcome)).isComplete).toBe(false);
  });

  test('is complete when extra bytes follow it, which are dropped', async () => {
    const address = await startEndpoint((socket, number) => {
      const extra = number === 1 ? 'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nextra' : '';
      socket.write(`HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n${number}${extra}`);
    });
    const client = createEndpointClient();
    expect(await readBody(await client.send(requestTo(address)))).toEqual({
      text: '1',
      isComplete: true,
    });
    expect((await readBody(await client.send(requestTo(address)))).text).toBe('2');
  });
});

describe('idle keep-alive connections', () => {
  test('are reused by the next request', async () => {
    const address = await startEndpoint((socket, number) => {
      socket.write(`HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n${number}`);
    });
    const client = createEndpointClient();
    await readBody(await client.send(requestTo(address)));
    expect((await readBody(await client.send(requestTo(address)))).text).toBe('2');
    expect(client.openedConnectionCount()).toBe(1);
  });

  // Guards against the end of the process by an idle timeout that no timer can hold.
  test.each(['5'.repeat(400), '5'.repeat(306), '99999999999', '0', '-5', '1e999', ''])(
    'outlive a keep-alive timeout of %j seconds, and later requests are answered',
    async (timeout) => {
      const address = await startEndpoint((socket, number) => {
        const head = `HTTP/1.1 200 OK\r\nkeep-alive: timeout=${timeout}\r\ncontent-length: 1`;
        socket.write(`${head}\r\n\r\n${number}`);
      });
      using client = createEndpointClient();
      for (const text of ['1', '2'])
        expect(await readBody(await client.send(requestTo(address)))).toEqual({
          text,
          isComplete: true,
        });
    },
  );

  test('are closed when unsolicited data arrives', async () => {
    const address = await startEndpoint((socket, number) => {
      socket.write(`HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n${number}`);
    });
    const client = createEndpointClient();
    await readBody(await client.send(requestTo(address)));
    const [socket] = sockets;
    socket!.write('HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nextra');
    await new Promise((resolve) => socket!.once('close', resolve));
    expect((await readBody(await client.send(requestTo(address)))).text).toBe('2');
    expect(client.openedConnectionCount()).toBe(2);
  });

  test('are not used by a request that does not allow connection reuse', async () => {
    const address = await startEndpoint((socket, number) => {
      socket.write(`HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n${number}`);
    });
    const client = createEndpointClient();
    await readBody(await client.send(requestTo(address)));
    await readBody(await client.send(requestTo(address, {allowsConnectionReuse: false})));
    expect(client.openedConnectionCount()).toBe(2);
  });
});
