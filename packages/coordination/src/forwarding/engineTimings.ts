/** Estimates the timings of a service's engines from the events of their streams. */

/** Prefill time per token before the first measurement, in milliseconds. */
const INITIAL_PREFILL_MS_PER_TOKEN = 0.025;
/** Time between two events of a stream before the first measurement, in milliseconds. */
const INITIAL_EVENT_GAP_MS = 25;
/** Smaller prompts are no useful sample of the prefill time per token. */
const MIN_PREFILL_SAMPLE_TOKENS = 1500;
/** Quantile of the samples taken as undisturbed; below the median, since most disturbances slow work. */
const UNDISTURBED_QUANTILE = 0.3;
/** Relative change of an estimate per sample, before weighting by the quantile. */
const ADAPTATION_RATE = 0.03;
/** Most prompt tokens that an engine prefills in the step of one token; source: logs of trials. */
const PREFILL_CHUNK_TOKENS = 1024;

/** Undisturbed timings of a service's engines. */
export class EngineTimings {
  /** Tokens in one event of a stream, from the configuration. */
  tokensPerEvent = 1;
  /** Milliseconds between two events of a stream. */
  eventGapMs = INITIAL_EVENT_GAP_MS;
  /** Prefill time per prompt token, in milliseconds. */
  prefillMsPerToken = INITIAL_PREFILL_MS_PER_TOKEN;
  /** Milliseconds from the end of prefill to the first event. */
  firstEventDelayMs = INITIAL_EVENT_GAP_MS;

  /** Most prompt tokens that an engine prefills between two events of a stream. */
  get prefillTokensPerEvent(): number {
    return this.tokensPerEvent * PREFILL_CHUNK_TOKENS;
  }

  /** Milliseconds of a prompt's prefill, with the decoding for running streams between its chunks. */
  prefillDurationMs(tokens: number): number {
    const stepMs = this.eventGapMs / this.tokensPerEvent;
    return tokens * (this.prefillMsPerToken + stepMs / PREFILL_CHUNK_TOKENS);
  }

  /** Updates the estimate from the time between two events of a stream. */
  recordEventGap(gapMs: number): void {
    this.eventGapMs = moveTowardQuantile(this.eventGapMs, gapMs);
  }

  /** Updates the estimates from the time between the send of a prompt and its first event. */
  recordFirstEvent(uncachedTokens: number, elapsedMs: number): void {
    if (uncachedTokens < MIN_PREFILL_SAMPLE_TOKENS) {
      this.firstEventDelayMs = moveTowardQuantile(
        this.firstEventDelayMs,
        elapsedMs - uncachedTokens * this.prefillMsPerToken,
      );
      return;
    }
    const sample = Math.max(0, elapsedMs - this.eventGapMs) / uncachedTokens;
    this.prefillMsPerToken = moveTowardQuantile(this.prefillMsPerToken, sample);
  }
}

/** Moves an estimate by a fixed fraction, whatever the size of the sample; it settles at the quantile. */
function moveTowardQuantile(estimate: number, sample: number): number {
  const isAbove = sample > estimate;
  return (
    estimate *
    (isAbove
      ? 1 + ADAPTATION_RATE * UNDISTURBED_QUANTILE
      : 1 - ADAPTATION_RATE * (1 - UNDISTURBED_QUANTILE))
  );
}
