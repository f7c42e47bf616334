/** Estimates the timings of a service's engines from the events of their streams. */

/** Prefill time per token before the first measurement, in milliseconds. */
const INITIAL_PREFILL_MS_PER_TOKEN = 0.025;
/** Time between two events of a stream before the first measurement, in milliseconds. */
const INITIAL_EVENT_GAP_MS = 25;
/** Lower bound of the estimates, in milliseconds; one of 0 would stay there, and nothing can be divided by it. */
const MIN_ESTIMATE_MS = 1e-5;
/** Minimum uncached prompt tokens for a sample of the prefill time per token. */
const MIN_PREFILL_SAMPLE_TOKENS = 1500;
/** Quantile of the samples used as the usual time; below the median, since most disturbances slow an engine. */
const UNDISTURBED_QUANTILE = 0.3;
/** Relative change of an estimate per sample, multiplied by the quantile upwards and its complement downwards. */
const ADAPTATION_RATE = 0.03;
/** Maximum prompt tokens that an engine prefills in one decoding step; source: logs of trials. */
const PREFILL_CHUNK_TOKENS = 1024;

/** Timings of a service's engines without delays from prefill or from other load on their machines. */
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

  /** Milliseconds to prefill `tokens`, including the decoding steps of running streams between prefill chunks. */
  prefillDurationMs(tokens: number): number {
    const stepMs = this.eventGapMs / this.tokensPerEvent;
    return tokens * (this.prefillMsPerToken + stepMs / PREFILL_CHUNK_TOKENS);
  }

  /** Updates `eventGapMs` from the time between two events of a stream. */
  recordEventGap(gapMs: number): void {
    this.eventGapMs = moveTowardQuantile(this.eventGapMs, gapMs);
  }

  /** Updates the prefill or first event estimate from the time between a send and its first event. */
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

/**
 * Moves an estimate up or down by a fixed fraction, regardless of how far the sample is off, so that the
 * estimate converges to `UNDISTURBED_QUANTILE` of the samples.
 */
function moveTowardQuantile(estimate: number, sample: number): number {
  const isAbove = sample > estimate;
  const factor = isAbove
    ? 1 + ADAPTATION_RATE * UNDISTURBED_QUANTILE
    : 1 - ADAPTATION_RATE * (1 - UNDISTURBED_QUANTILE);
  return Math.max(MIN_ESTIMATE_MS, estimate * factor);
}
