/** Timings and sizes of gossip. */

/** Processes per failure domain that watch the key-value service. */
export const watchersPerDomain = 2;

/** Gossip peers of a process in its own failure domain. */
export const neighbourCount = 4;

/**
 * Processes per failure domain that are next to replace a
 * watcher; they exchange with the watchers directly.
 */
export const standbysPerDomain = 4;

/** Milliseconds between exchanges with a random peer. */
export const exchangeIntervalMs = 1000;

/** Longest wait of one watch, in milliseconds, before a read confirms the head. */
export const watchIntervalMs = 1000;

/** Milliseconds between attempts of a watcher while the key-value service fails. */
export const retryIntervalMs = 1000;

/**
 * Base age of the confirmation, in milliseconds, from which a
 * process other than a watcher reads the service.
 */
export const confirmationMaxAgeMs = 2000;

/** Additional wait of each further rank in the failure domain, in milliseconds. */
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
