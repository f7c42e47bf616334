/** A bare TCP connection, for clients that do what HTTP libraries refuse to do. */
import {connect, type Socket} from 'node:net';
import {splitAddress} from '@marigoldfold/transport';

/** A connection that collects what it receives. */
export interface RawConnection {
  readonly socket: Socket;
  readonly received: () => string;
  /** Resolves with everything received once the other side has closed. */
  readonly closed: Promise<string>;
  /** Resolves once the received text matches. */
  until(pattern: RegExp): Promise<string>;
}

/** Opens a connection to `host:port`. */
export async function openRaw(address: string): Promise<RawConnection> {
  const [host, port] = splitAddress(address);
  const socket = connect(port, host);
  let text = '';
  const waiting = new Set<() => void>();
  socket.on('data', (part: Buffer) => {
    text += part.toString();
    for (const wake of waiting) wake();
  });
  socket.on('error', () => undefined);
  const closed = new Promise<string>((resolve) => {
    socket.once('close', () => {
      resolve(text);
      for (const wake of waiting) wake();
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
    async until(pattern) {
      while (!pattern.test(text)) {
        if (socket.destroyed) throw new Error(`closed before ${pattern.source}: ${text}`);
        await new Promise<void>((resolve) => {
          const wake = () => {
            waiting.delete(wake);
            resolve();
          };
          waiting.add(wake);
        });
      }
      return text;
    },
  };
}

/** The JSON body of a received answer. */
export function bodyOf(received: string): unknown {
  return JSON.parse(received.slice(received.indexOf('\r\n\r\n') + 4)) as unknown;
}
