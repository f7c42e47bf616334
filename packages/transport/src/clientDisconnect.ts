/** Detects when the client of a request closes its connection. */
import type {IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';

/** Runs each registered callback once when the connection closes. */
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
    // The response's `close` event comes some event loop turns later, and never for a pipelined response that
    // waits for an earlier one.
    socket.once('end', onDisconnect);
    socket.once('close', onDisconnect);
  }

  get isDisconnected(): boolean {
    return this.#isDisconnected;
  }

  /** Runs the action immediately if the connection is already closed; disposing removes the action. */
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

/** Runs the action when the client closes its connection, immediately if it is already closed. */
export function onClientDisconnect(request: IncomingMessage, action: () => void): Disposable {
  return getWatcher(request).add(action);
}

/** Whether the client of a request has closed its connection or its sending side. */
export function isClientDisconnected(request: IncomingMessage): boolean {
  return getWatcher(request).isDisconnected;
}

function getWatcher({socket}: IncomingMessage): DisconnectWatcher {
  let watcher = watchers.get(socket);
  if (watcher === undefined) {
    watcher = new DisconnectWatcher(socket);
    watchers.set(socket, watcher);
  }
  return watcher;
}
