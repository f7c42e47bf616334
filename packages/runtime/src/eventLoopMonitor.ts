/** Tracks event loop turns to bound how long input may have waited before it was read. */
import type {Clock} from './clock.js';

/**
 * Resolves after the event loop has polled again, so input that had arrived behind the current one has been
 * read.
 */
export function nextPoll(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(() => {
      setImmediate(resolve);
    });
  });
}

/** Dependencies of an `EventLoopMonitor`; all but the clock have defaults that tests override. */
export interface EventLoopMonitorOptions {
  readonly clock: Clock;
  /** Total milliseconds the loop has waited for input since the process started. */
  readonly idleMs?: () => number;
  /** Runs an action after all input of the current turn has been read; default `setImmediate`. */
  readonly afterInput?: (action: () => void) => void;
  /** Receives the duration of each turn with input, in milliseconds. */
  readonly onTurn?: (durationMs: number) => void;
}

/** If the loop was idle for this long, all earlier input has been read; equals the timer resolution. */
const MIN_IDLE_MS = 1;

/** Measures the event loop turns in which input is read. */
export class EventLoopMonitor {
  readonly #options: Required<EventLoopMonitorOptions>;
  #isInTurn = false;
  #startedAtMs: number;
  #idleMsAtTurnEnd = 0;
  #earliestArrivalMs: number;
  #turn = 0;

  constructor(options: EventLoopMonitorOptions) {
    this.#options = {
      idleMs: () => performance.nodeTiming.idleTime,
      afterInput: setImmediate,
      onTurn: () => undefined,
      ...options,
    };
    this.#startedAtMs = this.#earliestArrivalMs = options.clock.now();
  }

  /** Starts a turn, unless one has started. Called before input is processed. */
  recordInput(): void {
    if (this.#isInTurn) return;
    this.#isInTurn = true;
    const {clock, idleMs, afterInput, onTurn} = this.#options;
    const now = clock.now();
    this.#turn += 1;
    const wasIdle = idleMs() - this.#idleMsAtTurnEnd >= MIN_IDLE_MS;
    // Input that arrived during the previous turn is not read until this turn.
    this.#earliestArrivalMs = wasIdle ? now : this.#startedAtMs;
    this.#startedAtMs = now;
    afterInput(() => {
      this.#isInTurn = false;
      this.#idleMsAtTurnEnd = idleMs();
      onTurn(clock.now() - this.#startedAtMs);
    });
  }

  /** Number of the current turn; starts a turn if none is active. */
  get turn(): number {
    this.recordInput();
    return this.#turn;
  }

  /** Earliest time on the clock at which input read in the current turn can have arrived. */
  get earliestArrivalMs(): number {
    this.recordInput();
    return this.#earliestArrivalMs;
  }
}
