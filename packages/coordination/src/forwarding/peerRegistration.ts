/** Keeps the entry under which other instances find this one. */
import {type Clock, isAborted, type Logger, type Random, sleep} from '@marigoldfold/runtime';
import type {KeyValue, StoreError} from '@marigoldfold/state';
import type {Result} from 'neverthrow';

/** What the registration needs. */
export interface PeerRegistrationOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly store: Pick<KeyValue, 'get' | 'write' | 'grantLease' | 'renewLease' | 'revokeLease'>;
  readonly key: string;
  readonly value: string;
}

/** Lease in seconds: peers that are told in vain for so long cost little. */
const LEASE_SECONDS = 15;
/** Renewals within a lease: one may fail. */
const RENEWALS_PER_LEASE = 2.5;
const MS_PER_SECOND = 1000;
/** Pause after a failed call, in milliseconds. Nothing waits for the entry. */
const RETRY_DELAY_MS = 1500;

/** An entry that lives as long as its lease is renewed. */
export class PeerRegistration implements Disposable {
  readonly #options: PeerRegistrationOptions;
  readonly #controller = new AbortController();
  #lease: string | undefined;

  constructor(options: PeerRegistrationOptions) {
    this.#options = options;
    void this.#maintain();
  }

  /** Removes the entry. */
  [Symbol.dispose](): void {
    this.#controller.abort();
    if (this.#lease !== undefined) void this.#options.store.revokeLease(this.#lease);
  }

  async #maintain(): Promise<void> {
    const {clock, random, logger, key} = this.#options;
    const {signal} = this.#controller;
    while (!signal.aborted) {
      const kept = await (this.#lease === undefined ? this.#register() : this.#renew(this.#lease));
      if (isAborted(signal)) return;
      if (kept.isErr()) {
        logger.warn('registration not kept', {key, reason: kept.error.message});
        await sleep(clock, RETRY_DELAY_MS * (0.5 + random()), signal);
        continue;
      }
      if (!kept.value) continue;
      await sleep(clock, (LEASE_SECONDS * MS_PER_SECOND) / RENEWALS_PER_LEASE, signal);
    }
  }

  /** Whether the entry is there. */
  async #register(): Promise<Result<boolean, StoreError>> {
    const {store, key, value, logger} = this.#options;
    const current = await store.get(key);
    if (current.isErr()) return current.map(() => false);
    const lease = await store.grantLease(LEASE_SECONDS);
    if (lease.isErr()) return lease.map(() => false);
    const ifRevision = current.value?.revision ?? 0;
    const written = await store.write(key, value, {ifRevision, lease: lease.value});
    return written.map(({kind}) => {
      if (kind === 'conflict') return false;
      this.#lease = lease.value;
      logger.info('registered', {key, lease: lease.value});
      return true;
    });
  }

  async #renew(lease: string): Promise<Result<boolean, StoreError>> {
    const {store, key, logger} = this.#options;
    const renewed = await store.renewLease(lease);
    if (renewed.isOk() && !renewed.value) {
      logger.warn('registration lapsed', {key, lease});
      this.#lease = undefined;
    }
    return renewed;
  }
}
