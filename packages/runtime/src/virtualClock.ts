/** A manually advanced clock for tests and experiments. */
import {Heap} from 'heap-js';
import type {Clock} from './clock.js';

interface Timer {
  readonly dueAtMs: number;
  readonly sequence: number;
  readonly action: () => void;
  cancelled: boolean;
}

/** A deterministic clock; timers fire in order of due time, then of creation. */
export class VirtualClock implements Clock {
  readonly #timers = new Heap<Timer>((a, b) => a.dueAtMs - b.dueAtMs || a.sequence - b.sequence);
  #nowMs: number;
  #nextSequence = 0;

  constructor(startMs = 0) {
    this.#nowMs = startMs;
  }

  now(): number {
    return this.#nowMs;
  }

  schedule(delayMs: number, action: () => void): Disposable {
    const dueAtMs = this.#nowMs + Math.max(0, delayMs);
    const timer: Timer = {dueAtMs, sequence: this.#nextSequence++, action, cancelled: false};
    this.#timers.push(timer);
    return {
      [Symbol.dispose]() {
        timer.cancelled = true;
      },
    };
  }

  /** Advances to the next timer and fires it; returns false if none is due by `limitMs`. */
  step(limitMs = Number.POSITIVE_INFINITY): boolean {
    while (true) {
      const timer = this.#timers.peek();
      if (timer === undefined || timer.dueAtMs > limitMs) return false;
      this.#timers.pop();
      if (timer.cancelled) continue;
      this.#nowMs = Math.max(this.#nowMs, timer.dueAtMs);
      timer.action();
      return true;
    }
  }

  /** Advances the time by a duration, flushing promises between timers. */
  async advance(durationMs: number): Promise<void> {
    const end = this.#nowMs + durationMs;
    await flushPromises();
    while (this.step(end)) await flushPromises();
    this.#nowMs = end;
  }
}

/** Waits until the continuations of all resolved promises have run. */
export function flushPromises(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}
