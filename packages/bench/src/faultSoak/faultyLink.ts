/** A loopback proxy that harms the connections through it. */
import {connect, createServer, type Server, type Socket} from 'node:net';
import {systemClock} from '@marigoldfold/runtime';
import {splitAddress} from '@marigoldfold/transport';

/** What a link does to what passes. */
export type LinkMode =
  | {readonly kind: 'pass'}
  /** Both directions come later, in milliseconds. */
  | {readonly kind: 'delay'; readonly ms: number}
  /** Nothing passes in either direction, and nothing says so. */
  | {readonly kind: 'silent'}
  /** What is sent arrives, and nothing comes back. */
  | {readonly kind: 'noAnswers'}
  /** Open connections are reset once, new ones at once. */
  | {readonly kind: 'reset'};

/** A link to one address. */
export class FaultyLink implements Disposable {
  readonly #server: Server;
  readonly #target: () => string;
  readonly #sockets = new Set<Socket>();
  #mode: LinkMode = {kind: 'pass'};
  /** When it last did anything but pass. */
  disruptedAtMs = Number.NEGATIVE_INFINITY;
  address = '';

  constructor(target: () => string) {
    this.#target = target;
    this.#server = createServer((socket) => {
      this.#accept(socket);
    });
  }

  /** Listens on a free port. */
  async listen(): Promise<string> {
    await new Promise<void>((resolve) => this.#server.listen(0, '127.0.0.1', resolve));
    const address = this.#server.address();
    this.address = typeof address === 'object' ? `127.0.0.1:${address?.port}` : '';
    return this.address;
  }

  /** Changes what happens to open and new connections. */
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
    // A connection on which something was lost never carries anything again.
    let hasLostData = false;
    // What comes later never overtakes what is still delayed.
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
