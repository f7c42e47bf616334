/** Times and sizes of the spreading of configurations. */

/** Processes of a failure domain that hold a watch on the key-value service. */
export const watchersPerDomain = 2;

/** Neighbours of a process in its own failure domain. */
export const neighbourCount = 4;

/** Processes behind the watchers that take their place first; they ask the watchers directly. */
export const standbysPerDomain = 4;

/** Milliseconds between exchanges with one neighbour. */
export const exchangeIntervalMs = 1000;

/** Milliseconds that one watch waits before the head is confirmed by a read. */
export const watchIntervalMs = 1000;

/** Milliseconds between tries of a watcher while the service fails. */
export const retryIntervalMs = 1000;

/** Age of the confirmation from which a process that is no watcher asks the service itself. */
export const confirmationMaxAgeMs = 2000;

/** Milliseconds by which each further rank in the failure domain waits longer. */
export const rankDelayMs = 500;

/** Milliseconds that a process that knows of no other waits between reads of the service. */
export const isolatedIntervalMs = 5000;

/** Milliseconds for which a peer whose tickets did not follow is not asked again. */
export const invalidPeerBackoffMs = 10_000;

/** Milliseconds for which a peer that did not answer a pull is not asked again. */
export const unreachablePeerBackoffMs = 2000;

/** Milliseconds within which a process makes its first exchange. */
export const maxFirstExchangeDelayMs = 200;

/** Bytes of tickets or shards in one message. */
export const maxMessageBytes = 262_144;

/** Part of an interval by which it is shortened or lengthened at random. */
export const jitterFraction = 0.25;
