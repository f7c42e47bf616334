/** A plain TCP connection, for requests that HTTP libraries refuse to send. */
import {connect, type Socket} from 'node:net';
import {splitAddress} from '@marigoldfold/transport';

/** A TCP connection that stores all text it receives. */
export interface RawConnection {
  readonly socket: Socket;
  readonly received: () => string;
  /** Resolves to all received text when the connection has closed. */
  readonly closed: Promise<string>;
  /** Resolves when the received text matches; rejects if the connection closes first. */
  waitForText(pattern: RegExp): Promise<string>;
}

/** Opens a connection to `host:port`. */
export async function openRawConnection(address: string): Promise<RawConnection> {
  const [host, port] = splitAddress(address);
  const socket = connect(port, host);
  let text = '';
  const waiters = new Set<() => void>();
  socket.on('data', (part: Buffer) => {
    text += part.toString();
    for (const wake of waiters) wake();
  });
  socket.on('error', () => undefined);
  const closed = new Promise<string>((resolve) => {
    socket.once('close', () => {
      resolve(text);
      for (const wake of waiters) wake();
    });
  });
  await new Promise<void>((resolve) => {
    socket.once('connect', () => {
      resolve();
    });
  });
  return {
    socket,
    received: () => text,
    closed,
    async waitForText(pattern) {
      while (!pattern.test(text)) {
        if (socket.destroyed)
          throw new Error(`connection closed before it received ${pattern.source}: ${text}`);
        await new Promise<void>((resolve) => {
          const wake = () => {
            waiters.delete(wake);
            resolve();
          };
          waiters.add(wake);
        });
      }
      return text;
    },
  };
}

/** Parses the JSON body of a received HTTP response. */
export function parseBody(received: string): unknown {
  return JSON.parse(received.slice(received.indexOf('\r\n\r\n') + 4)) as unknown;
}
