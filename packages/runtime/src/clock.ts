/** Time as an injected dependency, so that tests and experiments can run on a virtual clock. */

/** A source of time and timers. All values are milliseconds. */
export interface Clock {
  /** Milliseconds since an arbitrary origin that is the same for the life of the process. */
  now(): number;
  /** Runs an action once after a delay, unless the returned handle is disposed of first. */
  schedule(delayMs: number, action: () => void): Disposable;
}

/** The machine's clock. `now` is wall time, because ages and deadlines are compared across processes. */
export const systemClock: Clock = {
  now: () => Date.now(),
  schedule(delayMs, action) {
    const timer = setTimeout(action, delayMs);
    return {
      [Symbol.dispose]() {
        clearTimeout(timer);
      },
    };
  },
};

/** The machine's steady clock, which a change of the time of day does not move. */
export const steadyClock: Clock = {
  now: () => performance.now(),
  schedule: (delayMs, action) => systemClock.schedule(delayMs, action),
};

/** Resolves after a delay, or at once when the signal is aborted. */
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

/** Whether a signal is aborted now; unlike the property, a call is not narrowed by an earlier check. */
export function isAborted(signal: AbortSignal): boolean {
  return signal.aborted;
}

/** Runs an action again and again until disposed of; the next run is timed after the previous one has ended. */
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
