/** How fast the engines of a service work, learned from the events of their streams. */

/** Milliseconds that an engine takes to read a token before any were measured. */
const INITIAL_PREFILL_MS_PER_TOKEN = 0.025;
/** Milliseconds between two events of a stream before any were measured. */
const INITIAL_EVENT_GAP_MS = 25;
/** Prompts below this size say little of the time to read a token. */
const MIN_PREFILL_SAMPLE_TOKENS = 1500;
/** Quantile of the samples that counts as undisturbed: most disturbances make work slower. */
const UNDISTURBED_QUANTILE = 0.3;
/** Part by which a sample moves the estimate. */
const ADAPTATION_RATE = 0.03;
/** Tokens of prompts that an engine reads at most in the step of one token; source: logs of trials. */
const PREFILL_CHUNK_TOKENS = 1024;

/** The pace of a service's engines when nothing disturbs them. */
export class EngineTimings {
  /** Tokens in one event of a stream, as configured. */
  tokensPerEvent = 1;
  /** Milliseconds between two events of a stream. */
  eventGapMs = INITIAL_EVENT_GAP_MS;
  /** Milliseconds to read a token of a prompt. */
  prefillMsPerToken = INITIAL_PREFILL_MS_PER_TOKEN;
  /** Milliseconds from the end of reading to the first event. */
  firstEventDelayMs = INITIAL_EVENT_GAP_MS;

  /** Tokens of prompts that an engine reads at most between two events of a stream. */
  get prefillTokensPerEvent(): number {
    return this.tokensPerEvent * PREFILL_CHUNK_TOKENS;
  }

  /** Milliseconds that a prompt is in reading: between its chunks the streams get their tokens. */
  prefillDurationMs(tokens: number): number {
    const stepMs = this.eventGapMs / this.tokensPerEvent;
    return tokens * (this.prefillMsPerToken + stepMs / PREFILL_CHUNK_TOKENS);
  }

  /** Takes the time between two events of a stream. */
  recordEventGap(gapMs: number): void {
    this.eventGapMs = moveTowardQuantile(this.eventGapMs, gapMs);
  }

  /** Takes the time from the send of a prompt to its first event. */
  recordFirstEvent(unreadTokens: number, elapsedMs: number): void {
    if (unreadTokens < MIN_PREFILL_SAMPLE_TOKENS) {
      this.firstEventDelayMs = moveTowardQuantile(
        this.firstEventDelayMs,
        elapsedMs - unreadTokens * this.prefillMsPerToken,
      );
      return;
    }
    const sample = Math.max(0, elapsedMs - this.eventGapMs) / unreadTokens;
    this.prefillMsPerToken = moveTowardQuantile(this.prefillMsPerToken, sample);
  }
}

/** Moves an estimate so that it settles at the quantile; the size of a sample does not matter. */
function moveTowardQuantile(value: number, sample: number): number {
  const isAbove = sample > value;
  return (
    value *
    (isAbove
      ? 1 + ADAPTATION_RATE * UNDISTURBED_QUANTILE
      : 1 - ADAPTATION_RATE * (1 - UNDISTURBED_QUANTILE))
  );
}
