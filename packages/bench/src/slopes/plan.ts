/** Sizes at which the slopes are measured. */

/** Sizes, each list from small to large. */
export interface SlopePlan {
  readonly peers: readonly number[];
  readonly accounts: readonly number[];
  readonly models: readonly number[];
  readonly tiers: readonly number[];
  readonly streams: readonly number[];
  /** Milliseconds for which a process at rest is watched. */
  readonly idleMs: number;
  readonly requests: number;
  readonly probeRounds: number;
  readonly tickets: number;
}

/** The usual sizes. */
export const fullPlan: SlopePlan = {
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

/** Milliseconds between the chunks of a stream, as at the design size. */
export const CHUNK_INTERVAL_MS = 26;

/** Chunks of a stream that is kept open for a while. */
export const CHUNKS_PER_STREAM = 150;

/** A site as small as can be, for the sizes that are not varied. */
export const smallConfiguration = {endpoints: 16, accounts: 10, models: 1, tiers: 7};
