/**
 * Reads new tickets from the record in the key-value service. Watchers do so continuously, other processes only
 * when confirmations from peers are overdue.
 */
import {type Clock, isAborted, type Logger, type Random, sleep} from '@marigoldfold/runtime';
import {
  decidedTickets,
  type RecordError,
  type Revision,
  type Snapshot,
  type TicketRecord,
} from '@marigoldfold/state';
import type {Result} from 'neverthrow';
import type {ConfigurationFeed} from '../configurationFeed.js';
import {computeConfirmationAgeLimitMs, isWatcher, type Neighbourhood} from './neighbourhood.js';
import {
  jitterFraction,
  isolatedIntervalMs,
  rankDelayMs,
  retryIntervalMs,
  watchIntervalMs,
} from './timing.js';

/** Feed, key-value service and callbacks of the record watch. */
export interface RecordWatchOptions {
  readonly record: TicketRecord;
  /** Reads the newest snapshot in the key-value service. */
  readonly readSnapshot: () => Promise<Result<Snapshot | undefined, RecordError>>;
  readonly feed: ConfigurationFeed;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly neighbourhood: () => Neighbourhood;
  /** Called after this process confirmed the head. */
  readonly onConfirmed: () => void;
}

/** Reads and applies new tickets until the signal is aborted. */
export async function watchRecord(options: RecordWatchOptions, signal: AbortSignal): Promise<void> {
  const {record, clock, random, neighbourhood} = options;
  // Isolated processes delay their first read at random, since many may start at once after an outage.
  let attemptedAtMs =
    clock.now() - (neighbourhood().isIsolated ? isolatedIntervalMs * random() : 0);
  let jitterFactor = 1 + jitterFraction * random();
  while (!signal.aborted) {
    const current = neighbourhood();
    if (!isWatcher(current)) {
      const waitMs = remainingMs(
        options,
        computeConfirmationAgeLimitMs(current) * jitterFactor,
        attemptedAtMs,
      );
      if (waitMs > 0) {
        // The rank may change during the wait, so the remaining wait is computed again after a short sleep.
        await sleep(clock, Math.min(waitMs, rankDelayMs), signal);
        continue;
      }
    }
    jitterFactor = 1 + jitterFraction * random();
    attemptedAtMs = clock.now();
    const revision = await confirmHead(options);
    if (isAborted(signal)) return;
    if (revision === undefined) {
      await sleep(clock, addJitter(retryIntervalMs, random), signal);
      continue;
    }
    if (!isWatcher(neighbourhood())) continue;
    const watched = await record.waitForDecision(revision, watchIntervalMs, signal);
    if (watched.isErr()) await sleep(clock, addJitter(retryIntervalMs, random), signal);
  }
}

/**
 * Reads new decisions and confirms the head; returns the store revision of the read, or undefined if the
 * key-value service failed.
 */
async function confirmHead(options: RecordWatchOptions): Promise<Revision | undefined> {
  const {record, readSnapshot, feed, clock, logger, onConfirmed} = options;
  if (feed.head.number === 0) {
    // Without a snapshot, a new process would replay the record from its first ticket.
    const snapshot = await readSnapshot();
    if (snapshot.isOk() && snapshot.value !== undefined) feed.installSnapshot(snapshot.value);
  }
  const startedAtMs = clock.now();
  const page = await record.readDecided(feed.head.number);
  if (page.isErr()) {
    logger.debug('reading the record failed', {reason: page.error.message});
    return undefined;
  }
  const {unreadable, revision} = page.value;
  for (const {message} of unreadable)
    logger.warn('unreadable record entry ignored', {reason: message});
  // A decision that does not follow the head is treated as missing; an entry will replace it with a valid one.
  const decided = decidedTickets(page.value);
  feed.acceptAll(decided);
  // In a compacted record, a page may end before the newest decision.
  const newest = page.value.decisions.at(-1)?.number ?? 0;
  const isPartial = feed.head.number === decided.at(-1)?.ticket.number && newest > feed.head.number;
  if (isPartial) return confirmHead(options);
  feed.confirm(feed.head.number, clock.now() - startedAtMs);
  onConfirmed();
  return revision;
}

/** Milliseconds until a process that is not a watcher reads the key-value service. */
function remainingMs(
  {feed, clock}: RecordWatchOptions,
  limitMs: number,
  attemptedAtMs: number,
): number {
  const ageMs = feed.confirmationAgeMs ?? Number.POSITIVE_INFINITY;
  const sinceAttemptMs = clock.now() - attemptedAtMs;
  return limitMs - Math.min(ageMs, sinceAttemptMs);
}

/** Lengthens an interval by up to `jitterFraction` at random, so that processes do not act simultaneously. */
function addJitter(intervalMs: number, random: Random): number {
  return intervalMs * (1 + jitterFraction * random());
}
