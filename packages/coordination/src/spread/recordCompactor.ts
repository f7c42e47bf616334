/**
 * Compacts the ticket record: merges older tickets into segments
 * and writes snapshots. Several processes may do so concurrently.
 */
import type {Logger, Random} from '@marigoldfold/runtime';
import {
  selectSegmentTickets,
  decidedTickets,
  decisionKey,
  decisionPrefix,
  type KeyValue,
  maxSegmentTickets,
  openRecord,
  readManifest,
  removeEntries,
  removeSnapshot,
  shardCount,
  ticketKey,
  ticketPrefix,
  writeManifest,
  writeSegment,
  writeSnapshot,
} from '@marigoldfold/state';
import type {ConfigurationFeed} from '../configurationFeed.js';

/** Number of newest tickets that are not merged into segments and keep a key each. */
export const uncompactedTickets = 512;

/** Number of tickets between two snapshots. */
export const snapshotIntervalTickets = 1024;

/**
 * Maximum random offset, in tickets, that each process adds to the compaction threshold, so that usually only one
 * of them compacts.
 */
const MAX_OFFSET_TICKETS = 64;

/** Key-value service, random source and logger of a record compactor. */
export interface RecordCompactorOptions {
  readonly store: KeyValue;
  readonly feed: ConfigurationFeed;
  readonly random: Random;
  readonly logger: Logger;
}

/** Compacts the record in the key-value service; run by watchers. */
export class RecordCompactor {
  readonly #options: RecordCompactorOptions;
  #compactedThrough = 0;
  #offset: number;
  #isBusy = false;

  constructor(options: RecordCompactorOptions) {
    this.#options = options;
    this.#offset = this.#drawOffset();
  }

  /** Compacts if enough tickets have accumulated; after a failure the next call retries. */
  async compact(): Promise<void> {
    const {number} = this.#options.feed.head;
    const due = this.#compactedThrough + uncompactedTickets + maxSegmentTickets + this.#offset;
    if (this.#isBusy || number < due) return;
    this.#isBusy = true;
    await this.#compactSegment();
    this.#offset = this.#drawOffset();
    this.#isBusy = false;
  }

  #drawOffset(): number {
    return Math.floor(this.#options.random() * MAX_OFFSET_TICKETS);
  }

  async #compactSegment(): Promise<void> {
    const {store, feed, logger} = this.#options;
    const stored = await readManifest(store);
    if (stored.isErr()) return;
    const {manifest, revision} = stored.value;
    this.#compactedThrough = manifest.foldedThrough;
    // First removes entries that an interrupted run compacted but did not delete.
    await removeCompacted(store, manifest.foldedThrough);
    const {number} = feed.head;
    if (number < manifest.foldedThrough + uncompactedTickets + maxSegmentTickets) return;
    const page = await openRecord(store).read(manifest.foldedThrough, maxSegmentTickets);
    if (page.isErr()) return;
    const segment = selectSegmentTickets(decidedTickets(page.value));
    const last = segment.at(-1)?.ticket.number;
    if (last === undefined || last > number) return;
    if ((await writeSegment(store, segment)).isErr()) return;
    const snapshot = await this.#snapshotIfDue(manifest.snapshot);
    const next = {
      foldedThrough: last,
      snapshot,
      previousSnapshot:
        snapshot === manifest.snapshot ? manifest.previousSnapshot : manifest.snapshot,
    };
    const written = await writeManifest(store, next, revision);
    if (written.isErr() || !written.value) return;
    this.#compactedThrough = last;
    logger.info('record compacted', {through: last, snapshot});
    await removeCompacted(store, last);
    if (next.previousSnapshot !== manifest.previousSnapshot) {
      await removeSnapshot(store, manifest.previousSnapshot);
    }
  }

  /** Writes a snapshot if one is due; returns the number of the newest snapshot. */
  async #snapshotIfDue(newest: number): Promise<number> {
    const {store, feed} = this.#options;
    const provenHead = feed.provenHead();
    if (provenHead === undefined || provenHead.head.number < newest + snapshotIntervalTickets)
      return newest;
    const {configuration, number} = provenHead.head;
    const shards = Array.from({length: shardCount}, (_, index) => configuration.shard(index));
    const written = await writeSnapshot(store, {proof: provenHead.proof, shards});
    return written.isOk() ? number : newest;
  }
}

async function removeCompacted(store: KeyValue, through: number): Promise<void> {
  if (through === 0) return;
  // Tickets are removed before decisions: readers treat a missing ticket as compacted, but a missing decision as still
  // to be made.
  await removeEntries(store, ticketPrefix, ticketKey(through));
  const tickets = await store.list(ticketPrefix, {limit: 1});
  const first = tickets.isOk() ? tickets.value.entries[0] : undefined;
  if (first === undefined || first.key <= ticketKey(through)) return;
  await removeEntries(store, decisionPrefix, decisionKey(through));
}
