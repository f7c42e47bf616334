/** Intervals, backoffs, peer counts and size limits of gossip and of reading the record. */

/** Number of processes per failure domain that watch the key-value service. */
export const watchersPerDomain = 2;

/** Number of gossip peers of a process in its own failure domain. */
export const neighbourCount = 4;

/**
 * Number of processes per failure domain that are the first to replace a watcher. They exchange summaries with
 * watchers directly.
 */
export const standbysPerDomain = 4;

/** Milliseconds between exchanges with a random peer. */
export const exchangeIntervalMs = 1000;

/** Maximum duration of one watch, in milliseconds, after which a read confirms the head. */
export const watchIntervalMs = 1000;

/** Milliseconds between attempts of a watcher while the key-value service fails. */
export const retryIntervalMs = 1000;

/**
 * Age of the last confirmation, in milliseconds, from which a process that is not a watcher reads the key-value
 * service; `rankDelayMs` is added by rank.
 */
export const confirmationMaxAgeMs = 2000;

/** Milliseconds by which a process waits longer than the one that precedes it in rank in the failure domain. */
export const rankDelayMs = 500;

/** Milliseconds between reads of the key-value service by a process without listed peers. */
export const isolatedIntervalMs = 5000;

/** Milliseconds for which a peer that sent invalid tickets or snapshots is ignored. */
export const invalidPeerBackoffMs = 10_000;

/** Milliseconds for which a peer that did not respond to a pull is ignored. */
export const unreachablePeerBackoffMs = 2000;

/** Longest random delay before the first exchange, in milliseconds. */
export const maxFirstExchangeDelayMs = 200;

/** Maximum bytes of tickets or shards in one message. */
export const maxMessageBytes = 262_144;

/** Maximum fraction by which an interval is lengthened at random. */
export const jitterFraction = 0.25;
