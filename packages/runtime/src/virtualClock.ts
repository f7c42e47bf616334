/** A clock that moves only when told to, for tests and experiments. */
import {Heap} from 'heap-js';
import type {Clock} from './clock.js';

interface Timer {
  readonly at: number;
  readonly order: number;
  readonly action: () => void;
  cancelled: boolean;
}

/** A deterministic clock: timers fire in order of time, then in order of creation. */
export class VirtualClock implements Clock {
  readonly #timers = new Heap<Timer>((a, b) => a.at - b.at || a.order - b.order);
  #now: number;
  #order = 0;

  constructor(startMs = 0) {
    this.#now = startMs;
  }

  now(): number {
    return this.#now;
  }

  schedule(delayMs: number, action: () => void): Disposable {
    const at = this.#now + Math.max(0, delayMs);
    const timer: Timer = {at, order: this.#order++, action, cancelled: false};
    this.#timers.push(timer);
    return {
      [Symbol.dispose]() {
        timer.cancelled = true;
      },
    };
  }

  /** Fires the next timer that is due by `limitMs`; returns false when there is none. */
  step(limitMs = Number.POSITIVE_INFINITY): boolean {
    while (true) {
      const timer = this.#timers.peek();
      if (timer === undefined || timer.at > limitMs) return false;
      this.#timers.pop();
      if (timer.cancelled) continue;
      this.#now = Math.max(this.#now, timer.at);
      timer.action();
      return true;
    }
  }

  /** Moves time forward, letting promises settle between timers. */
  async advance(durationMs: number): Promise<void> {
    const end = this.#now + durationMs;
    await settle();
    while (this.step(end)) await settle();
    this.#now = end;
  }
}

/** Lets every promise that is already resolvable run its continuations. */
export function settle(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}
