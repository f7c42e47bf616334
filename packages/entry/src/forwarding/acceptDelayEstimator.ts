/** Tells how long new connections may have waited to be accepted. */
import type {Clock, EventLoop} from '@marigoldfold/runtime';

/**
 * The queue of new connections in the kernel, as far as it can be seen: libuv accepts one a turn, so
 * a turn without a new connection shows that the queue was empty.
 */
export class AcceptDelayEstimator {
  readonly #clock: Clock;
  readonly #eventLoop: EventLoop;
  #lastAcceptTurn = Number.NEGATIVE_INFINITY;
  #queueEmptyAtMs = 0;

  constructor(clock: Clock, eventLoop: EventLoop) {
    this.#clock = clock;
    this.#eventLoop = eventLoop;
  }

  /** Notes a new connection; returns the longest time that it can have waited, in milliseconds. */
  recordConnection(): number {
    const {turn, earliestArrivalMs} = this.#eventLoop;
    const isConsecutiveTurn = turn - this.#lastAcceptTurn <= 1;
    this.#lastAcceptTurn = turn;
    if (!isConsecutiveTurn) this.#queueEmptyAtMs = earliestArrivalMs;
    return this.#clock.now() - this.#queueEmptyAtMs;
  }
}
