/** Older parts of the record: tickets folded into segments, and snapshots, each value below the service's limit. */
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {type RecordError, parseEntry, toRecordError} from './createOnce.js';
import {canonicalJson} from './digest.js';
import type {ShardContent} from './configuration.js';
import type {KeyValue, KeyValueEntry} from './keyValue.js';
import {type Snapshot, shardContentSchema, snapshotProofSchema} from './snapshot.js';
import {type DecidedTicket, decidedTicketSchema} from './ticket.js';

/** Bytes of one value; the service takes up to a megabyte. */
export const maxValueBytes = 786_432;

/** Tickets of one segment at most. */
export const maxSegmentTickets = 256;

const MANIFEST_KEY = 'archive/manifest';
const SEGMENT_PREFIX = 'segments/';
const SNAPSHOT_PREFIX = 'snapshots/';
const NUMBER_DIGITS = 10;
const GROUP_DIGITS = 4;

const manifestSchema = z.object({
  /** Every ticket up to this number is in a segment. */
  foldedThrough: z.int().min(0),
  /** Number of the newest whole snapshot; 0 when there is none. */
  snapshot: z.int().min(0),
  /** Number of the snapshot before it, kept for those who are reading it. */
  previousSnapshot: z.int().min(0),
});

/** What the archive holds. */
export type ArchiveManifest = Readonly<z.infer<typeof manifestSchema>>;

/** The manifest with the revision that a change of it is made on. */
export interface VersionedManifest {
  readonly manifest: ArchiveManifest;
  readonly revision: number;
}

const segmentSchema = z.object({tickets: z.array(decidedTicketSchema).min(1)});
const groupSchema = z.object({
  proof: snapshotProofSchema,
  /** Number of all groups of the snapshot. */
  groups: z.int().min(1),
  shards: z.array(shardContentSchema),
});

const emptyManifest: ArchiveManifest = {foldedThrough: 0, snapshot: 0, previousSnapshot: 0};

/** Reads the manifest; an unreadable one counts as empty and is replaced. */
export async function readManifest(
  store: KeyValue,
): Promise<Result<VersionedManifest, RecordError>> {
  const entry = await store.get(MANIFEST_KEY);
  if (entry.isErr()) return err(toRecordError(entry.error));
  if (entry.value === undefined) return ok({manifest: emptyManifest, revision: 0});
  const manifest = manifestSchema.safeParse(parseEntry(entry.value)).data ?? emptyManifest;
  return ok({manifest, revision: entry.value.revision});
}

/** Replaces the manifest; false when somebody else has changed it. */
export async function writeManifest(
  store: KeyValue,
  manifest: ArchiveManifest,
  ifRevision: number,
): Promise<Result<boolean, RecordError>> {
  const answer = await store.write(MANIFEST_KEY, JSON.stringify(manifest), {ifRevision});
  return answer.map(({kind}) => kind === 'written').mapErr(toRecordError);
}

/** The tickets that the next segment holds: as many as fit, counted from the first. Everybody cuts alike. */
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

/** Writes a segment; one that is there already with the same tickets is fine. */
export async function writeSegment(
  store: KeyValue,
  tickets: readonly DecidedTicket[],
): Promise<Result<void, RecordError>> {
  const first = tickets[0];
  if (first === undefined) return ok(undefined);
  return writeValue(store, segmentKey(first.ticket.number), {tickets});
}

/** Decided tickets from the segment that holds a number, and from as many behind it as one answer takes. */
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

/** Segments that may begin before a number within the length of one. */
const MAX_OVERLAPPING_SEGMENTS = 2;

/** Writes the groups of a snapshot; the manifest makes it count afterwards. */
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

/** Reads the newest snapshot; undefined when there is none that is whole. The caller checks it. */
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
    shards.push(...group.data.shards);
    index += 1;
  }
  return ok(proof === undefined ? undefined : {proof, shards});
}

/** Removes the groups of a snapshot that nobody reads any more. */
export async function removeSnapshot(store: KeyValue, number: number): Promise<void> {
  if (number > 0)
    await removeEntries(store, `${SNAPSHOT_PREFIX}${padNumber(number, NUMBER_DIGITS)}/`);
}

/** Removes entries below a prefix, up to a key. */
export async function removeEntries(store: KeyValue, prefix: string, upTo?: string): Promise<void> {
  const listing = await store.list(prefix, {limit: 2 * maxSegmentTickets});
  if (listing.isErr()) return;
  for (const {key, revision} of listing.value.entries) {
    if (upTo !== undefined && key > upTo) return;
    const removed = await store.remove(key, revision);
    if (removed.isErr()) return;
  }
}

/** Groups neighbouring shards so that each group fits into a value. */
export function groupShards(shards: readonly ShardContent[]): readonly (readonly ShardContent[])[] {
  const groups: ShardContent[][] = [];
  let bytes = Number.POSITIVE_INFINITY;
  for (const shard of shards) {
    const size = Buffer.byteLength(JSON.stringify(shard)) + 1;
    bytes += size;
    // The proof stands in each group, and two tickets of the largest size fit beside the shards.
    if (bytes > MAX_GROUP_BYTES) {
      groups.push([]);
      bytes = size;
    }
    groups.at(-1)?.push(shard);
  }
  return groups;
}

const MAX_GROUP_BYTES = 524_288;

/** Creates a value whose contents follow from the record; another one under its key is replaced. */
async function writeValue(
  store: KeyValue,
  key: string,
  value: unknown,
): Promise<Result<void, RecordError>> {
  const text = JSON.stringify(value);
  const answer = await store.write(key, text, {ifRevision: 0});
  if (answer.isErr()) return err(toRecordError(answer.error));
  if (answer.value.kind === 'written') return ok(undefined);
  const {current} = answer.value;
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
