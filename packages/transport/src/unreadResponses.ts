/** Counts responses that have ended and that the client has not read yet, and ends those that it does not read. */
import type {Socket} from 'node:net';
import type {Clock} from '@marigoldfold/runtime';
import type {MemoryBudget, MemoryHolder} from './memoryBudget.js';

const MAX_CHECK_INTERVAL_MS = 1000;

/** Limits and effects of {@link UnreadResponses}. */
export interface UnreadResponsesOptions {
  readonly clock: Clock;
  readonly budget: Pick<MemoryBudget, 'open'> | undefined;
  /** Time for which a client may read no byte of a response, in milliseconds. */
  readonly stalledReaderTimeoutMs: number;
  /** Called with the bytes that the client has not read. */
  readonly onStalled: (socket: Socket, bytes: number) => void;
}

interface UnreadResponse {
  readonly holder: MemoryHolder | undefined;
  unreadBytes: number;
  progressAtMs: number;
}

/** Unread bytes in the memory of the process; those in the system's buffers are not counted. */
function countUnread(socket: Socket): number {
  // The stream counts a write until all of it is done, the handle counts what is left of it.
  const {_handle: handle} = socket as {_handle?: {readonly writeQueueSize?: number} | null};
  return socket.writableLength === 0 ? 0 : (handle?.writeQueueSize ?? socket.writableLength);
}

/** The unread responses of all connections of a server. */
export class UnreadResponses {
  readonly #options: UnreadResponsesOptions;
  readonly #responses = new Map<Socket, UnreadResponse>();
  readonly #checkIntervalMs: number;
  #timer: Disposable | undefined;

  constructor(options: UnreadResponsesOptions) {
    this.#options = options;
    this.#checkIntervalMs = Math.min(MAX_CHECK_INTERVAL_MS, options.stalledReaderTimeoutMs / 4);
  }

  /** Counts what is unread of a response that has just ended. */
  add(socket: Socket): void {
    if (socket.writableLength === 0 || socket.destroyed || this.#responses.has(socket)) return;
    const holder = this.#options.budget?.open({
      kind: 'response',
      owner: socket.remoteAddress ?? '',
      onEvicted: () => undefined,
    });
    // The request has been answered, so that the connection is not closed for lack of memory.
    holder?.pin();
    holder?.resize(socket.writableLength);
    const unreadBytes = countUnread(socket);
    const progressAtMs = this.#options.clock.now();
    this.#responses.set(socket, {holder, unreadBytes, progressAtMs});
    this.#timer ??= this.#schedule();
  }

  /** Ends the count of a connection whose response has been read, or that is closed. */
  remove(socket: Socket): void {
    const response = this.#responses.get(socket);
    if (response === undefined) return;
    this.#responses.delete(socket);
    response.holder?.[Symbol.dispose]();
    if (this.#responses.size > 0) return;
    this.#timer?.[Symbol.dispose]();
    this.#timer = undefined;
  }

  #schedule(): Disposable {
    return this.#options.clock.schedule(this.#checkIntervalMs, () => {
      this.#timer = undefined;
      this.#check();
      if (this.#responses.size > 0) this.#timer ??= this.#schedule();
    });
  }

  #check(): void {
    const nowMs = this.#options.clock.now();
    for (const [socket, response] of this.#responses) {
      const unreadBytes = countUnread(socket);
      if (unreadBytes !== response.unreadBytes) {
        response.unreadBytes = unreadBytes;
        response.progressAtMs = nowMs;
        response.holder?.recordProgress();
      } else if (nowMs - response.progressAtMs >= this.#options.stalledReaderTimeoutMs) {
        this.#options.onStalled(socket, unreadBytes);
      }
    }
  }
}
