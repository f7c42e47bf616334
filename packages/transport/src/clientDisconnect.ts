/** Tells requests when their client closes the connection. */
import type {IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';

/** One connection and who is told of its end. */
class DisconnectWatcher {
  readonly #actions = new Set<() => void>();
  #isDisconnected: boolean;

  constructor(socket: Socket) {
    this.#isDisconnected = socket.destroyed || socket.readableEnded;
    const onDisconnect = () => {
      this.#isDisconnected = true;
      for (const action of this.#actions) action();
      this.#actions.clear();
    };
    // An answer's own close comes turns later, and for one that waits behind another never.
    socket.once('end', onDisconnect);
    socket.once('close', onDisconnect);
  }

  /** Whether the client has closed the connection. */
  get isDisconnected(): boolean {
    return this.#isDisconnected;
  }

  add(action: () => void): Disposable {
    if (this.#isDisconnected) action();
    else this.#actions.add(action);
    return {
      [Symbol.dispose]: () => {
        this.#actions.delete(action);
      },
    };
  }
}

const watchers = new WeakMap<Socket, DisconnectWatcher>();

/** Calls back when the client of a request closes its connection, at once if it has done so. */
export function onClientDisconnect(request: IncomingMessage, action: () => void): Disposable {
  return watcherOf(request).add(action);
}

/** Whether the client of a request has closed the connection. */
export function isClientDisconnected(request: IncomingMessage): boolean {
  return watcherOf(request).isDisconnected;
}

function watcherOf({socket}: IncomingMessage): DisconnectWatcher {
  let watcher = watchers.get(socket);
  if (watcher === undefined) {
    watcher = new DisconnectWatcher(socket);
    watchers.set(socket, watcher);
  }
  return watcher;
}
