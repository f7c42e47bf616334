/** Reads the record in the key-value service: all the time at watchers, and elsewhere when no confirmation comes. */
import {type Clock, isAborted, type Logger, type Random, sleep} from '@marigoldfold/runtime';
import {
  decidedTickets,
  type RecordError,
  type Snapshot,
  type TicketRecord,
} from '@marigoldfold/state';
import type {Result} from 'neverthrow';
import type {ConfigurationFeed} from '../configurationFeed.js';
import {ageLimitMs, isWatcher, type Neighbourhood} from './neighbourhood.js';
import {
  jitterFraction,
  isolatedIntervalMs,
  rankDelayMs,
  retryIntervalMs,
  watchIntervalMs,
} from './timing.js';

/** What the watch needs. */
export interface RecordWatchOptions {
  readonly record: TicketRecord;
  /** Reads the newest snapshot of the service. */
  readonly readSnapshot: () => Promise<Result<Snapshot | undefined, RecordError>>;
  readonly feed: ConfigurationFeed;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly neighbourhood: () => Neighbourhood;
  /** Called after the head was confirmed here. */
  readonly onConfirmed: () => void;
}

/** Follows the record until the signal is aborted. */
export async function watchRecord(options: RecordWatchOptions, signal: AbortSignal): Promise<void> {
  const {record, clock, random, neighbourhood} = options;
  // Processes that know of no other begin at random times: after an outage they may be many.
  let triedAtMs = clock.now() - (neighbourhood().isIsolated ? isolatedIntervalMs * random() : 0);
  let slack = 1 + jitterFraction * random();
  while (!signal.aborted) {
    const place = neighbourhood();
    if (!isWatcher(place)) {
      const waitMs = remainingMs(options, ageLimitMs(place) * slack, triedAtMs);
      if (waitMs > 0) {
        // The place may change while waiting, so it is looked at again after a while.
        await sleep(clock, Math.min(waitMs, rankDelayMs), signal);
        continue;
      }
    }
    slack = 1 + jitterFraction * random();
    triedAtMs = clock.now();
    const revision = await confirmHead(options);
    if (isAborted(signal)) return;
    if (revision === undefined) {
      await sleep(clock, addJitter(retryIntervalMs, random), signal);
      continue;
    }
    if (!isWatcher(neighbourhood())) continue;
    const waited = await record.waitForDecision(revision, watchIntervalMs, signal);
    if (waited.isErr()) await sleep(clock, addJitter(retryIntervalMs, random), signal);
  }
}

/** Reads what is new in the record; returns the revision that it was read at, unless the service failed. */
async function confirmHead(options: RecordWatchOptions): Promise<number | undefined> {
  const {record, readSnapshot, feed, clock, logger, onConfirmed} = options;
  if (feed.head.number === 0) {
    // A newcomer without a snapshot would replay the record from its first ticket.
    const snapshot = await readSnapshot();
    if (snapshot.isOk() && snapshot.value !== undefined) feed.installSnapshot(snapshot.value);
  }
  const startedAtMs = clock.now();
  const page = await record.readDecided(feed.head.number);
  if (page.isErr()) {
    logger.debug('record not readable', {reason: page.error.message});
    return undefined;
  }
  const {unreadable, revision} = page.value;
  for (const {message} of unreadable) logger.warn('record entry ignored', {reason: message});
  // A decision that does not follow stands for none: an entry replaces it by a valid one.
  const decided = decidedTickets(page.value);
  feed.acceptAll(decided);
  // Of a record that is folded, a page may end before the newest decision.
  const newest = page.value.decisions.at(-1)?.number ?? 0;
  const isPart = feed.head.number === decided.at(-1)?.ticket.number && newest > feed.head.number;
  if (isPart) return confirmHead(options);
  feed.confirm(feed.head.number, clock.now() - startedAtMs);
  onConfirmed();
  return revision;
}

/** Milliseconds until a process that is no watcher asks the service. */
function remainingMs(
  {feed, clock}: RecordWatchOptions,
  limitMs: number,
  triedAtMs: number,
): number {
  const ageMs = feed.confirmationAgeMs ?? Number.POSITIVE_INFINITY;
  const sinceTryMs = clock.now() - triedAtMs;
  return limitMs - Math.min(ageMs, sinceTryMs);
}

/** An interval lengthened at random, so that processes do not act in step. */
function addJitter(intervalMs: number, random: Random): number {
  return intervalMs * (1 + jitterFraction * random());
}
