/** The clock of one process that can be paused, as a virtual machine is. */
import type {Clock} from '@marigoldfold/runtime';

/** Timers that fall due during a pause fire when it ends; time itself goes on. */
export class PausableClock implements Clock {
  readonly #inner: Clock;
  #waiting: (() => void)[] | undefined;

  constructor(inner: Clock) {
    this.#inner = inner;
  }

  now(): number {
    return this.#inner.now();
  }

  schedule(delayMs: number, action: () => void): Disposable {
    let isCancelled = false;
    const fire = () => {
      if (isCancelled) return;
      if (this.#waiting === undefined) action();
      else this.#waiting.push(fire);
    };
    const timer = this.#inner.schedule(delayMs, fire);
    return {
      [Symbol.dispose]() {
        isCancelled = true;
        timer[Symbol.dispose]();
      },
    };
  }

  /** Stops the process. */
  pause(): void {
    this.#waiting ??= [];
  }

  /** Lets the process go on. */
  resume(): void {
    const waiting = this.#waiting ?? [];
    this.#waiting = undefined;
    for (const fire of waiting) fire();
  }

  /** Resolves as soon as the process runs. */
  running(): Promise<void> {
    if (this.#waiting === undefined) return Promise.resolve();
    return new Promise((resolve) => {
      this.#waiting?.push(resolve);
    });
  }
}
