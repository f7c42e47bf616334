/** Parameters of the work queue and their defaults. */

/** Parameters of admission, start order, preemption and shedding. Durations are in milliseconds. */
export interface QueueTuning {
  /** Tiers numbered below this are urgent; they are shed only when no lower-tier request remains. */
  readonly urgentTierCount: number;
  /** Whether running requests are paused for requests of a higher tier. */
  readonly preempts: boolean;
  /** Number of preemptions after which only urgent tiers may preempt a request. */
  readonly maxPreemptions: number;
  /** A request paused for longer than this starts before other non-urgent requests. */
  readonly maxPauseMs: number;
  /** Minimum run time of a resumed request before non-urgent work may preempt it. */
  readonly minRunMs: number;
  /** Fraction of the window that long work may occupy while shorter work waits. */
  readonly longWorkShare: number;
  /** Whether the concurrency limit adapts to the measured inter-token latency. */
  readonly adaptsWindow: boolean;
  /** Whether a request is refused or shed once its deadline cannot be met. */
  readonly refusesEarly: boolean;
}

/** Parameters used unless the caller overrides them. */
export const defaultQueueTuning: QueueTuning = {
  urgentTierCount: 2,
  preempts: true,
  maxPreemptions: 4,
  maxPauseMs: 10_000,
  minRunMs: 1000,
  longWorkShare: 0.5,
  adaptsWindow: true,
  refusesEarly: true,
};
