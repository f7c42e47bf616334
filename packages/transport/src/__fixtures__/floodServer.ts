/** A server that answers with bytes without end, until the connection is closed. */
import {type AddressInfo, createServer, type Socket} from 'node:net';

/** A listening server. */
export interface FloodServer extends Disposable {
  /** `host:port`. */
  readonly address: string;
  /** Connections that have not been closed. */
  readonly openCount: () => number;
}

/** Least number of bytes that are written at once. */
const CHUNK_BYTES = 65_536;

/** Answers each request with a beginning, then with the same bytes again and again. */
export async function startFloodServer(prefix: string, repeated: string): Promise<FloodServer> {
  const sockets = new Set<Socket>();
  const chunk = repeated.repeat(Math.ceil(CHUNK_BYTES / repeated.length));
  const server = createServer((socket) => {
    sockets.add(socket);
    const writeUntilFull = () => {
      while (!socket.destroyed && socket.write(chunk));
    };
    socket.once('data', () => {
      socket.write(prefix);
      writeUntilFull();
    });
    socket.on('drain', writeUntilFull);
    socket.on('error', () => undefined);
    socket.on('close', () => sockets.delete(socket));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    openCount: () => sockets.size,
    [Symbol.dispose]() {
      for (const socket of sockets) socket.destroy();
      server.close();
    },
  };
}

const OK = 'HTTP/1.1 200 OK\r\n';
const MIB = 1_048_576;

/** Heads that never end, as a beginning and what follows again and again. */
export const endlessHeads: readonly (readonly [name: string, beginning: string, again: string])[] =
  [
    ['no HTTP at all', '', '\u0000\u0007garbage'],
    ['header lines', OK, 'x-a: b\r\n'],
    ['one header', `${OK}x-a: `, 'bbbb'],
    ['interim answers', '', 'HTTP/1.1 103 Early Hints\r\nx-a: b\r\n\r\n'],
    ['leaves to go on', '', 'HTTP/1.1 100 Continue\r\n\r\n'],
  ];

/** Bodies that never end. */
export const endlessBodies: readonly (readonly [name: string, beginning: string, again: string])[] =
  [
    ['a body until the close', `${OK}\r\n`, 'zzzz'],
    [
      'a body in chunks',
      `${OK}transfer-encoding: chunked\r\n\r\n`,
      `1000\r\n${'z'.repeat(4096)}\r\n`,
    ],
    ['the name of a chunk', `${OK}transfer-encoding: chunked\r\n\r\n4;`, 'zzzz'],
    ['one event', `${OK}content-type: text/event-stream\r\n\r\ndata: `, 'zzzz'],
    ['comments in place of events', `${OK}content-type: text/event-stream\r\n\r\n`, ': zzzz\n'],
    ['a body of a large length', `${OK}content-length: ${MIB * MIB}\r\n\r\n`, 'zzzz'],
  ];
