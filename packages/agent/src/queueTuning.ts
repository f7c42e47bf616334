/** Parameters of the queue's decisions. */

/** How the queue decides. Durations are milliseconds. */
export interface QueueTuning {
  /** Tiers below this are urgent: they are shed only when nothing of a lower tier is left. */
  readonly urgentTierCount: number;
  /** Whether running work is paused for work of a higher tier. */
  readonly preempts: boolean;
  /** Preemptions after which a request is a victim of urgent tiers only. */
  readonly maxPreemptions: number;
  /** A paused request goes before other work that is not urgent after this long. */
  readonly maxPauseMs: number;
  /** A resumed request runs at least this long, unless it gives way to urgent work. */
  readonly minRunMs: number;
  /** Part of the window that work may fill which has outlived its class's typical length. */
  readonly longWorkShare: number;
  /** Whether the number of running requests follows the measured time between tokens. */
  readonly adaptsWindow: boolean;
  /** Whether a request is refused when its deadline cannot be met any more. */
  readonly refusesEarly: boolean;
}

/** The usual parameters. */
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
