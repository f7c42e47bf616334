/** Measures how long input waits in this process before it is read, which is no delay of a router. */
import {type Clock, repeat} from '@marigoldfold/runtime';

/** Interval at which the event loop and the accept queues are checked. */
const CHECK_INTERVAL_MS = 20;
/** With a longer lag of the event loop, all observations are recorded too late to check delays. */
const MAX_LAG_MS = 100;

/** Source of accepted connections, such as a TCP or HTTP server. */
export interface ConnectionSource {
  on(event: 'connection', listener: () => void): unknown;
}

/** Clock and event loop hook of an `InputDelay`. */
export interface InputDelayOptions {
  readonly clock: Clock;
  /** Runs an action after the event loop has polled for input; default `setImmediate`. */
  readonly afterPoll?: (action: () => void) => void;
}

/** Checks the event loop and the accept queues of this process until disposed of. */
export class InputDelay implements Disposable {
  readonly #clock: Clock;
  readonly #queues: AcceptQueue[] = [];
  readonly #check: Disposable;
  #dueAtMs: number;
  #lastLagAtMs = Number.NEGATIVE_INFINITY;

  constructor({clock, afterPoll = setImmediate}: InputDelayOptions) {
    this.#clock = clock;
    this.#dueAtMs = clock.now() + CHECK_INTERVAL_MS;
    const check = () => {
      this.#lastLagAtMs = this.lastLagAtMs;
      const now = clock.now();
      this.#dueAtMs = now + CHECK_INTERVAL_MS;
      for (const queue of this.#queues) queue.onPollStarted();
      afterPoll(() => {
        for (const queue of this.#queues) queue.onPollEnded(now);
      });
    };
    this.#check = repeat(clock, () => CHECK_INTERVAL_MS, check);
  }

  /** Clock time in milliseconds at which the event loop last lagged; the current time while it does. */
  get lastLagAtMs(): number {
    const now = this.#clock.now();
    return now - this.#dueAtMs > MAX_LAG_MS ? now : this.#lastLagAtMs;
  }

  /** Measures the accept queue of a server from now on. */
  watch(server: ConnectionSource): AcceptQueue {
    const queue = new AcceptQueue(this.#clock, server);
    this.#queues.push(queue);
    return queue;
  }

  [Symbol.dispose](): void {
    this.#check[Symbol.dispose]();
  }
}

/**
 * Connections that wait to be accepted. The event loop accepts one of them each time it polls, so that the queue was
 * empty when it polled and accepted none.
 */
export class AcceptQueue {
  readonly #clock: Clock;
  #emptyAtMs: number;
  #hasAccepted = false;

  constructor(clock: Clock, server: ConnectionSource) {
    this.#clock = clock;
    this.#emptyAtMs = clock.now();
    server.on('connection', () => {
      this.#hasAccepted = true;
    });
  }

  /** Longest time in milliseconds for which a connection that is accepted now may have waited. */
  get waitMs(): number {
    return this.#clock.now() - this.#emptyAtMs;
  }

  onPollStarted(): void {
    this.#hasAccepted = false;
  }

  /** Called after a poll that began at a clock time in milliseconds. */
  onPollEnded(startedAtMs: number): void {
    if (!this.#hasAccepted) this.#emptyAtMs = startedAtMs;
  }
}
