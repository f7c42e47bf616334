/** Shares the event loop among connections whose input takes long to parse for its size. */

/**
 * Time for which chunked bodies of all connections are parsed in one turn of the event loop, in milliseconds. Running
 * streams stall meanwhile; a body in chunks of one byte takes some 2 ms for each KiB of its content.
 */
const MAX_TURN_MS = 5;
/** Connections that go on in one turn; each has its own limit of bytes. */
const MAX_RESUMED = 2;

/** Clock and hook of the shared turns. */
export interface InputTurnsOptions {
  /** Monotonic time in milliseconds. */
  readonly now?: () => number;
  /** Runs an action in the next turn of the event loop, after its input. */
  readonly inNextTurn?: (action: () => void) => void;
}

/** Time that is left in the current turn, and connections that wait for a later one, longest waiting first. */
export class InputTurns {
  readonly #now: () => number;
  readonly #inNextTurn: (action: () => void) => void;
  readonly #waiting = new Set<() => void>();
  #spentMs = 0;
  #isScheduled = false;

  constructor({
    now = () => performance.now(),
    inNextTurn = (action) => void setImmediate(action),
  }: InputTurnsOptions = {}) {
    this.#now = now;
    this.#inNextTurn = inNextTurn;
  }

  /** Whether time is left in this turn. */
  get hasTime(): boolean {
    return this.#spentMs < MAX_TURN_MS;
  }

  /** Runs an action and counts its time. */
  run(action: () => void): void {
    const startedAtMs = this.#now();
    action();
    this.#spentMs += this.#now() - startedAtMs;
    this.#schedule();
  }

  /** Calls back in a later turn, unless disposed of before. */
  wait(resume: () => void): Disposable {
    this.#waiting.add(resume);
    this.#schedule();
    return {
      [Symbol.dispose]: () => {
        this.#waiting.delete(resume);
      },
    };
  }

  #schedule(): void {
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    this.#inNextTurn(() => {
      this.#isScheduled = false;
      this.#spentMs = 0;
      let resumedCount = 0;
      for (const resume of this.#waiting) {
        if (resumedCount === MAX_RESUMED) break;
        resumedCount += 1;
        this.#waiting.delete(resume);
        resume();
      }
      if (this.#waiting.size > 0) this.#schedule();
    });
  }
}
