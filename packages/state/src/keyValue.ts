/** Interface of the platform's key-value service. */
import type {Result} from 'neverthrow';
import type {Revision, RevisionCondition} from './revision.js';

/** A key with its value; a watch reports a removed key with an empty value. */
export interface KeyValueEntry {
  readonly key: string;
  readonly value: string;
  /** Store revision of the write that set the value. */
  readonly revision: Revision;
}

/** An operation of the key-value service failed or its outcome is unknown. */
export interface StoreError {
  /**
   * `history_lost`: the changes since a watch's revision have been compacted. `restored`: the service has been restored
   * from an older copy since the revision or the lease of the call was obtained, so that they mean nothing.
   */
  readonly code: 'unavailable' | 'timed_out' | 'rejected' | 'history_lost' | 'restored';
  readonly message: string;
  /** Whether a write may have taken effect despite the error. */
  readonly mayHaveTakenEffect: boolean;
}

/** Outcome of a conditional write; `conflict` when the key does not have the required revision. */
export type WriteOutcome =
  | {readonly kind: 'written'; readonly revision: Revision}
  /** The revision differs; `current` is undefined when the key does not exist. */
  | {readonly kind: 'conflict'; readonly current: KeyValueEntry | undefined};

/** Condition and lease of a write. */
export interface WriteOptions {
  readonly ifRevision: RevisionCondition;
  /** Lease whose expiry removes the key. */
  readonly lease?: string;
}

/** Entries whose keys start with a prefix, and the store revision at which they were read. */
export interface Listing {
  /**
   * For a watch without changes: the time from the start of the call, in milliseconds, in which the service itself
   * saw no change. Undefined if the service does not state it.
   */
  readonly quietMs?: number;
  readonly entries: readonly KeyValueEntry[];
  readonly revision: Revision;
}

/** First key of a listing and its maximum number of entries. */
export interface ListOptions {
  /** First key of the listing; defaults to the prefix. */
  readonly from?: string;
  readonly limit?: number;
}

/** Start revision, timeout and abort signal of a watch. */
export interface WatchOptions {
  /** Only changes after this revision are reported. */
  readonly afterRevision: Revision;
  readonly timeoutMs: number;
  readonly signal?: AbortSignal;
}

/** The key-value service; each method, including a watch, makes one call. */
export interface KeyValue {
  get(key: string): Promise<Result<KeyValueEntry | undefined, StoreError>>;
  list(prefix: string, options?: ListOptions): Promise<Result<Listing, StoreError>>;
  write(
    key: string,
    value: string,
    options: WriteOptions,
  ): Promise<Result<WriteOutcome, StoreError>>;
  remove(key: string, ifRevision: RevisionCondition): Promise<Result<WriteOutcome, StoreError>>;
  /** Waits for changes of keys with a prefix; resolves with the first ones, or with none on timeout or abort. */
  watch(prefix: string, options: WatchOptions): Promise<Result<Listing, StoreError>>;
  /** Grants a lease and returns its id, which is valid in the era of the service only. */
  grantLease(ttlSeconds: number): Promise<Result<string, StoreError>>;
  /** Renews a lease; false when it has expired or the service has been restored since it was granted. */
  renewLease(lease: string): Promise<Result<boolean, StoreError>>;
  /** Revokes a lease; one of an earlier era is left alone, since its number may belong to another writer. */
  revokeLease(lease: string): Promise<Result<void, StoreError>>;
}
