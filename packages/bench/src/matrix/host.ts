/** A process of the matrix: it can crash, and it can be paused while the world goes on. */
import {setMaxListeners} from 'node:events';
import type {Clock} from '@marigoldfold/runtime';

/** One life of a process. */
export class Host {
  readonly #world: Clock;
  readonly #life = new AbortController();
  #pausedUntilMs = 0;
  /** The process's own clock: its timers fire neither while it is paused nor after its end. */
  readonly clock: Clock;

  constructor(world: Clock) {
    this.#world = world;
    // Every message under way listens for the end of its processes.
    setMaxListeners(0, this.#life.signal);
    this.clock = {
      now: () => world.now(),
      schedule: (delayMs, action) => this.#schedule(delayMs, action),
    };
  }

  /** Whether the process runs or is paused. */
  get isAlive(): boolean {
    return !this.#life.signal.aborted;
  }

  /** Aborted when the process ends. */
  get ended(): AbortSignal {
    return this.#life.signal;
  }

  /** Ends the process at once. */
  crash(): void {
    this.#life.abort();
  }

  /** Stops the process for a while. */
  pause(durationMs: number): void {
    this.#pausedUntilMs = this.#world.now() + durationMs;
  }

  /** Resolves when the process runs; never when it has ended. */
  async awake(): Promise<void> {
    while (this.#world.now() < this.#pausedUntilMs) {
      await new Promise<void>((resolve) => {
        this.#world.schedule(this.#pausedUntilMs - this.#world.now(), resolve);
      });
    }
    if (!this.isAlive) await new Promise<never>(() => undefined);
  }

  #schedule(delayMs: number, action: () => void): Disposable {
    let isCancelled = false;
    const run = () => {
      if (isCancelled || !this.isAlive) return;
      const leftMs = this.#pausedUntilMs - this.#world.now();
      if (leftMs > 0) this.#world.schedule(leftMs, run);
      else action();
    };
    const timer = this.#world.schedule(delayMs, run);
    return {
      [Symbol.dispose]() {
        isCancelled = true;
        timer[Symbol.dispose]();
      },
    };
  }
}
