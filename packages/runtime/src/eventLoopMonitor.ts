/** Follows the turns of the event loop, to tell how long input may have waited before it was read. */
import type {Clock} from './clock.js';

/** Resolves when the event loop has read once more: what came behind the input of this turn is known then. */
export function nextPoll(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(() => {
      setImmediate(resolve);
    });
  });
}

/** What following the loop needs. */
export interface EventLoopMonitorOptions {
  readonly clock: Clock;
  /** Milliseconds that the loop has waited for input since the process started. */
  readonly idleMs?: () => number;
  /** Calls back once all input of the current turn is read. */
  readonly afterInput?: (action: () => void) => void;
  /** Takes the length of each turn, in milliseconds. */
  readonly onTurn?: (durationMs: number) => void;
}

/** Wait for input from which a turn began with nothing unread, in milliseconds: a timer's resolution. */
const MIN_IDLE_MS = 1;

/** The turns of the event loop that had input. */
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

  /** Called by whatever takes input, before it works on it. */
  recordInput(): void {
    if (this.#isInTurn) return;
    this.#isInTurn = true;
    const {clock, idleMs, afterInput, onTurn} = this.#options;
    const now = clock.now();
    this.#turn += 1;
    const wasIdle = idleMs() - this.#idleMsAtTurnEnd >= MIN_IDLE_MS;
    // What came during the turn before was not read by it.
    this.#earliestArrivalMs = wasIdle ? now : this.#startedAtMs;
    this.#startedAtMs = now;
    afterInput(() => {
      this.#isInTurn = false;
      this.#idleMsAtTurnEnd = idleMs();
      onTurn(clock.now() - this.#startedAtMs);
    });
  }

  /** Number of the current turn. */
  get turn(): number {
    this.recordInput();
    return this.#turn;
  }

  /** When input that is read now can have come at the earliest, on the clock. */
  get earliestArrivalMs(): number {
    this.recordInput();
    return this.#earliestArrivalMs;
  }
}
