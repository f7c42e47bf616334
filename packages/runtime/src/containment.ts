/** Confines exceptions that no code expects to the timer, message or request that they occur in. */
import type {LogFields} from './logger.js';
import type {Clock} from './clock.js';

/** Reports an exception that is a defect; `place` is one of few values, and the fields tell the request, if any. */
export type DefectReporter = (place: string, error: unknown, fields?: LogFields) => void;

/** The stack of an exception, or its text if it has none. */
export function describeError(error: unknown): string {
  return error instanceof Error ? (error.stack ?? error.message) : String(error);
}

/** Runs an action; an exception is passed to the handler instead of the caller. */
export function contain(action: () => void, onError: (error: unknown) => void): void {
  try {
    action();
  } catch (error) {
    onError(error);
  }
}

/** A clock that passes the exceptions of timers to the handler, as they would end the process otherwise. */
export function containTimers(clock: Clock, onError: (error: unknown) => void): Clock {
  return {
    now: () => clock.now(),
    schedule: (delayMs, action) =>
      clock.schedule(delayMs, () => {
        contain(action, onError);
      }),
  };
}
