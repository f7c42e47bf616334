/** Clocks passed to components as a dependency, so that tests and experiments can use virtual time. */

/** A source of time and timers, in milliseconds. */
export interface Clock {
  /** Milliseconds since an arbitrary origin that is the same for the life of the process. */
  now(): number;
  /**
   * Runs an action once after a delay; disposing of the returned handle cancels it. A delay over 24 days is cut to that
   * by the clocks of the system.
   */
  schedule(delayMs: number, action: () => void): Disposable;
}

/** Longest delay that a timer of Node.js can hold, in milliseconds; it runs a longer one after 1 ms. */
const MAX_DELAY_MS = 2 ** 31 - 1;

/** The system clock. `now` is wall time, because ages and deadlines are compared across processes. */
export const systemClock: Clock = {
  now: () => Date.now(),
  schedule(delayMs, action) {
    const timer = setTimeout(action, Math.min(delayMs, MAX_DELAY_MS));
    return {
      [Symbol.dispose]() {
        clearTimeout(timer);
      },
    };
  },
};

/** A monotonic clock, unaffected by changes of the system time. */
export const steadyClock: Clock = {
  now: () => performance.now(),
  schedule: (delayMs, action) => systemClock.schedule(delayMs, action),
};

/** Resolves after a delay, or as soon as the signal is aborted. */
export function sleep(clock: Clock, delayMs: number, signal?: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal?.aborted === true) {
      resolve();
      return;
    }
    const finish = () => {
      signal?.removeEventListener('abort', finish);
      timer[Symbol.dispose]();
      resolve();
    };
    const timer = clock.schedule(delayMs, finish);
    signal?.addEventListener('abort', finish, {once: true});
  });
}

/** Whether a signal is aborted; unlike the property, TypeScript does not narrow the result by an earlier check. */
export function isAborted(signal: AbortSignal): boolean {
  return signal.aborted;
}

/** Runs an action repeatedly until disposed of; each interval starts when the previous run has finished. */
export function repeat(
  clock: Clock,
  intervalMs: () => number,
  action: () => Promise<void> | void,
): Disposable {
  const controller = new AbortController();
  const run = async () => {
    while (!controller.signal.aborted) {
      await sleep(clock, intervalMs(), controller.signal);
      if (isAborted(controller.signal)) return;
      await action();
    }
  };
  void run();
  return {
    [Symbol.dispose]() {
      controller.abort();
    },
  };
}
