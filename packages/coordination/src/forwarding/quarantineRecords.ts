/** Shares quarantined prompt parts through the key-value service, also with instances that start later. */
import {type Clock, isAborted, type Logger, type Random, sleep} from '@marigoldfold/runtime';
import type {KeyValue, StoreError} from '@marigoldfold/state';
import {err, ok, type Result} from 'neverthrow';
import {QUARANTINE_MS} from './promptQuarantine.js';

/** Key prefix and dependencies of the records. */
export interface QuarantineRecordsOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly store: Pick<KeyValue, 'get' | 'write' | 'remove' | 'grantLease'>;
  /** Prefix of the keys, which end with the digest of a part. */
  readonly prefix: string;
  /** Whether another instance's record of the digest is known. */
  readonly isRecorded: (digest: string) => boolean;
}

const MS_PER_SECOND = 1000;
/** Instances reach the same finding at the same time; the first record spares the others their calls. */
const MAX_START_DELAY_MS = 2000;
/** Mean delay before a retry; each instance also holds its own finding. */
const RETRY_DELAY_MS = 1500;

/** Writes and removes records until it is disposed of. */
export class QuarantineRecords implements Disposable {
  readonly #options: QuarantineRecordsOptions;
  readonly #controller = new AbortController();
  /** Digests whose latest request of this instance is to write their record. */
  readonly #wanted = new Set<string>();

  constructor(options: QuarantineRecordsOptions) {
    this.#options = options;
  }

  /** Writes the record of a digest, unless another instance does so first. */
  write(digest: string): void {
    this.#wanted.add(digest);
    void this.#write(digest);
  }

  /** Removes the record of a digest. */
  remove(digest: string): void {
    this.#wanted.delete(digest);
    void this.#retry(
      digest,
      () => !this.#wanted.has(digest),
      () => this.#tryRemove(digest),
    );
  }

  [Symbol.dispose](): void {
    this.#controller.abort();
  }

  async #write(digest: string): Promise<void> {
    const {clock, random, isRecorded} = this.#options;
    await sleep(clock, random() * MAX_START_DELAY_MS, this.#controller.signal);
    const isNeeded = () => this.#wanted.has(digest) && !isRecorded(digest);
    await this.#retry(digest, isNeeded, () => this.#tryWrite(digest));
  }

  async #retry(
    digest: string,
    isNeeded: () => boolean,
    attempt: () => Promise<Result<unknown, StoreError>>,
  ): Promise<void> {
    const {clock, random, logger} = this.#options;
    const {signal} = this.#controller;
    while (!isAborted(signal) && isNeeded()) {
      const result = await attempt();
      if (result.isOk()) return;
      logger.warn('quarantine record failed', {digest, reason: result.error.message});
      await sleep(clock, RETRY_DELAY_MS * (0.5 + random()), signal);
    }
  }

  async #tryWrite(digest: string): Promise<Result<unknown, StoreError>> {
    const {store, prefix} = this.#options;
    const lease = await store.grantLease(QUARANTINE_MS / MS_PER_SECOND);
    if (lease.isErr()) return err(lease.error);
    return store.write(prefix + digest, 'quarantined', {ifRevision: 0, lease: lease.value});
  }

  async #tryRemove(digest: string): Promise<Result<unknown, StoreError>> {
    const {store, prefix} = this.#options;
    const current = await store.get(prefix + digest);
    if (current.isErr()) return err(current.error);
    if (current.value === undefined) return ok(undefined);
    return store.remove(prefix + digest, current.value.revision);
  }
}
