/** An in-memory key-value service with compare-and-swap, leases and watches. */
import {type Clock, sleep} from '@marigoldfold/runtime';
import {
  decodeLease,
  encodeLease,
  eraOfCondition,
  isLater,
  type KeyValue,
  type KeyValueEntry,
  type Listing,
  type ListOptions,
  numberOfCondition,
  type Revision,
  type RevisionCondition,
  type StoreError,
  type WatchOptions,
  type WriteOptions,
  type WriteOutcome,
} from '@marigoldfold/state';
import {err, ok, type Result} from 'neverthrow';

interface StoredEntry {
  readonly entry: KeyValueEntry;
  readonly lease: string | undefined;
}

interface Lease {
  readonly ttlMs: number;
  readonly expiresAtMs: number;
}

/** Contents of a service at one moment, from which it can be restored. */
export interface KeyValueCopy {
  readonly stored: ReadonlyMap<string, StoredEntry>;
  readonly leases: ReadonlyMap<string, Lease>;
  readonly historyLength: number;
  readonly revisionNumber: number;
  readonly leaseSequence: number;
}

interface Waiter {
  readonly prefix: string;
  readonly wake: () => void;
}

const MS_PER_SECOND = 1000;

/** The in-memory service; every write and removal increments the revision. */
export class MemoryKeyValue implements KeyValue {
  readonly #clock: Clock;
  readonly #stored = new Map<string, StoredEntry>();
  readonly #leases = new Map<string, Lease>();
  readonly #history: KeyValueEntry[] = [];
  #era = 1;
  readonly #waiters = new Set<Waiter>();
  #revisionNumber = 1;
  #leaseSequence = 0;
  /** Number of calls received; a watch counts once. */
  callCount = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  get(key: string): Promise<Result<KeyValueEntry | undefined, StoreError>> {
    this.#beginCall();
    return Promise.resolve(ok(this.#stored.get(key)?.entry));
  }

  list(prefix: string, options: ListOptions = {}): Promise<Result<Listing, StoreError>> {
    this.#beginCall();
    const from = options.from ?? prefix;
    const entries: KeyValueEntry[] = [];
    for (const [key, {entry}] of this.#stored) {
      if (key.startsWith(prefix) && key >= from) entries.push(entry);
    }
    entries.sort((a, b) => (a.key < b.key ? -1 : 1));
    const limit = options.limit ?? 0;
    const page = limit > 0 ? entries.slice(0, limit) : entries;
    return Promise.resolve(ok({entries: page, revision: this.#revision}));
  }

  write(
    key: string,
    value: string,
    options: WriteOptions,
  ): Promise<Result<WriteOutcome, StoreError>> {
    this.#beginCall();
    const leaseEra = options.lease === undefined ? undefined : decodeLease(options.lease).era;
    const restored = this.#findRestored(eraOfCondition(options.ifRevision) ?? leaseEra);
    if (restored !== undefined) return Promise.resolve(err(restored));
    const conflict = this.#findConflict(key, options.ifRevision);
    if (conflict !== undefined) return Promise.resolve(ok(conflict));
    if (options.lease !== undefined && !this.#leases.has(options.lease)) {
      const message = 'key-value service: the lease does not exist';
      return Promise.resolve(err({code: 'rejected', message, mayHaveTakenEffect: false}));
    }
    this.#revisionNumber += 1;
    const entry = {key, value, revision: this.#revision};
    this.#stored.set(key, {entry, lease: options.lease});
    this.#publish(entry);
    return Promise.resolve(ok({kind: 'written', revision: this.#revision}));
  }

  remove(key: string, ifRevision: RevisionCondition): Promise<Result<WriteOutcome, StoreError>> {
    this.#beginCall();
    const restored = this.#findRestored(eraOfCondition(ifRevision));
    if (restored !== undefined) return Promise.resolve(err(restored));
    const conflict = this.#findConflict(key, ifRevision);
    if (conflict !== undefined) return Promise.resolve(ok(conflict));
    this.#remove(key);
    return Promise.resolve(ok({kind: 'written', revision: this.#revision}));
  }

  async watch(prefix: string, options: WatchOptions): Promise<Result<Listing, StoreError>> {
    this.#beginCall();
    const {afterRevision} = options;
    if (this.#changesAfter(prefix, afterRevision).length === 0 && this.#hasReached(afterRevision))
      await this.#waitForChange(prefix, options);
    const restored = this.#findRestored(afterRevision.era);
    if (restored !== undefined) return err(restored);
    if (!this.#hasReached(afterRevision)) {
      const message = 'key-value service: the revision is not in the history';
      return err({code: 'history_lost', message, mayHaveTakenEffect: false});
    }
    return ok({entries: this.#changesAfter(prefix, afterRevision), revision: this.#revision});
  }

  grantLease(ttlSeconds: number): Promise<Result<string, StoreError>> {
    this.#beginCall();
    this.#leaseSequence += 1;
    const id = encodeLease(this.#era, String(this.#leaseSequence));
    const ttlMs = ttlSeconds * MS_PER_SECOND;
    this.#leases.set(id, {ttlMs, expiresAtMs: this.#clock.now() + ttlMs});
    this.#clock.schedule(ttlMs, () => {
      this.#expire();
    });
    return Promise.resolve(ok(id));
  }

  renewLease(id: string): Promise<Result<boolean, StoreError>> {
    this.#beginCall();
    const lease = this.#leases.get(id);
    if (lease === undefined) return Promise.resolve(ok(false));
    this.#leases.set(id, {...lease, expiresAtMs: this.#clock.now() + lease.ttlMs});
    this.#clock.schedule(lease.ttlMs, () => {
      this.#expire();
    });
    return Promise.resolve(ok(true));
  }

  revokeLease(id: string): Promise<Result<void, StoreError>> {
    this.#beginCall();
    this.#endLease(id);
    return Promise.resolve(ok(undefined));
  }

  /** Copies the contents, for a later restore. */
  copy(): KeyValueCopy {
    return {
      stored: new Map(this.#stored),
      leases: new Map(this.#leases),
      historyLength: this.#history.length,
      revisionNumber: this.#revisionNumber,
      leaseSequence: this.#leaseSequence,
    };
  }

  /** Restores an earlier copy: what was written since is lost, and its revisions and leases are given out again. */
  restore({stored, leases, historyLength, revisionNumber, leaseSequence}: KeyValueCopy): void {
    this.#stored.clear();
    for (const [key, entry] of stored) this.#stored.set(key, entry);
    this.#leases.clear();
    for (const [id, lease] of leases) this.#leases.set(id, lease);
    this.#history.splice(historyLength);
    this.#revisionNumber = revisionNumber;
    this.#leaseSequence = leaseSequence;
    this.#era += 1;
    this.#reassignEra();
    for (const waiter of this.#waiters) waiter.wake();
  }

  #beginCall(): void {
    this.callCount += 1;
    this.#expire();
  }

  /** Era of the service, which rises with each restore. */
  get era(): number {
    return this.#era;
  }

  get #revision(): Revision {
    return {era: this.#era, number: this.#revisionNumber};
  }

  #hasReached(revision: Revision): boolean {
    return !isLater(revision, this.#revision);
  }

  #findRestored(era: number | undefined): StoreError | undefined {
    if (era === undefined || era === this.#era) return undefined;
    const message = 'key-value service: restored';
    return {code: 'restored', message, mayHaveTakenEffect: false};
  }

  /** Gives the restored entries and leases the current era, as the responses of the service state it. */
  #reassignEra(): void {
    const era = this.#era;
    for (const [key, {entry, lease}] of this.#stored) {
      const revision = {...entry.revision, era};
      const ownLease = lease === undefined ? undefined : encodeLease(era, decodeLease(lease).lease);
      this.#stored.set(key, {entry: {...entry, revision}, lease: ownLease});
    }
    const leases = [...this.#leases];
    this.#leases.clear();
    for (const [id, lease] of leases)
      this.#leases.set(encodeLease(era, decodeLease(id).lease), lease);
    const history = this.#history.map((entry) => ({
      ...entry,
      revision: {...entry.revision, era},
    }));
    this.#history.splice(0, history.length, ...history);
  }

  #findConflict(key: string, ifRevision: RevisionCondition): WriteOutcome | undefined {
    const current = this.#stored.get(key)?.entry;
    if ((current?.revision.number ?? 0) === numberOfCondition(ifRevision)) return undefined;
    return {kind: 'conflict', current};
  }

  #remove(key: string): void {
    this.#stored.delete(key);
    this.#revisionNumber += 1;
    this.#publish({key, value: '', revision: this.#revision});
  }

  #publish(entry: KeyValueEntry): void {
    this.#history.push(entry);
    for (const waiter of this.#waiters) {
      if (entry.key.startsWith(waiter.prefix)) waiter.wake();
    }
  }

  #changesAfter(prefix: string, afterRevision: Revision): readonly KeyValueEntry[] {
    const changes: KeyValueEntry[] = [];
    for (let index = this.#history.length - 1; index >= 0; index -= 1) {
      const entry = this.#history[index];
      if (entry === undefined || !isLater(entry.revision, afterRevision)) break;
      if (entry.key.startsWith(prefix)) changes.unshift(entry);
    }
    return changes;
  }

  async #waitForChange(prefix: string, options: WatchOptions): Promise<void> {
    const controller = new AbortController();
    const abort = () => {
      controller.abort();
    };
    const waiter: Waiter = {prefix, wake: abort};
    this.#waiters.add(waiter);
    options.signal?.addEventListener('abort', abort, {once: true});
    if (options.signal?.aborted === true) abort();
    await sleep(this.#clock, options.timeoutMs, controller.signal);
    options.signal?.removeEventListener('abort', abort);
    this.#waiters.delete(waiter);
  }

  #expire(): void {
    const now = this.#clock.now();
    for (const [id, lease] of this.#leases) {
      if (lease.expiresAtMs <= now) this.#endLease(id);
    }
  }

  #endLease(id: string): void {
    this.#leases.delete(id);
    for (const [key, stored] of this.#stored) {
      if (stored.lease === id) this.#remove(key);
    }
  }
}
