/** A server that sends an endless response until the connection is closed. */
import {type AddressInfo, createServer, type Socket} from 'node:net';

/** A listening server; disposing of it closes its connections. */
export interface FloodServer extends Disposable {
  /** `host:port`. */
  readonly address: string;
  /** Number of open connections. */
  readonly openCount: () => number;
}

/** Minimum size of one write. */
const CHUNK_BYTES = 65_536;

/** Responds to each request with `prefix`, followed by endless repetitions of `repeated`. */
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

/** Endless response headers, each as a prefix and a repeated part. */
export const endlessHeads: readonly (readonly [name: string, prefix: string, repeated: string])[] =
  [
    ['data that is not HTTP', '', '\u0000\u0007garbage'],
    ['header lines', OK, 'x-a: b\r\n'],
    ['one header value', `${OK}x-a: `, 'bbbb'],
    ['interim responses', '', 'HTTP/1.1 103 Early Hints\r\nx-a: b\r\n\r\n'],
    ['100 Continue responses', '', 'HTTP/1.1 100 Continue\r\n\r\n'],
  ];

/** Endless response bodies, each as a prefix and a repeated part. */
export const endlessBodies: readonly (readonly [name: string, prefix: string, repeated: string])[] =
  [
    ['a body without a length', `${OK}\r\n`, 'zzzz'],
    [
      'a chunked body',
      `${OK}transfer-encoding: chunked\r\n\r\n`,
      `1000\r\n${'z'.repeat(4096)}\r\n`,
    ],
    ['a chunk extension', `${OK}transfer-encoding: chunked\r\n\r\n4;`, 'zzzz'],
    ['one event', `${OK}content-type: text/event-stream\r\n\r\ndata: `, 'zzzz'],
    ['event stream comments', `${OK}content-type: text/event-stream\r\n\r\n`, ': zzzz\n'],
    ['a body with a huge content-length', `${OK}content-length: ${MIB * MIB}\r\n\r\n`, 'zzzz'],
  ];
