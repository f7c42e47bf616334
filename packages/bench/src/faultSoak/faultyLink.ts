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
  harmedAtMs = Number.NEGATIVE_INFINITY;
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
    if (this.#mode.kind !== 'pass' || mode.kind !== 'pass') this.harmedAtMs = systemClock.now();
    this.#mode = mode;
    if (mode.kind !== 'reset') return;
    for (const socket of this.#sockets) socket.resetAndDestroy();
  }

  [Symbol.dispose](): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #accept(inner: Socket): void {
    if (this.#mode.kind === 'reset') {
      inner.on('error', () => undefined);
      inner.resetAndDestroy();
      return;
    }
    const [host, port] = splitAddress(this.#target());
    const outer = connect({host, port});
    this.#carry(inner, outer, 'there');
    this.#carry(outer, inner, 'back');
  }

  #carry(from: Socket, to: Socket, direction: 'there' | 'back'): void {
    this.#sockets.add(from);
    // A connection on which something was lost never carries anything again.
    let isLost = false;
    // What comes later never overtakes what is still delayed.
    let freeAtMs = Number.NEGATIVE_INFINITY;
    let delayed = 0;
    const pass = (action: () => void) => {
      const mode = this.#mode;
      if (mode.kind === 'silent' || (mode.kind === 'noAnswers' && direction === 'back')) {
        isLost = true;
      }
      if (isLost) return;
      const now = systemClock.now();
      freeAtMs = Math.max(freeAtMs, now + (mode.kind === 'delay' ? mode.ms : 0));
      if (freeAtMs <= now && delayed === 0) {
        action();
        return;
      }
      delayed += 1;
      setTimeout(() => {
        delayed -= 1;
        action();
      }, freeAtMs - now);
    };
    from.on('data', (data) => {
      pass(() => to.write(data));
    });
    from.on('end', () => {
      pass(() => to.end());
    });
    from.on('error', () => {
      to.destroy();
    });
    from.on('close', () => {
      this.#sockets.delete(from);
      pass(() => to.destroy());
    });
  }
}
