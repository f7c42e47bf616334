/**
 * Archive of the record: older tickets are combined into segments, and the configuration is stored as snapshots; each
 * value stays below the store's size limit.
 */
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {type RecordError, parseEntry, toRecordError} from './createOnce.js';
import {canonicalJson} from './digest.js';
import type {ShardContent} from './configuration.js';
import type {KeyValue, KeyValueEntry} from './keyValue.js';
import {type Snapshot, shardContentSchema, snapshotProofSchema} from './snapshot.js';
import {type DecidedTicket, decidedTicketSchema} from './ticket.js';
import type {RevisionCondition} from './revision.js';

/** Size limit of one value in bytes; the key-value service accepts up to 1 MB. */
export const maxValueBytes = 786_432;

/** Maximum number of tickets in one segment. */
export const maxSegmentTickets = 256;

const MANIFEST_KEY = 'archive/manifest';
const SEGMENT_PREFIX = 'segments/';
const SNAPSHOT_PREFIX = 'snapshots/';
const NUMBER_DIGITS = 10;
const GROUP_DIGITS = 4;

const manifestSchema = z.object({
  /** Every ticket up to this number is in a segment. */
  foldedThrough: z.int().min(0),
  /** Ticket number of the newest complete snapshot; 0 when there is none. */
  snapshot: z.int().min(0),
  /** Ticket number of the snapshot before it, kept for processes that are still reading it. */
  previousSnapshot: z.int().min(0),
});

/** Index of the archive's segments and snapshots. */
export type ArchiveManifest = Readonly<z.infer<typeof manifestSchema>>;

/** The manifest with its store revision, the condition for the next write. */
export interface VersionedManifest {
  readonly manifest: ArchiveManifest;
  readonly revision: RevisionCondition;
}

const segmentSchema = z.object({tickets: z.array(decidedTicketSchema).min(1)});
const groupSchema = z.object({
  proof: snapshotProofSchema,
  /** Total number of groups of shards in the snapshot. */
  groups: z.int().min(1),
  shards: z.array(shardContentSchema),
});

const emptyManifest: ArchiveManifest = {foldedThrough: 0, snapshot: 0, previousSnapshot: 0};

/** Reads the manifest; an invalid one is treated as empty, and a later write replaces it. */
export async function readManifest(
  store: KeyValue,
): Promise<Result<VersionedManifest, RecordError>> {
  const entry = await store.get(MANIFEST_KEY);
  if (entry.isErr()) return err(toRecordError(entry.error));
  if (entry.value === undefined) return ok({manifest: emptyManifest, revision: 0});
  const manifest = manifestSchema.safeParse(parseEntry(entry.value)).data ?? emptyManifest;
  return ok({manifest, revision: entry.value.revision});
}

/** Replaces the manifest; false when it was changed concurrently. */
export async function writeManifest(
  store: KeyValue,
  manifest: ArchiveManifest,
  ifRevision: RevisionCondition,
): Promise<Result<boolean, RecordError>> {
  const result = await store.write(MANIFEST_KEY, JSON.stringify(manifest), {ifRevision});
  return result.map(({kind}) => kind === 'written').mapErr(toRecordError);
}

/** Selects as many leading tickets as fit into one segment; every process selects the same. */
export function selectSegmentTickets(tickets: readonly DecidedTicket[]): readonly DecidedTicket[] {
  const selected: DecidedTicket[] = [];
  let bytes = 0;
  for (const decided of tickets.slice(0, maxSegmentTickets)) {
    bytes += Buffer.byteLength(JSON.stringify(decided)) + 1;
    if (bytes > maxValueBytes) break;
    selected.push(decided);
  }
  return selected;
}

/** Writes a segment; succeeds when the same segment already exists. */
export async function writeSegment(
  store: KeyValue,
  tickets: readonly DecidedTicket[],
): Promise<Result<void, RecordError>> {
  const first = tickets[0];
  if (first === undefined) return ok(undefined);
  return writeValue(store, segmentKey(first.ticket.number), {tickets});
}

/** Reads decided tickets from the segment that contains a number, and from later ones up to `limit`. */
export async function readSegments(
  store: KeyValue,
  number: number,
  limit = 1,
): Promise<Result<readonly DecidedTicket[], RecordError>> {
  const from = segmentKey(Math.max(1, number - maxSegmentTickets + 1));
  const listing = await store.list(SEGMENT_PREFIX, {from, limit: limit + MAX_OVERLAPPING_SEGMENTS});
  if (listing.isErr()) return err(toRecordError(listing.error));
  const tickets: DecidedTicket[] = [];
  for (const entry of listing.value.entries) {
    const segment = segmentSchema.safeParse(parseEntry(entry));
    if (!segment.success) break;
    for (const decided of segment.data.tickets) {
      if (decided.ticket.number === number + tickets.length) tickets.push(decided);
    }
  }
  return ok(tickets);
}

/**
 * Additional segments to list, because up to this many may start at most one segment length before the requested
 * ticket.
 */
const MAX_OVERLAPPING_SEGMENTS = 2;

/** Writes a snapshot as groups of shards; readers use it once the manifest refers to it. */
export async function writeSnapshot(
  store: KeyValue,
  {proof, shards}: Snapshot,
): Promise<Result<void, RecordError>> {
  const groups = groupShards(shards);
  const {number} = proof.last.ticket;
  for (const [index, group] of groups.entries()) {
    const value = {proof, groups: groups.length, shards: group};
    const written = await writeValue(store, groupKey(number, index), value);
    if (written.isErr()) return written;
  }
  return ok(undefined);
}

/** Reads the newest snapshot; undefined when none is complete. The caller must verify it. */
export async function readSnapshot(
  store: KeyValue,
): Promise<Result<Snapshot | undefined, RecordError>> {
  const manifestResult = await readManifest(store);
  if (manifestResult.isErr()) return err(manifestResult.error);
  const {snapshot} = manifestResult.value.manifest;
  if (snapshot === 0) return ok(undefined);
  const shards: ShardContent[] = [];
  let [index, groups] = [0, 1];
  let proof: Snapshot['proof'] | undefined;
  while (index < groups) {
    const entry = await store.get(groupKey(snapshot, index));
    if (entry.isErr()) return err(toRecordError(entry.error));
    if (entry.value === undefined) return ok(undefined);
    const group = groupSchema.safeParse(parseEntry(entry.value));
    if (!group.success) return ok(undefined);
    ({groups} = group.data);
    proof ??= group.data.proof;
    for (const shard of group.data.shards) shards.push(shard);
    index += 1;
  }
  return ok(proof === undefined ? undefined : {proof, shards});
}

/** Removes the values of a snapshot that no process reads any more. */
export async function removeSnapshot(store: KeyValue, number: number): Promise<void> {
  if (number > 0)
    await removeEntries(store, `${SNAPSHOT_PREFIX}${padNumber(number, NUMBER_DIGITS)}/`);
}

/** Removes a batch of entries with a prefix, up to and including a key; stops silently on an error. */
export async function removeEntries(
  store: KeyValue,
  prefix: string,
  lastKey?: string,
): Promise<void> {
  const listing = await store.list(prefix, {limit: 2 * maxSegmentTickets});
  if (listing.isErr()) return;
  for (const {key, revision} of listing.value.entries) {
    if (lastKey !== undefined && key > lastKey) return;
    const removed = await store.remove(key, revision);
    if (removed.isErr()) return;
  }
}

/** Combines adjacent shards into groups that each fit into one value of the key-value service. */
export function groupShards(shards: readonly ShardContent[]): readonly (readonly ShardContent[])[] {
  const groups: ShardContent[][] = [];
  let bytes = Number.POSITIVE_INFINITY;
  for (const shard of shards) {
    const size = Buffer.byteLength(JSON.stringify(shard)) + 1;
    bytes += size;
    // Leaves room for the proof, which is part of each group, and for two tickets of the maximum size.
    if (bytes > MAX_GROUP_BYTES) {
      groups.push([]);
      bytes = size;
    }
    groups.at(-1)?.push(shard);
  }
  return groups;
}

const MAX_GROUP_BYTES = 524_288;

/** Writes a value that any process can derive from the record, so a different existing value is replaced. */
async function writeValue(
  store: KeyValue,
  key: string,
  value: unknown,
): Promise<Result<void, RecordError>> {
  const text = JSON.stringify(value);
  const result = await store.write(key, text, {ifRevision: 0});
  if (result.isErr()) return err(toRecordError(result.error));
  if (result.value.kind === 'written') return ok(undefined);
  const {current} = result.value;
  if (current === undefined || hasSameJson(current, value)) return ok(undefined);
  const replaced = await store.write(key, text, {ifRevision: current.revision});
  return replaced.map(() => undefined).mapErr(toRecordError);
}

function hasSameJson(entry: KeyValueEntry, value: unknown): boolean {
  return canonicalJson(parseEntry(entry)) === canonicalJson(value);
}

function segmentKey(first: number): string {
  return SEGMENT_PREFIX + padNumber(first, NUMBER_DIGITS);
}

function groupKey(number: number, index: number): string {
  return `${SNAPSHOT_PREFIX}${padNumber(number, NUMBER_DIGITS)}/${padNumber(index, GROUP_DIGITS)}`;
}

function padNumber(number: number, digits: number): string {
  return String(number).padStart(digits, '0');
}
