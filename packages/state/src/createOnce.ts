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
export type ExistingEntryClass = 'same' | 'taken' | 'invalid';

/** What is written, and how an existing value is judged. */
export interface CreateOptions {
  readonly key: string;
  readonly value: unknown;
  readonly classifyExisting: (existing: KeyValueEntry) => ExistingEntryClass;
  readonly conflictError: (existing: KeyValueEntry) => RecordError;
}

const MAX_ATTEMPTS = 4;

/** Creates the value unless a valid one is there; a lost answer is settled by reading back. */
export async function createOnce(
  store: KeyValue,
  creation: CreateOptions,
): Promise<Result<void, RecordError>> {
  const {key, classifyExisting, conflictError} = creation;
  const text = JSON.stringify(creation.value);
  let ifRevision = 0;
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
    const answer = await store.write(key, text, {ifRevision});
    if (answer.isErr()) return resolveUncertainWrite(store, creation, answer.error);
    if (answer.value.kind === 'written') return ok(undefined);
    const {current} = answer.value;
    if (current === undefined) {
      ifRevision = 0;
      continue;
    }
    const verdict = classifyExisting(current);
    if (verdict === 'same') return ok(undefined);
    if (verdict === 'taken') return err(conflictError(current));
    // An invalid value is replaced by compare-and-swap: of two that replace it, one succeeds.
    ifRevision = current.revision;
  }
  const message = `${key} is written by others at the same time; try again`;
  return err({code: 'store', message, mayHaveTakenEffect: false});
}

async function resolveUncertainWrite(
  store: KeyValue,
  {key, classifyExisting, conflictError}: CreateOptions,
  error: StoreError,
): Promise<Result<void, RecordError>> {
  if (!error.mayHaveTakenEffect) return err(toRecordError(error));
  const existing = await store.get(key);
  // The write may still take effect after a read that does not find it.
  if (existing.isErr() || existing.value === undefined) return err(toRecordError(error));
  const verdict = classifyExisting(existing.value);
  if (verdict === 'same') return ok(undefined);
  if (verdict === 'taken') return err(conflictError(existing.value));
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
