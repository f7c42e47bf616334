/** Folds older tickets into segments and writes snapshots. Any watcher may do it, and two at once do no harm. */
import type {Logger, Random} from '@marigoldfold/runtime';
import {
  cutSegment,
  decidedTickets,
  decisionKey,
  decisionPrefix,
  type KeyValue,
  maxSegmentTickets,
  openRecord,
  readManifest,
  removeAll,
  removeSnapshot,
  shardCount,
  ticketKey,
  ticketPrefix,
  writeManifest,
  writeSegment,
  writeSnapshot,
} from '@marigoldfold/state';
import type {ConfigurationFeed} from '../configurationFeed.js';

/** Tickets that stay under keys of their own. */
export const uncompactedTickets = 512;

/** Tickets between two snapshots. */
export const snapshotIntervalTickets = 1024;

/** Tickets by which the processes wait differently, so that mostly one of them does the work. */
const MAX_OFFSET_TICKETS = 64;

/** What the keeping needs. */
export interface RecordCompactorOptions {
  readonly store: KeyValue;
  readonly feed: ConfigurationFeed;
  readonly random: Random;
  readonly logger: Logger;
}

/** Keeps the record small. */
export class RecordCompactor {
  readonly #options: RecordCompactorOptions;
  #compactedThrough = 0;
  #offset: number;
  #isBusy = false;

  constructor(options: RecordCompactorOptions) {
    this.#options = options;
    this.#offset = this.#drawOffset();
  }

  /** Does what is due; a failure is made up for the next time. */
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
    const held = await readManifest(store);
    if (held.isErr()) return;
    const {manifest, revision} = held.value;
    this.#compactedThrough = manifest.foldedThrough;
    // What an interrupted run has left behind is removed first.
    await removeCompacted(store, manifest.foldedThrough);
    const {number} = feed.head;
    if (number < manifest.foldedThrough + uncompactedTickets + maxSegmentTickets) return;
    const page = await openRecord(store).read(manifest.foldedThrough, maxSegmentTickets);
    if (page.isErr()) return;
    const segment = cutSegment(decidedTickets(page.value));
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
    logger.info('record folded', {through: last, snapshot});
    await removeCompacted(store, last);
    if (next.previousSnapshot !== manifest.previousSnapshot) {
      await removeSnapshot(store, manifest.previousSnapshot);
    }
  }

  /** Number of the newest snapshot after writing one if it is time. */
  async #snapshotIfDue(newest: number): Promise<number> {
    const {store, feed} = this.#options;
    const proven = feed.provenHead();
    if (proven === undefined || proven.head.number < newest + snapshotIntervalTickets)
      return newest;
    const {configuration, number} = proven.head;
    const shards = Array.from({length: shardCount}, (_, index) => configuration.shard(index));
    const written = await writeSnapshot(store, {proof: proven.proof, shards});
    return written.isOk() ? number : newest;
  }
}

async function removeCompacted(store: KeyValue, through: number): Promise<void> {
  if (through === 0) return;
  // Tickets first: a reader takes a missing ticket for folded, a missing decision for not yet made.
  await removeAll(store, ticketPrefix, ticketKey(through));
  const tickets = await store.list(ticketPrefix, {limit: 1});
  const first = tickets.isOk() ? tickets.value.entries[0] : undefined;
  if (first === undefined || first.key <= ticketKey(through)) return;
  await removeAll(store, decisionPrefix, decisionKey(through));
}
