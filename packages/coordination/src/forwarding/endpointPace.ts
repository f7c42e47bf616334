/** Limits the requests in flight at an endpoint that has started or recovered, until its answers prove it. */

/** Part of an endpoint's slots that is its initial window. */
const INITIAL_SLOT_SHARE = 1 / 16;
/** Smallest window; two requests in flight, so that one that hangs does not hide the others. */
const MIN_WINDOW = 2;
const LATE_FACTOR = 0.9;
const FAILURE_FACTOR = 0.5;
/** Silence after which the window is halved, as a multiple of the latency objective. */
const SILENCE_OBJECTIVES = 2;
/** Duration of a trial, in milliseconds, after which an endpoint with few answers can be established as well. */
const TRIAL_MS = 10_000;
/** Answers that a trial needs at least. */
const MIN_TRIAL_ANSWERS = 8;
/** Part of the answers of a trial that may be late or failed. */
export const MAX_BAD_SHARE = 0.25;
/** Weight of the newest answer in the moving averages of the time to answer and of the bad share. */
const NEWEST_ANSWER_WEIGHT = 0.2;
/** A failure counts as this many late answers in the bad share. */
const FAILURE_WEIGHT = 2;

/** Why a window was lowered. */
export type PaceDecrease = 'late' | 'failed' | 'silent';

/** An answer of an endpoint: the first event of a stream, or a whole plain response. */
export interface PacedAnswer {
  /** Milliseconds from the send to the answer. */
  readonly elapsedMs: number;
  /** Latency objective, in milliseconds. */
  readonly objectiveMs: number;
  /** Number of answers, from all instances, that this one stands for; 1 or more. */
  readonly weight: number;
}

/** Slots of the endpoint and receiver of decreases of the window. */
export interface EndpointPaceOptions {
  readonly slots: number;
  readonly onDecrease: (window: number, reason: PaceDecrease) => void;
}

/**
 * Window of the requests in flight at one endpoint: slow start while few answers are bad, else additive increase and
 * multiplicative decrease.
 */
export class EndpointPace {
  readonly #options: EndpointPaceOptions;
  #window: number;
  /** Moving average of the part of answers that were late or failed. */
  #badShare = 0;
  #hasRisen = false;
  #answerMs: number | undefined;
  #objectiveMs = 0;
  #loweredAtMs = Number.NEGATIVE_INFINITY;
  /** Time of the first send since the last answer, in milliseconds. */
  #unansweredSinceMs: number | undefined;
  #trialSinceMs: number | undefined;
  #trialAnswers = 0;
  #trialBadAnswers = 0;

  constructor(options: EndpointPaceOptions) {
    this.#options = options;
    this.#window = Math.max(MIN_WINDOW, options.slots * INITIAL_SLOT_SHARE);
  }

  /** Requests that may be in flight from all instances together. */
  get window(): number {
    return this.#window;
  }

  /** Whether the endpoint has answered in time since the pace began. */
  get hasRisen(): boolean {
    return this.#hasRisen;
  }

  /** Records that a request with this latency objective was sent by any instance. */
  recordSend(nowMs: number, objectiveMs: number): void {
    this.#trialSinceMs ??= nowMs;
    this.#unansweredSinceMs ??= nowMs;
    this.#objectiveMs = Math.max(this.#objectiveMs, objectiveMs);
  }

  /** Raises the window after an answer in time, and lowers it after a late one. */
  recordAnswer(nowMs: number, {elapsedMs, objectiveMs, weight}: PacedAnswer): void {
    const isLate = elapsedMs > objectiveMs;
    this.#countAnswer(nowMs, isLate ? 1 : 0);
    this.#answerMs ??= elapsedMs;
    this.#answerMs += NEWEST_ANSWER_WEIGHT * (elapsedMs - this.#answerMs);
    if (isLate) {
      // Some answers of an established endpoint are late as well, such as those to long prompts.
      if (this.#badShare > MAX_BAD_SHARE) this.#lower(nowMs, 'late', LATE_FACTOR);
      return;
    }
    this.#hasRisen = true;
    this.#window += this.#badShare <= MAX_BAD_SHARE ? weight : weight / this.#window;
  }

  /** Halves the window after a failed or refused request. */
  recordFailure(nowMs: number): void {
    this.#countAnswer(nowMs, FAILURE_WEIGHT);
    this.#lower(nowMs, 'failed', FAILURE_FACTOR);
  }

  /** Halves the window if nothing of what was sent has been answered for too long. */
  checkSilence(nowMs: number): void {
    const sinceMs = this.#unansweredSinceMs;
    if (sinceMs === undefined || nowMs - sinceMs <= SILENCE_OBJECTIVES * this.#objectiveMs) return;
    this.#unansweredSinceMs = undefined;
    this.#lower(nowMs, 'silent', FAILURE_FACTOR);
  }

  /**
   * Whether the endpoint is established. `equalOccupancy` returns the median number in flight at the established
   * endpoints of its service. A trial that is not passed is followed by another one, so that a slow warm-up is not held
   * against the endpoint for its lifetime.
   */
  isProven(nowMs: number, equalOccupancy: () => number): boolean {
    if (this.#window >= this.#options.slots && this.#window >= equalOccupancy()) return true;
    if (this.#trialSinceMs === undefined || nowMs - this.#trialSinceMs < TRIAL_MS) return false;
    if (this.#trialAnswers < MIN_TRIAL_ANSWERS) return false;
    if (this.#trialBadAnswers <= this.#trialAnswers * MAX_BAD_SHARE) return true;
    this.#trialSinceMs = nowMs;
    this.#trialAnswers = 0;
    this.#trialBadAnswers = 0;
    return false;
  }

  /** Counts an answer; `badWeight` is 0 for one in time. */
  #countAnswer(nowMs: number, badWeight: number): void {
    this.#trialSinceMs ??= nowMs;
    this.#unansweredSinceMs = undefined;
    this.#trialAnswers += 1;
    if (badWeight > 0) this.#trialBadAnswers += 1;
    const newest = badWeight > 0 ? 1 : 0;
    const newestWeight = NEWEST_ANSWER_WEIGHT * Math.max(1, badWeight);
    this.#badShare += newestWeight * (newest - this.#badShare);
  }

  /** Lowers the window, at most once in the time of one answer, since all requests in flight tell of the same fault. */
  #lower(nowMs: number, reason: PaceDecrease, factor: number): void {
    if (nowMs - this.#loweredAtMs < (this.#answerMs ?? this.#objectiveMs)) return;
    this.#loweredAtMs = nowMs;
    const lowered = Math.max(MIN_WINDOW, this.#window * factor);
    if (lowered >= this.#window) return;
    this.#window = lowered;
    this.#options.onDecrease(lowered, reason);
  }
}
