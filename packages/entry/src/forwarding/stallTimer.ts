/** Detects that an endpoint sends nothing useful for too long, apart from the time that the client takes to read. */
import type {Clock} from '@marigoldfold/runtime';

/** Calls back once no progress was recorded for a limit of running time. */
export class StallTimer implements Disposable {
  readonly #clock: Clock;
  readonly #limitMs: number;
  readonly #onStalled: () => void;
  #leftMs: number;
  #resumedAtMs = 0;
  #timer: Disposable | undefined;

  /** Starts the timer; the limit is in milliseconds. */
  constructor(clock: Clock, limitMs: number, onStalled: () => void) {
    this.#clock = clock;
    this.#limitMs = limitMs;
    this.#onStalled = onStalled;
    this.#leftMs = limitMs;
    this.resume();
  }

  /** Grants the whole limit again, whether the timer runs or is paused. */
  recordProgress(): void {
    const isRunning = this.#timer !== undefined;
    this.pause();
    this.#leftMs = this.#limitMs;
    if (isRunning) this.resume();
  }

  /** Stops the timer and keeps the time that is left. */
  pause(): void {
    if (this.#timer === undefined) return;
    this.#timer[Symbol.dispose]();
    this.#timer = undefined;
    this.#leftMs -= this.#clock.now() - this.#resumedAtMs;
  }

  /** Continues with the time that is left. */
  resume(): void {
    if (this.#timer !== undefined) return;
    this.#resumedAtMs = this.#clock.now();
    this.#timer = this.#clock.schedule(Math.max(0, this.#leftMs), this.#onStalled);
  }

  [Symbol.dispose](): void {
    this.#timer?.[Symbol.dispose]();
    this.#timer = undefined;
  }
}
