/** The record of reported windows in the key-value service. */
import type {KeyValueEntry} from '@marigoldfold/state';
import {z} from 'zod';
import {hash64} from '../hash.js';
import type {UsageCounts} from './usageCounter.js';

/** Counts chosen for a window. */
export interface RecordedWindow {
  readonly counts: UsageCounts;
  /** Whether the duty service is known to have accepted the counts. */
  readonly isAccepted: boolean;
}

const recordSchema = z.object({
  /** Number of the window, its counts, and 1 if they were accepted. */
  windows: z.array(z.tuple([z.number().int(), z.record(z.string(), z.number()), z.number()])),
});

/** Encodes windows for the store, in order of their numbers. */
export function encodeRecord(windows: ReadonlyMap<number, RecordedWindow>): string {
  const sorted = [...windows].sort(([a], [b]) => a - b);
  const encoded = sorted.map(([window, {counts, isAccepted}]) => [
    window,
    counts,
    isAccepted ? 1 : 0,
  ]);
  return JSON.stringify({windows: encoded});
}

/** Decodes the store's entry; empty if there is none, undefined if it cannot be read. */
export function decodeRecord(
  entry: Pick<KeyValueEntry, 'value'> | undefined,
): ReadonlyMap<number, RecordedWindow> | undefined {
  if (entry === undefined || entry.value === '') return new Map();
  try {
    const {windows} = recordSchema.parse(JSON.parse(entry.value));
    return new Map(
      windows.map(([window, counts, accepted]) => [window, {counts, isAccepted: accepted === 1}]),
    );
  } catch {
    return undefined;
  }
}

/** Digest of the counts of a window, by which instances compare what they have seen; 32 bits, to keep messages short. */
export function digestCounts(counts: UsageCounts): number {
  const sorted = Object.entries(counts).sort(([a], [b]) => (a < b ? -1 : 1));
  return Number(BigInt.asUintN(32, hash64(JSON.stringify(sorted))));
}
