/** A loopback TCP proxy that delays, drops or resets the connections through it. */
import {connect, createServer, type Server, type Socket} from 'node:net';
import {systemClock} from '@marigoldfold/runtime';
import {splitAddress} from '@marigoldfold/transport';
import type {AcceptQueue, InputDelay} from './inputDelay.js';

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
  readonly #acceptQueue: AcceptQueue | undefined;
  /** Longest waits of connections in the accept queue, in milliseconds, by the local port of the relayed connection. */
  readonly #waitsMs = new Map<number | undefined, number>();

  /** Measures the accept queue if `inputDelay` is given. */
  constructor(target: () => string, inputDelay?: InputDelay) {
    this.#target = target;
    this.#server = createServer((socket) => {
      this.#accept(socket);
    });
    this.#acceptQueue = inputDelay?.watch(this.#server);
  }

  /**
   * Longest time in milliseconds for which the relayed connection from a local port may have waited to be accepted.
   * Only its first request did, so the second call returns 0.
   */
  takeWaitMs(port: number | undefined): number {
    const waitMs = this.#waitsMs.get(port) ?? 0;
    this.#waitsMs.delete(port);
    return waitMs;
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
    const waitMs = this.#acceptQueue?.waitMs ?? 0;
    const targetSocket = connect({host, port});
    targetSocket.once('connect', () => {
      const {localPort} = targetSocket;
      this.#waitsMs.set(localPort, waitMs);
      targetSocket.once('close', () => this.#waitsMs.delete(localPort));
    });
    this.#relay(clientSocket, targetSocket, 'there');
    this.#relay(targetSocket, clientSocket, 'back');
  }

  #relay(from: Socket, to: Socket, direction: 'there' | 'back'): void {
    this.#sockets.add(from);
    // Once data was dropped, the connection relays nothing more, since a byte stream must have no gaps.
    let hasLostData = false;
    const queue = new DeliveryQueue();
    const deliver = (action: () => void) => {
      const mode = this.#mode;
      if (mode.kind === 'silent' || (mode.kind === 'noAnswers' && direction === 'back')) {
        hasLostData = true;
      }
      if (!hasLostData) queue.add(mode.kind === 'delay' ? mode.ms : 0, action);
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

/** Runs delayed deliveries in order; timers of different durations that are due together do not keep theirs. */
class DeliveryQueue {
  readonly #deliveries: {readonly dueAtMs: number; readonly action: () => void}[] = [];
  #isRunning = false;

  /** Runs the action after `delayMs` and after all earlier actions, at once if none is delayed. */
  add(delayMs: number, action: () => void): void {
    this.#deliveries.push({dueAtMs: systemClock.now() + delayMs, action});
    if (!this.#isRunning) this.#runDue();
  }

  #runDue(): void {
    this.#isRunning = true;
    for (let next = this.#deliveries[0]; next !== undefined; next = this.#deliveries[0]) {
      const waitMs = next.dueAtMs - systemClock.now();
      if (waitMs > 0) {
        setTimeout(() => {
          this.#runDue();
        }, waitMs);
        return;
      }
      this.#deliveries.shift();
      next.action();
    }
    this.#isRunning = false;
  }
}
