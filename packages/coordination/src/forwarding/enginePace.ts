/** How fast the engines of a service work, learned from the events of their streams. */

/** Milliseconds that an engine takes to read a token before any were measured. */
const INITIAL_READ_MS_PER_TOKEN = 0.025;
/** Milliseconds between two events of a stream before any were measured. */
const INITIAL_EVENT_MS = 25;
/** Prompts below this size say little of the time to read a token. */
const MIN_MEASURED_TOKENS = 1500;
/** Quantile of the samples that counts as undisturbed: most disturbances make work slower. */
const QUANTILE = 0.3;
/** Part by which a sample moves the estimate. */
const STEP = 0.03;

/** The pace of a service's engines when nothing disturbs them. */
export class EnginePace {
  /** Milliseconds between two events of a stream. */
  eventMs = INITIAL_EVENT_MS;
  /** Milliseconds to read a token of a prompt. */
  readMsPerToken = INITIAL_READ_MS_PER_TOKEN;

  /** Takes the time between two events of a stream. */
  observeGap(gapMs: number): void {
    this.eventMs = follow(this.eventMs, gapMs);
  }

  /** Takes the time from the send of a prompt to its first event. */
  observeFirstEvent(unreadTokens: number, elapsedMs: number): void {
    if (unreadTokens < MIN_MEASURED_TOKENS) return;
    const sample = Math.max(0, elapsedMs - this.eventMs) / unreadTokens;
    this.readMsPerToken = follow(this.readMsPerToken, sample);
  }
}

/** Moves an estimate so that it settles at the quantile; the size of a sample does not matter. */
function follow(value: number, sample: number): number {
  return value * (sample > value ? 1 + STEP * QUANTILE : 1 - STEP * (1 - QUANTILE));
}
