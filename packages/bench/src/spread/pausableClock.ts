/** Clock of a simulated process that can be paused, as a hypervisor pauses a virtual machine. */
import type {Clock} from '@marigoldfold/runtime';

/** Timers that expire during a pause fire when it ends; `now` advances during the pause. */
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

  /** Holds back all timers until `resume`. */
  pause(): void {
    this.#pendingActions ??= [];
  }

  /** Ends the pause and fires the timers that expired during it, in order. */
  resume(): void {
    const pendingActions = this.#pendingActions ?? [];
    this.#pendingActions = undefined;
    for (const fire of pendingActions) fire();
  }

  /** Resolves immediately, or at the end of a pause in progress. */
  waitUntilRunning(): Promise<void> {
    if (this.#pendingActions === undefined) return Promise.resolve();
    return new Promise((resolve) => {
      this.#pendingActions?.push(resolve);
    });
  }
}
