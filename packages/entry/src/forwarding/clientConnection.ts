/** A connection of a client, and who is told when the client closes it. */
import type {Socket} from 'node:net';

/** One connection with the requests that are under way on it. */
export class ClientConnection {
  /** Longest time that it can have waited to be accepted, in milliseconds. */
  readonly unacceptedMs: number;
  readonly #leaveActions = new Set<() => void>();
  #hasLeft = false;

  constructor(socket: Socket, unacceptedMs: number) {
    this.unacceptedMs = unacceptedMs;
    const leave = () => {
      this.#hasLeft = true;
      for (const action of this.#leaveActions) action();
      this.#leaveActions.clear();
    };
    // An answer's own close comes turns later, and for one that waits behind another never.
    socket.once('end', leave);
    socket.once('close', leave);
  }

  /** Calls back when the client closes the connection, at once if it has done so. */
  onLeave(action: () => void): Disposable {
    if (this.#hasLeft) action();
    else this.#leaveActions.add(action);
    return {
      [Symbol.dispose]: () => {
        this.#leaveActions.delete(action);
      },
    };
  }
}
