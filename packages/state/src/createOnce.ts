/** Writes a value under a key that holds at most one valid value for all time. */
import {err, ok, type Result} from 'neverthrow';
import type {KeyValue, KeyValueEntry, StoreError} from './keyValue.js';

/** Why a record operation failed. */
export interface RecordError {
  readonly code: 'store' | 'number_taken' | 'already_decided' | 'corrupt';
  readonly message: string;
  /** Whether the write may have taken effect all the same. */
  readonly mayHaveTakenEffect: boolean;
}

/** What stands under the key: this very value, another valid one, or one that has no right to it. */
export type Verdict = 'same' | 'taken' | 'invalid';

/** What is written, and how an existing value is judged. */
export interface Creation {
  readonly key: string;
  readonly value: unknown;
  readonly judge: (existing: KeyValueEntry) => Verdict;
  readonly takenError: (existing: KeyValueEntry) => RecordError;
}

const MAX_ATTEMPTS = 4;

/** Creates the value unless a valid one is there; a lost answer is settled by reading back. */
export async function createOnce(
  store: KeyValue,
  creation: Creation,
): Promise<Result<void, RecordError>> {
  const {key, judge, takenError} = creation;
  const text = JSON.stringify(creation.value);
  let ifRevision = 0;
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
    const answer = await store.write(key, text, {ifRevision});
    if (answer.isErr()) return settleLostAnswer(store, creation, answer.error);
    if (answer.value.kind === 'written') return ok(undefined);
    const {current} = answer.value;
    if (current === undefined) {
      ifRevision = 0;
      continue;
    }
    const verdict = judge(current);
    if (verdict === 'same') return ok(undefined);
    if (verdict === 'taken') return err(takenError(current));
    // An invalid value is replaced by compare-and-swap: of two that replace it, one succeeds.
    ifRevision = current.revision;
  }
  const message = `${key} is written by others at the same time; try again`;
  return err({code: 'store', message, mayHaveTakenEffect: false});
}

async function settleLostAnswer(
  store: KeyValue,
  {key, judge, takenError}: Creation,
  error: StoreError,
): Promise<Result<void, RecordError>> {
  if (!error.mayHaveTakenEffect) return err(toRecordError(error));
  const existing = await store.get(key);
  // The write may still take effect after a read that does not find it.
  if (existing.isErr() || existing.value === undefined) return err(toRecordError(error));
  const verdict = judge(existing.value);
  if (verdict === 'same') return ok(undefined);
  if (verdict === 'taken') return err(takenError(existing.value));
  return err(toRecordError(error));
}

/** The error of a record operation for an error of the service. */
export function toRecordError({message, mayHaveTakenEffect}: StoreError): RecordError {
  return {code: 'store', message, mayHaveTakenEffect};
}

/** The JSON document of an entry; undefined when it is none. */
export function parseEntry(entry: KeyValueEntry): unknown {
  try {
    return JSON.parse(entry.value) as unknown;
  } catch {
    return undefined;
  }
}
