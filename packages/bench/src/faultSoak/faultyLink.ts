/** A loopback TCP proxy that delays, drops or resets the connections through it. */
import {connect, createServer, type Server, type Socket} from 'node:net';
import {systemClock} from '@marigoldfold/runtime';
import {splitAddress} from '@marigoldfold/transport';

/** How a link treats the data that it relays. */
export type LinkMode =
  | {readonly kind: 'pass'}
  /** Delays both directions by `ms` milliseconds. */
  | {readonly kind: 'delay'; readonly ms: number}
  /** Drops data in both directions without closing the connection. */
  | {readonly kind: 'silent'}
  /** Relays data to the target and drops data from it. */
  | {readonly kind: 'noAnswers'}
  /** Resets open connections once and new ones as they arrive. */
  | {readonly kind: 'reset'};

/** A proxy to one target address, which is resolved for each connection. */
export class FaultyLink implements Disposable {
  readonly #server: Server;
  readonly #target: () => string;
  readonly #sockets = new Set<Socket>();
  #mode: LinkMode = {kind: 'pass'};
  /** Time of the last change of the mode, other than from `pass` to `pass`. */
  disruptedAtMs = Number.NEGATIVE_INFINITY;
  address = '';

  constructor(target: () => string) {
    this.#target = target;
    this.#server = createServer((socket) => {
      this.#accept(socket);
    });
  }

  /** Listens on a free port and resolves to its own address. */
  async listen(): Promise<string> {
    await new Promise<void>((resolve) => this.#server.listen(0, '127.0.0.1', resolve));
    const address = this.#server.address();
    this.address = typeof address === 'object' ? `127.0.0.1:${address?.port}` : '';
    return this.address;
  }

  /** Sets how the link treats data on open and new connections. */
  set mode(mode: LinkMode) {
    if (this.#mode.kind !== 'pass' || mode.kind !== 'pass') this.disruptedAtMs = systemClock.now();
    this.#mode = mode;
    if (mode.kind !== 'reset') return;
    for (const socket of this.#sockets) socket.resetAndDestroy();
  }

  [Symbol.dispose](): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #accept(clientSocket: Socket): void {
    if (this.#mode.kind === 'reset') {
      clientSocket.on('error', () => undefined);
      clientSocket.resetAndDestroy();
      return;
    }
    const [host, port] = splitAddress(this.#target());
    const targetSocket = connect({host, port});
    this.#relay(clientSocket, targetSocket, 'there');
    this.#relay(targetSocket, clientSocket, 'back');
  }

  #relay(from: Socket, to: Socket, direction: 'there' | 'back'): void {
    this.#sockets.add(from);
    // Once data was dropped, the connection relays nothing more, since a byte stream must have no gaps.
    let hasLostData = false;
    // Later data is delivered after data that is still delayed.
    let nextDeliveryAtMs = Number.NEGATIVE_INFINITY;
    let pendingDeliveries = 0;
    const deliver = (action: () => void) => {
      const mode = this.#mode;
      if (mode.kind === 'silent' || (mode.kind === 'noAnswers' && direction === 'back')) {
        hasLostData = true;
      }
      if (hasLostData) return;
      const now = systemClock.now();
      nextDeliveryAtMs = Math.max(nextDeliveryAtMs, now + (mode.kind === 'delay' ? mode.ms : 0));
      if (nextDeliveryAtMs <= now && pendingDeliveries === 0) {
        action();
        return;
      }
      pendingDeliveries += 1;
      setTimeout(() => {
        pendingDeliveries -= 1;
        action();
      }, nextDeliveryAtMs - now);
    };
    from.on('data', (data) => {
      deliver(() => to.write(data));
    });
    from.on('end', () => {
      deliver(() => to.end());
    });
    from.on('error', () => {
      to.destroy();
    });
    from.on('close', () => {
      this.#sockets.delete(from);
      deliver(() => to.destroy());
    });
  }
}
