/** Sizes at which the slopes are measured. */

/** Sizes to measure, each list in ascending order, and the amount of load. */
export interface SlopePlan {
  readonly peers: readonly number[];
  readonly accounts: readonly number[];
  readonly models: readonly number[];
  readonly tiers: readonly number[];
  readonly streams: readonly number[];
  /** Duration of a measurement of an idle process. */
  readonly idleMs: number;
  readonly requests: number;
  readonly probeRounds: number;
  readonly tickets: number;
}

/** Sizes and load that the `slopes` command measures. */
export const fullSlopePlan: SlopePlan = {
  peers: [10, 100, 250, 500],
  accounts: [10, 1000, 6000, 18_000],
  models: [1, 4, 10],
  tiers: [1, 4, 7],
  streams: [10, 100, 300],
  idleMs: 4000,
  requests: 1000,
  probeRounds: 20,
  tickets: 30,
};

/** Interval between the chunks of a stream at the design size. */
export const CHUNK_INTERVAL_MS = 26;

/** Chunks of a stream, enough to keep it open during a measurement. */
export const CHUNKS_PER_STREAM = 150;

/** Minimal configuration, for the sizes that a measurement does not vary. */
export const smallConfiguration = {endpoints: 16, accounts: 10, models: 1, tiers: 7};
