/** The key-value service as one client sees it, with faults switched on and off. */
import {type Clock, sleep} from '@marigoldfold/runtime';
import type {
  KeyValue,
  KeyValueEntry,
  Listing,
  ListOptions,
  StoreError,
  WatchOptions,
  WriteOptions,
  WriteOutcome,
} from '@marigoldfold/state';
import {err, type Result} from 'neverthrow';

/** What becomes of a write. */
export type WriteFault =
  /** The write takes effect and its answer is lost. */
  | 'lost_answer'
  /** The write is lost, and the caller cannot know. */
  | 'lost_request'
  /** The answer is lost and the write takes effect only when late writes are released. */
  | 'late';

const unavailable: StoreError = {
  code: 'unavailable',
  message: 'key-value service: connection refused',
  mayHaveTakenEffect: false,
};
const timedOut: StoreError = {
  code: 'timed_out',
  message: 'key-value service: no answer in time',
  mayHaveTakenEffect: true,
};

/** Passes calls on to a service, unless a fault stands in the way. */
export class SwitchableKeyValue implements KeyValue {
  readonly #inner: KeyValue;
  readonly #clock: Clock;
  readonly #writeFaults: WriteFault[] = [];
  readonly #lateWrites: (() => Promise<unknown>)[] = [];
  #outage: AbortController | undefined;
  #cut = new AbortController();
  /** Milliseconds that each answer takes. */
  delayMs = 0;
  /** Number of calls tried so far, answered or not; a waiting watch is one. */
  callCount = 0;

  constructor(inner: KeyValue, clock: Clock) {
    this.#inner = inner;
    this.#clock = clock;
  }

  /** Whether the service cannot be reached. */
  get isDown(): boolean {
    return this.#outage !== undefined;
  }

  set isDown(value: boolean) {
    if (value === this.isDown) return;
    if (value) {
      this.#outage = new AbortController();
      this.#cut.abort();
    } else {
      this.#outage = undefined;
      this.#cut = new AbortController();
    }
  }

  /** Lets the next writes fail in the given ways, one after the other. */
  failWrites(...faults: readonly WriteFault[]): void {
    this.#writeFaults.push(...faults);
  }

  /** Lets late writes take effect. */
  async releaseLateWrites(): Promise<void> {
    for (const write of this.#lateWrites.splice(0)) await write();
  }

  get(key: string): Promise<Result<KeyValueEntry | undefined, StoreError>> {
    return this.#read(() => this.#inner.get(key));
  }

  list(prefix: string, options?: ListOptions): Promise<Result<Listing, StoreError>> {
    return this.#read(() => this.#inner.list(prefix, options));
  }

  write(
    key: string,
    value: string,
    options: WriteOptions,
  ): Promise<Result<WriteOutcome, StoreError>> {
    return this.#change(() => this.#inner.write(key, value, options));
  }

  remove(key: string, ifRevision: number): Promise<Result<WriteOutcome, StoreError>> {
    return this.#change(() => this.#inner.remove(key, ifRevision));
  }

  async watch(prefix: string, options: WatchOptions): Promise<Result<Listing, StoreError>> {
    const cut = this.#cut.signal;
    return this.#read(async () => {
      const signal = options.signal === undefined ? cut : AbortSignal.any([cut, options.signal]);
      const answer = await this.#inner.watch(prefix, {...options, signal});
      return cut.aborted ? err(unavailable) : answer;
    });
  }

  grantLease(ttlSeconds: number): Promise<Result<string, StoreError>> {
    return this.#read(() => this.#inner.grantLease(ttlSeconds));
  }

  renewLease(lease: string): Promise<Result<boolean, StoreError>> {
    return this.#read(() => this.#inner.renewLease(lease));
  }

  revokeLease(lease: string): Promise<Result<void, StoreError>> {
    return this.#read(() => this.#inner.revokeLease(lease));
  }

  #isCut(): boolean {
    return this.#outage !== undefined;
  }

  async #read<T>(call: () => Promise<Result<T, StoreError>>): Promise<Result<T, StoreError>> {
    this.callCount += 1;
    if (this.isDown) return err(unavailable);
    if (this.delayMs > 0) await sleep(this.#clock, this.delayMs);
    return this.#isCut() ? err(unavailable) : call();
  }

  async #change(
    write: () => Promise<Result<WriteOutcome, StoreError>>,
  ): Promise<Result<WriteOutcome, StoreError>> {
    this.callCount += 1;
    if (this.isDown) return err(unavailable);
    if (this.delayMs > 0) await sleep(this.#clock, this.delayMs);
    switch (this.#writeFaults.shift()) {
      case 'lost_answer':
        await write();
        return err(timedOut);
      case 'lost_request':
        return err(timedOut);
      case 'late':
        this.#lateWrites.push(write);
        return err(timedOut);
      case undefined:
        return this.#isCut() ? err({...unavailable, mayHaveTakenEffect: true}) : write();
    }
  }
}
