/** Tells requests when their client closes the connection. */
import type {IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';

/** One connection and who is told of its end. */
class LeaveWatcher {
  readonly #actions = new Set<() => void>();
  #hasLeft: boolean;

  constructor(socket: Socket) {
    this.#hasLeft = socket.destroyed || socket.readableEnded;
    const leave = () => {
      this.#hasLeft = true;
      for (const action of this.#actions) action();
      this.#actions.clear();
    };
    // An answer's own close comes turns later, and for one that waits behind another never.
    socket.once('end', leave);
    socket.once('close', leave);
  }

  /** Whether the client has closed the connection. */
  get hasLeft(): boolean {
    return this.#hasLeft;
  }

  add(action: () => void): Disposable {
    if (this.#hasLeft) action();
    else this.#actions.add(action);
    return {
      [Symbol.dispose]: () => {
        this.#actions.delete(action);
      },
    };
  }
}

const watchers = new WeakMap<Socket, LeaveWatcher>();

/** Calls back when the client of a request closes its connection, at once if it has done so. */
export function onClientLeave(request: IncomingMessage, action: () => void): Disposable {
  return watcherOf(request).add(action);
}

/** Whether the client of a request has closed the connection. */
export function hasLeft(request: IncomingMessage): boolean {
  return watcherOf(request).hasLeft;
}

function watcherOf({socket}: IncomingMessage): LeaveWatcher {
  let watcher = watchers.get(socket);
  if (watcher === undefined) {
    watcher = new LeaveWatcher(socket);
    watchers.set(socket, watcher);
  }
  return watcher;
}
