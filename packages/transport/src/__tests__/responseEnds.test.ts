import {once} from 'node:events';
import {type AddressInfo, createServer, type Server, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {afterEach, describe, expect, test} from 'vitest';
import {createEndpointClient} from '../endpointClient.js';
import {createHttpClient} from '../httpClient.js';

const UPLOAD = Buffer.alloc(4_000_000, 'u');

const servers: Server[] = [];

afterEach(() => {
  for (const server of servers.splice(0)) server.close();
});

/** Starts a server that responds once it has received the head of a request. */
async function startServer(respond: (socket: Socket) => Promise<void>): Promise<string> {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      void respond(socket);
    });
  }).listen(0, '127.0.0.1');
  servers.push(server);
  await once(server, 'listening');
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

interface Received {
  readonly text: string;
  readonly isComplete: boolean;
}

/** Sends a request with a body; resolves to undefined if there was no response. */
type Client = (address: string, body: Buffer) => Promise<Received | undefined>;

const requestViaEndpointClient: Client = async (address, body) => {
  using client = createEndpointClient();
  const outcome = await client.send({
    address,
    method: 'POST',
    target: '/a',
    headers: () => ['host', 'a.example', 'content-length', String(body.length)],
    body,
    signal: new AbortController().signal,
    connectTimeoutMs: 5000,
    allowsConnectionReuse: false,
  });
  if (outcome.kind !== 'answered') return undefined;
  const {response} = outcome;
  let text = '';
  try {
    for await (const chunk of response.body) text += String(chunk);
  } catch {
    return {text, isComplete: false};
  }
  return {text, isComplete: response.isComplete()};
};

const requestViaHttpClient: Client = async (address, body) => {
  using client = createHttpClient();
  const response = await client.fetch({address, method: 'POST', path: '/a', body, timeoutMs: 5000});
  return response.match(
    (received) => ({text: received.body.toString(), isComplete: true}),
    ({mayHaveBeenSent}) => (mayHaveBeenSent ? {text: '', isComplete: false} : undefined),
  );
};

const framings = [
  ['without a length', '', 'abcdef'],
  ['with a length', 'content-length: 12\r\n', 'abcdef'],
  ['in chunks', 'transfer-encoding: chunked\r\n', '6\r\nabcdef\r\n'],
] as const;

// Guards against a part of a response that is taken for the whole, since Node.js marks a response without a length as
// complete when its connection is reset.
describe.each([
  ['the endpoint client', requestViaEndpointClient],
  ['the client of other processes', requestViaHttpClient],
])('a response to %s', (_client, request) => {
  describe.each([
    ['while its upload is written', UPLOAD],
    ['without an upload', Buffer.alloc(0)],
  ])('%s', (_upload, body) => {
    describe.each([
      ['is not read', false],
      ['is read', true],
    ])('that %s', (_read, readsUpload) => {
      test.each(
        framings.flatMap(([name, header, part]) =>
          [0, 5].map((gapMs) => [name, gapMs, header, part] as const),
        ),
      )(
        '%s, in pieces %d ms apart, is incomplete when it is reset',
        async (_name, gapMs, header, part) => {
          const address = await startServer(async (socket) => {
            if (readsUpload) socket.resume();
            else socket.pause();
            const head = `HTTP/1.1 200 OK\r\n${header}\r\n`;
            if (gapMs === 0) socket.write(head + part);
            else {
              socket.write(head);
              await delay(gapMs);
              socket.write(part);
              await delay(gapMs);
            }
            socket.resetAndDestroy();
          });
          expect((await request(address, body))?.isComplete ?? false).toBe(false);
        },
      );
    });
  });

  test('without a length is complete when the connection ends, also before the upload', async () => {
    const address = await startServer((socket) => {
      socket.resume();
      socket.end('HTTP/1.1 200 OK\r\n\r\nabcdef');
      return Promise.resolve();
    });
    expect(await request(address, Buffer.alloc(0))).toEqual({text: 'abcdef', isComplete: true});
  });

  // Guards against statuses that Node.js reads from a server and throws on when they are sent to a client.
  test.each(['000', '099', '600', '999'])('with the status %s is none', async (status) => {
    const address = await startServer((socket) => {
      socket.end(`HTTP/1.1 ${status} X\r\ncontent-length: 6\r\n\r\nabcdef`);
      return Promise.resolve();
    });
    expect((await request(address, Buffer.alloc(0)))?.isComplete ?? false).toBe(false);
  });
});
