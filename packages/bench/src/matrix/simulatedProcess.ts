/** A process of the fault matrix that can crash, and can be paused while the shared clock advances. */
import {setMaxListeners} from 'node:events';
import type {Clock} from '@marigoldfold/runtime';

/** A process from its start to its exit; a restart creates a new one. */
export class SimulatedProcess {
  readonly #sharedClock: Clock;
  readonly #exitController = new AbortController();
  #pausedUntilMs = 0;
  /** Clock of the process; its timers fire neither during a pause nor after the exit. */
  readonly clock: Clock;

  constructor(sharedClock: Clock) {
    this.#sharedClock = sharedClock;
    // Every message in flight adds a listener for the exit of its processes.
    setMaxListeners(0, this.#exitController.signal);
    this.clock = {
      now: () => sharedClock.now(),
      schedule: (delayMs, action) => this.#schedule(delayMs, action),
    };
  }

  /** Whether the process has not exited; true during a pause. */
  get isAlive(): boolean {
    return !this.#exitController.signal.aborted;
  }

  /** Aborted when the process exits. */
  get exitSignal(): AbortSignal {
    return this.#exitController.signal;
  }

  /** Ends the process immediately. */
  crash(): void {
    this.#exitController.abort();
  }

  /** Pauses the process from now; if it is already paused, the new duration replaces the remaining one. */
  pause(durationMs: number): void {
    this.#pausedUntilMs = this.#sharedClock.now() + durationMs;
  }

  /** Resolves when the process is not paused; never resolves after its exit. */
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
      const remainingMs = this.#pausedUntilMs - this.#sharedClock.now();
      if (remainingMs > 0) this.#sharedClock.schedule(remainingMs, run);
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
