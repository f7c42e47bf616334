/** Key-value service with faults that can be switched on and off at run time. */
import type {Clock} from '@marigoldfold/runtime';
import type {
  KeyValue,
  KeyValueEntry,
  Listing,
  ListOptions,
  RevisionCondition,
  StoreError,
  WatchOptions,
  WriteOptions,
  WriteOutcome,
} from '@marigoldfold/state';
import {err, type Result} from 'neverthrow';
import {createFaultyKeyValue, type StoreCall, type StoreFault} from './faultyKeyValue.js';

/** Forwards calls to a key-value service, and delays or fails them according to the current faults. */
export class SwitchableKeyValue implements KeyValue {
  readonly #faultyStore: KeyValue;
  readonly #waitUntilRunning: () => Promise<void>;
  readonly #writeFaults: StoreFault[] = [];
  #isDown = false;
  #outage = new AbortController();
  /** Delay of each call in milliseconds. */
  delayMs = 0;
  /** Number of calls, including failed ones; a watch counts once. */
  callCount = 0;

  /** Responses are delayed until `waitUntilRunning` resolves, for example while the client's process is paused. */
  constructor(store: KeyValue, clock: Clock, waitUntilRunning = () => Promise.resolve()) {
    this.#waitUntilRunning = waitUntilRunning;
    this.#faultyStore = createFaultyKeyValue({
      clock,
      store,
      chooseFault: (call) => this.#chooseFault(call),
    });
  }

  /** Whether the service is unavailable; setting it to true also ends waiting watches. */
  get isDown(): boolean {
    return this.#isDown;
  }

  set isDown(value: boolean) {
    if (value === this.#isDown) return;
    this.#isDown = value;
    if (value) this.#outage.abort();
    else this.#outage = new AbortController();
  }

  /** Applies the given faults to the next writes and removals, in order. */
  failWrites(...faults: readonly StoreFault[]): void {
    this.#writeFaults.push(...faults);
  }

  get(key: string): Promise<Result<KeyValueEntry | undefined, StoreError>> {
    return this.#deliver(this.#faultyStore.get(key));
  }

  list(prefix: string, options?: ListOptions): Promise<Result<Listing, StoreError>> {
    return this.#deliver(this.#faultyStore.list(prefix, options));
  }

  write(
    key: string,
    value: string,
    options: WriteOptions,
  ): Promise<Result<WriteOutcome, StoreError>> {
    return this.#deliver(this.#faultyStore.write(key, value, options));
  }

  remove(key: string, ifRevision: RevisionCondition): Promise<Result<WriteOutcome, StoreError>> {
    return this.#deliver(this.#faultyStore.remove(key, ifRevision));
  }

  async watch(prefix: string, options: WatchOptions): Promise<Result<Listing, StoreError>> {
    const outageSignal = this.#outage.signal;
    const signal =
      options.signal === undefined ? outageSignal : AbortSignal.any([outageSignal, options.signal]);
    const answer = await this.#deliver(this.#faultyStore.watch(prefix, {...options, signal}));
    if (!outageSignal.aborted) return answer;
    const message = 'key-value service: the watch was cut off';
    return err({code: 'unavailable', message, mayHaveTakenEffect: false});
  }

  grantLease(ttlSeconds: number): Promise<Result<string, StoreError>> {
    return this.#deliver(this.#faultyStore.grantLease(ttlSeconds));
  }

  renewLease(lease: string): Promise<Result<boolean, StoreError>> {
    return this.#deliver(this.#faultyStore.renewLease(lease));
  }

  revokeLease(lease: string): Promise<Result<void, StoreError>> {
    return this.#deliver(this.#faultyStore.revokeLease(lease));
  }

  #chooseFault({method}: StoreCall): StoreFault {
    this.callCount += 1;
    if (this.#isDown) return 'refused';
    const isWrite = method === 'write' || method === 'remove';
    const fault = isWrite ? this.#writeFaults.shift() : undefined;
    if (fault !== undefined) return fault;
    return this.delayMs > 0 ? {slowByMs: this.delayMs} : 'none';
  }

  async #deliver<T>(answer: Promise<T>): Promise<T> {
    const received = await answer;
    await this.#waitUntilRunning();
    return received;
  }
}
