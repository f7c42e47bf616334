/** Estimates how long new connections waited in the kernel's accept queue. */
import type {Clock, EventLoopMonitor} from '@marigoldfold/runtime';

/**
 * Computes an upper bound of the accept delay.
 * The kernel's accept queue cannot be read, but libuv accepts one connection
 * per event loop turn, so the queue was empty in a turn without a new connection.
 */
export class AcceptDelayEstimator {
  readonly #clock: Clock;
  readonly #eventLoop: EventLoopMonitor;
  #lastAcceptTurn = Number.NEGATIVE_INFINITY;
  #queueEmptyAtMs = 0;

  constructor(clock: Clock, eventLoop: EventLoopMonitor) {
    this.#clock = clock;
    this.#eventLoop = eventLoop;
  }

  /** Records an accepted connection; returns the longest time that it may have waited, in milliseconds. */
  recordConnection(): number {
    const {turn, earliestArrivalMs} = this.#eventLoop;
    const isConsecutiveTurn = turn - this.#lastAcceptTurn <= 1;
    this.#lastAcceptTurn = turn;
    if (!isConsecutiveTurn) this.#queueEmptyAtMs = earliestArrivalMs;
    return this.#clock.now() - this.#queueEmptyAtMs;
  }
}
