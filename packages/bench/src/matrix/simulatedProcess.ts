/** A process of the matrix: it can crash, and it can be paused while the world goes on. */
import {setMaxListeners} from 'node:events';
import type {Clock} from '@marigoldfold/runtime';

/** One life of a process. */
export class SimulatedProcess {
  readonly #sharedClock: Clock;
  readonly #exitController = new AbortController();
  #pausedUntilMs = 0;
  /** The process's own clock: its timers fire neither while it is paused nor after its end. */
  readonly clock: Clock;

  constructor(sharedClock: Clock) {
    this.#sharedClock = sharedClock;
    // Every message under way listens for the end of its processes.
    setMaxListeners(0, this.#exitController.signal);
    this.clock = {
      now: () => sharedClock.now(),
      schedule: (delayMs, action) => this.#schedule(delayMs, action),
    };
  }

  /** Whether the process runs or is paused. */
  get isAlive(): boolean {
    return !this.#exitController.signal.aborted;
  }

  /** Aborted when the process ends. */
  get exitSignal(): AbortSignal {
    return this.#exitController.signal;
  }

  /** Ends the process at once. */
  crash(): void {
    this.#exitController.abort();
  }

  /** Stops the process for a while. */
  pause(durationMs: number): void {
    this.#pausedUntilMs = this.#sharedClock.now() + durationMs;
  }

  /** Resolves when the process runs; never when it has ended. */
  async waitUntilRunning(): Promise<void> {
    while (this.#sharedClock.now() < this.#pausedUntilMs) {
      await new Promise<void>((resolve) => {
        this.#sharedClock.schedule(this.#pausedUntilMs - this.#sharedClock.now(), resolve);
      });
    }
    if (!this.isAlive) await new Promise<never>(() => undefined);
  }

  #schedule(delayMs: number, action: () => void): Disposable {
    let isCancelled = false;
    const run = () => {
      if (isCancelled || !this.isAlive) return;
      const leftMs = this.#pausedUntilMs - this.#sharedClock.now();
      if (leftMs > 0) this.#sharedClock.schedule(leftMs, run);
      else action();
    };
    const timer = this.#sharedClock.schedule(delayMs, run);
    return {
      [Symbol.dispose]() {
        isCancelled = true;
        timer[Symbol.dispose]();
      },
    };
  }
}
