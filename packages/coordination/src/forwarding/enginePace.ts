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
/** Tokens of prompts that an engine reads at most in the step of one token; source: logs of trials. */
const STEP_READ_TOKENS = 1024;

/** The pace of a service's engines when nothing disturbs them. */
export class EnginePace {
  /** Tokens in one event of a stream, as configured. */
  tokensPerEvent = 1;
  /** Milliseconds between two events of a stream. */
  eventMs = INITIAL_EVENT_MS;
  /** Milliseconds to read a token of a prompt. */
  readMsPerToken = INITIAL_READ_MS_PER_TOKEN;
  /** Milliseconds from the end of reading to the first event. */
  startMs = INITIAL_EVENT_MS;

  /** Tokens of prompts that an engine reads at most between two events of a stream. */
  get eventReadTokens(): number {
    return this.tokensPerEvent * STEP_READ_TOKENS;
  }

  /** Milliseconds that a prompt is in reading: between its chunks the streams get their tokens. */
  readingMs(tokens: number): number {
    const stepMs = this.eventMs / this.tokensPerEvent;
    return tokens * (this.readMsPerToken + stepMs / STEP_READ_TOKENS);
  }

  /** Takes the time between two events of a stream. */
  observeGap(gapMs: number): void {
    this.eventMs = follow(this.eventMs, gapMs);
  }

  /** Takes the time from the send of a prompt to its first event. */
  observeFirstEvent(unreadTokens: number, elapsedMs: number): void {
    if (unreadTokens < MIN_MEASURED_TOKENS) {
      this.startMs = follow(this.startMs, elapsedMs - unreadTokens * this.readMsPerToken);
      return;
    }
    const sample = Math.max(0, elapsedMs - this.eventMs) / unreadTokens;
    this.readMsPerToken = follow(this.readMsPerToken, sample);
  }
}

/** Moves an estimate so that it settles at the quantile; the size of a sample does not matter. */
function follow(value: number, sample: number): number {
  const isAbove = sample > value;
  return value * (isAbove ? 1 + STEP * QUANTILE : 1 - STEP * (1 - QUANTILE));
}
