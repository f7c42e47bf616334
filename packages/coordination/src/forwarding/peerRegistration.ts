/** Registers this instance in the key-value service, so that other instances find it. */
import {type Clock, isAborted, type Logger, type Random, sleep} from '@marigoldfold/runtime';
import type {KeyValue, StoreError} from '@marigoldfold/state';
import type {Result} from 'neverthrow';

/** Key and value to register, and the dependencies for doing so. */
export interface PeerRegistrationOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly store: Pick<KeyValue, 'get' | 'write' | 'grantLease' | 'renewLease' | 'revokeLease'>;
  readonly key: string;
  readonly value: string;
}

const LEASE_SECONDS = 15;
/** Renewals per lease duration, so that the lease survives one failed renewal. */
const RENEWALS_PER_LEASE = 2.5;
const MS_PER_SECOND = 1000;
/** Lease duration of the key, in milliseconds. Peers may send to a stopped instance for this long. */
export const PEER_LEASE_MS = LEASE_SECONDS * MS_PER_SECOND;
/** Mean delay before a retry; it can be long, since no request waits for the registration. */
const RETRY_DELAY_MS = 1500;

/** Keeps a key in the key-value service by renewing its lease; registers it again if the lease expires. */
export class PeerRegistration implements Disposable {
  readonly #options: PeerRegistrationOptions;
  readonly #controller = new AbortController();
  /** Aborted to end the pause before the next renewal. */
  #renewal = new AbortController();
  #lease: string | undefined;
  /** Time until which the lease cannot have expired, in milliseconds. */
  #heldUntilMs = Number.NEGATIVE_INFINITY;

  constructor(options: PeerRegistrationOptions) {
    this.#options = options;
    void this.#maintain();
  }

  /** Registers again after a random delay, since the service has lost the key or its lease. */
  renew(): void {
    this.#lease = undefined;
    this.#renewal.abort();
  }

  /** Whether the lease of the key certainly holds, so that no peer has seen the key expire. */
  get isHeld(): boolean {
    return this.#lease !== undefined && this.#options.clock.now() < this.#heldUntilMs;
  }

  /** Stops the renewals and revokes the lease, which removes the key. */
  [Symbol.dispose](): void {
    this.#controller.abort();
    if (this.#lease !== undefined) void this.#options.store.revokeLease(this.#lease);
  }

  async #maintain(): Promise<void> {
    const {clock, random, logger, key} = this.#options;
    const {signal} = this.#controller;
    while (!signal.aborted) {
      const result = await (this.#lease === undefined
        ? this.#register()
        : this.#renew(this.#lease));
      if (isAborted(signal)) return;
      if (result.isErr()) {
        logger.warn('registration failed', {key, reason: result.error.message});
        await sleep(clock, RETRY_DELAY_MS * (0.5 + random()), signal);
        continue;
      }
      if (!result.value) continue;
      this.#renewal = new AbortController();
      const pause = AbortSignal.any([signal, this.#renewal.signal]);
      await sleep(clock, PEER_LEASE_MS / RENEWALS_PER_LEASE, pause);
      // After a restore of the service, not all instances should register at the same moment.
      if (isAborted(this.#renewal.signal)) await sleep(clock, random() * RETRY_DELAY_MS, signal);
    }
  }

  /** Writes the key under a new lease; returns false if another writer changed the key first. */
  async #register(): Promise<Result<boolean, StoreError>> {
    const {store, key, value, logger} = this.#options;
    const current = await store.get(key);
    if (current.isErr()) return current.map(() => false);
    const heldUntilMs = this.#leaseEndMs();
    const lease = await store.grantLease(LEASE_SECONDS);
    if (lease.isErr()) return lease.map(() => false);
    const ifRevision = current.value?.revision ?? 0;
    const written = await store.write(key, value, {ifRevision, lease: lease.value});
    return written.map(({kind}) => {
      if (kind === 'conflict') return false;
      this.#lease = lease.value;
      this.#heldUntilMs = heldUntilMs;
      logger.info('registered', {key, lease: lease.value});
      return true;
    });
  }

  /** End of a lease that is granted or renewed by a call that starts now. */
  #leaseEndMs(): number {
    return this.#options.clock.now() + PEER_LEASE_MS;
  }

  async #renew(lease: string): Promise<Result<boolean, StoreError>> {
    const {store, key, logger} = this.#options;
    const heldUntilMs = this.#leaseEndMs();
    const renewed = await store.renewLease(lease);
    if (renewed.isOk() && renewed.value) this.#heldUntilMs = heldUntilMs;
    if (renewed.isOk() && !renewed.value) {
      logger.warn('registration lapsed', {key, lease});
      this.#lease = undefined;
    }
    return renewed;
  }
}
