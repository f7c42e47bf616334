/** The platform's key-value service, as the rest of the system sees it. */
import type {Result} from 'neverthrow';

/** A key with its value; a watch reports a removed key with an empty value. */
export interface KeyValueEntry {
  readonly key: string;
  readonly value: string;
  /** Revision of the write that brought the value. */
  readonly revision: number;
}

/** Why an operation has no answer. */
export interface StoreError {
  /** `history_lost`: the changes since the revision of a watch are not kept any more. */
  readonly code: 'unavailable' | 'timed_out' | 'rejected' | 'history_lost';
  readonly message: string;
  /** Whether a write may have taken effect all the same. */
  readonly mayHaveTakenEffect: boolean;
}

/** What became of a conditional write. */
export type WriteOutcome =
  | {readonly kind: 'written'; readonly revision: number}
  /** The condition did not hold; `current` is absent when the key is. */
  | {readonly kind: 'conflict'; readonly current: KeyValueEntry | undefined};

/** Options of a write. */
export interface WriteOptions {
  /** The write happens only if the key's revision is this one; 0 means that the key is absent. */
  readonly ifRevision: number;
  /** Lease that removes the key when it lapses. */
  readonly lease?: string;
}

/** Entries below a prefix and the revision at which they were read. */
export interface Listing {
  readonly entries: readonly KeyValueEntry[];
  readonly revision: number;
}

/** Options of a listing. */
export interface ListOptions {
  /** First key; the prefix itself when absent. */
  readonly from?: string;
  readonly limit?: number;
}

/** Options of a waiting watch. */
export interface WatchOptions {
  /** Changes after this revision are reported. */
  readonly afterRevision: number;
  readonly timeoutMs: number;
  readonly signal?: AbortSignal;
}

/** Each method is one call of the service; a waiting watch is one call as well. */
export interface KeyValue {
  get(key: string): Promise<Result<KeyValueEntry | undefined, StoreError>>;
  list(prefix: string, options?: ListOptions): Promise<Result<Listing, StoreError>>;
  write(
    key: string,
    value: string,
    options: WriteOptions,
  ): Promise<Result<WriteOutcome, StoreError>>;
  remove(key: string, ifRevision: number): Promise<Result<WriteOutcome, StoreError>>;
  /** Resolves on the first change below a prefix, or with no change when the time is over. */
  watch(prefix: string, options: WatchOptions): Promise<Result<Listing, StoreError>>;
  /** Grants a lease for a number of seconds and returns its id. */
  grantLease(ttlSeconds: number): Promise<Result<string, StoreError>>;
  /** Renews a lease; false when it has lapsed. */
  renewLease(lease: string): Promise<Result<boolean, StoreError>>;
  revokeLease(lease: string): Promise<Result<void, StoreError>>;
}
