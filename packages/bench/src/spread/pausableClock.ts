/** The clock of one process that can be paused, as a virtual machine is. */
import type {Clock} from '@marigoldfold/runtime';

/** Timers that fall due during a pause fire when it ends; time itself goes on. */
export class PausableClock implements Clock {
  readonly #clock: Clock;
  #pendingActions: (() => void)[] | undefined;

  constructor(inner: Clock) {
    this.#clock = inner;
  }

  now(): number {
    return this.#clock.now();
  }

  schedule(delayMs: number, action: () => void): Disposable {
    let isCancelled = false;
    const fire = () => {
      if (isCancelled) return;
      if (this.#pendingActions === undefined) action();
      else this.#pendingActions.push(fire);
    };
    const timer = this.#clock.schedule(delayMs, fire);
    return {
      [Symbol.dispose]() {
        isCancelled = true;
        timer[Symbol.dispose]();
      },
    };
  }

  /** Stops the process. */
  pause(): void {
    this.#pendingActions ??= [];
  }

  /** Lets the process go on. */
  resume(): void {
    const pendingActions = this.#pendingActions ?? [];
    this.#pendingActions = undefined;
    for (const fire of pendingActions) fire();
  }

  /** Resolves as soon as the process runs. */
  waitUntilRunning(): Promise<void> {
    if (this.#pendingActions === undefined) return Promise.resolve();
    return new Promise((resolve) => {
      this.#pendingActions?.push(resolve);
    });
  }
}
