/** Creates a key in the key-value service unless the key already has a valid value. */
import {err, ok, type Result} from 'neverthrow';
import type {KeyValue, KeyValueEntry, StoreError} from './keyValue.js';
import type {RevisionCondition} from './revision.js';

/** Why reading or writing the record of tickets failed. */
export interface RecordError {
  readonly code: 'store' | 'number_taken' | 'already_decided' | 'corrupt';
  readonly message: string;
  /** Whether the write may have taken effect despite the error. */
  readonly mayHaveTakenEffect: boolean;
}

/** The existing value is the same as the new one, a different valid one (`taken`), or invalid. */
export type ExistingEntryClass = 'same' | 'taken' | 'invalid';

/** The value to create, and how an existing value is handled. */
export interface CreateOptions {
  readonly key: string;
  readonly value: unknown;
  readonly classifyExisting: (existing: KeyValueEntry) => ExistingEntryClass;
  readonly conflictError: (existing: KeyValueEntry) => RecordError;
}

const MAX_ATTEMPTS = 4;

/** Creates the value unless a valid one exists; after a lost response the key is read back. */
export async function createOnce(
  store: KeyValue,
  options: CreateOptions,
): Promise<Result<void, RecordError>> {
  const {key, classifyExisting, conflictError} = options;
  const text = JSON.stringify(options.value);
  let ifRevision: RevisionCondition = 0;
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
    const result = await store.write(key, text, {ifRevision});
    if (result.isErr()) return resolveUncertainWrite(store, options, result.error);
    if (result.value.kind === 'written') return ok(undefined);
    const {current} = result.value;
    if (current === undefined) {
      ifRevision = 0;
      continue;
    }
    const existingClass = classifyExisting(current);
    if (existingClass === 'same') return ok(undefined);
    if (existingClass === 'taken') return err(conflictError(current));
    // An invalid value is replaced by compare-and-swap, so only one of several concurrent writers succeeds.
    ifRevision = current.revision;
  }
  const message = `${key} is being written concurrently; try again`;
  return err({code: 'store', message, mayHaveTakenEffect: false});
}

async function resolveUncertainWrite(
  store: KeyValue,
  {key, classifyExisting, conflictError}: CreateOptions,
  error: StoreError,
): Promise<Result<void, RecordError>> {
  if (!error.mayHaveTakenEffect) return err(toRecordError(error));
  const existing = await store.get(key);
  // The write may still take effect after a read that did not find it.
  if (existing.isErr() || existing.value === undefined) return err(toRecordError(error));
  const existingClass = classifyExisting(existing.value);
  if (existingClass === 'same') return ok(undefined);
  if (existingClass === 'taken') return err(conflictError(existing.value));
  return err(toRecordError(error));
}

/** Converts an error of the key-value service; drops the error code. */
export function toRecordError({message, mayHaveTakenEffect}: StoreError): RecordError {
  return {code: 'store', message, mayHaveTakenEffect};
}

/** Parses the value of an entry as JSON; undefined when it is invalid. */
export function parseEntry(entry: KeyValueEntry): unknown {
  try {
    return JSON.parse(entry.value) as unknown;
  } catch {
    return undefined;
  }
}
