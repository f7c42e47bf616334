/** Elects the instance that performs the duties of the fleet, by a leased key in the key-value service. */
import {type Clock, isAborted, type Logger, type Random, sleep} from '@marigoldfold/runtime';
import type {
  KeyValue,
  KeyValueEntry,
  Revision,
  StoreError,
  WriteOutcome,
} from '@marigoldfold/state';
import type {Result} from 'neverthrow';
import {z} from 'zod';
import {rankMembers} from '../rendezvous.js';
import {fencingTokenOf} from './fencingToken.js';

/** Key, identity and dependencies of a lease. */
export interface LeaderLeaseOptions {
  /** Monotonic clock. */
  readonly clock: Clock;
  /** Wall clock time in milliseconds; unlike a monotonic clock, it advances while the machine is suspended. */
  readonly wallTimeMs: () => number;
  readonly random: Random;
  readonly logger: Logger;
  readonly store: Pick<KeyValue, 'get' | 'write' | 'grantLease' | 'renewLease' | 'revokeLease'>;
  readonly key: string;
  /** Name of this instance. */
  readonly instance: string;
  /** Random number that identifies the lifetime of this process. */
  readonly lifetime: number;
  readonly leaseMs: number;
  /** Names of the registered instances; whether this one is among them makes no difference. */
  readonly peers: () => readonly string[];
}

/** The hold of this instance: its fencing token, and whether it may be used yet. */
export interface LeaderHold {
  readonly token: number;
  readonly mayAct: boolean;
}

/** The instance that holds a lease, as the value of the key states it. */
export interface LeaseHolder {
  readonly instance: string;
  readonly lifetime: number;
}

/** A lease of the store that this instance holds. */
interface Hold {
  readonly token: number;
  readonly revision: Revision;
  readonly lease: string;
  /** Time on the monotonic clock from which the holder may act, in milliseconds. */
  readonly actFromMs: number;
  /** Start of the last call that the store answered with the full duration of the lease. */
  readonly confirmedAt: Moment;
}

/** One moment on both clocks, in milliseconds. */
interface Moment {
  readonly steadyMs: number;
  readonly wallMs: number;
}

const MS_PER_SECOND = 1000;
/** Renewals per lease duration, so that the lease survives one failed renewal. */
const RENEWALS_PER_LEASE = 3;
/**
 * Time by which a hold ends before its lease, in milliseconds. It covers a suspension too short to be told from the
 * difference of the clocks, and the time from the check of the hold to the call that relies on it.
 */
const MARGIN_MS = 300;
/** Delay of an acquisition for each instance that is to try before, in milliseconds: a few round trips to the store. */
const RANK_DELAY_MS = 150;
const MAX_RANK = 10;
/** Mean delay before a failed call to the store is repeated, in milliseconds. */
const RETRY_DELAY_MS = 300;

const holderSchema = z.object({instance: z.string(), lifetime: z.number()});

/** The holder that a value of the key names; undefined if there is none, or if the value is invalid. */
export function parseLeaseHolder(entry: KeyValueEntry | undefined): LeaseHolder | undefined {
  if (!isPresent(entry)) return undefined;
  try {
    return holderSchema.safeParse(JSON.parse(entry.value)).data;
  } catch {
    return undefined;
  }
}

/** Acquires the lease when no instance holds it, and keeps it until it is lost or disposed of. */
export class LeaderLease implements Disposable {
  readonly #options: LeaderLeaseOptions;
  readonly #controller = new AbortController();
  /** Aborted to end the pause before the next renewal or acquisition. */
  #pause = new AbortController();
  #hold: Hold | undefined;
  #observed: KeyValueEntry | undefined;
  /** Time of the next acquisition while the copy of the store shows no other holder, in milliseconds. */
  #acquireAtMs = Number.POSITIVE_INFINITY;
  /** Time before which this instance leaves the lease to others, in milliseconds. */
  #yieldUntilMs = Number.NEGATIVE_INFINITY;
  /** Whether the hold has ended by a clock, and a renewal has to tell whether the lease has lapsed. */
  #isChecking = false;

  constructor(options: LeaderLeaseOptions) {
    this.#options = options;
    void this.#maintain();
  }

  /**
   * Receives what the local copy of the store shows for the key: once after the first read of the copy (undefined if
   * there is no such key), then each change; a removed key has an empty value or is undefined.
   */
  observeHolder(entry: KeyValueEntry | undefined): void {
    this.#observed = entry;
    const hold = this.#hold;
    const isFree = !isPresent(entry) || this.#isOwn(entry);
    this.#acquireAtMs = isFree
      ? this.#options.clock.now() + this.#rankDelayMs()
      : Number.POSITIVE_INFINITY;
    // The copy may still show what preceded this instance's write. Without a revision, a renewal has to tell.
    if (hold === undefined || entry === undefined) this.#pause.abort();
    else if (isAfter(entry.revision, hold.revision))
      this.#endHold(hold, entry.value === '' ? 'removed' : 'superseded');
  }

  /** The instance that the local copy of the store shows as the holder. */
  get holder(): LeaseHolder | undefined {
    return parseLeaseHolder(this.#observed);
  }

  /** Whether this instance holds the lease now. Must be called again after each wait, right before each use. */
  current(): LeaderHold | undefined {
    const hold = this.#hold;
    if (hold === undefined || this.remainingMs <= 0) return undefined;
    return {token: hold.token, mayAct: this.#options.clock.now() >= hold.actFromMs};
  }

  /** Time until the hold ends unless it is renewed, in milliseconds; 0 without a hold. */
  get remainingMs(): number {
    const hold = this.#hold;
    if (hold === undefined) return 0;
    const now = this.#now();
    const steadyMs = now.steadyMs - hold.confirmedAt.steadyMs;
    const wallMs = now.wallMs - hold.confirmedAt.wallMs;
    if (Math.abs(wallMs - steadyMs) > MARGIN_MS) {
      this.#checkAfterSuspension(hold);
      return 0;
    }
    return Math.max(0, this.#options.leaseMs - MARGIN_MS - steadyMs);
  }

  /** Ends the hold after a service has refused its token because it has seen a higher one. */
  loseByFence(token: number): void {
    const hold = this.#hold;
    if (hold?.token !== token) return;
    this.#yieldUntilMs = this.#options.clock.now() + this.#options.leaseMs;
    this.#endHold(hold, 'fenced');
  }

  /** Ends the hold and revokes the lease, so that another instance can acquire it at once. */
  [Symbol.dispose](): void {
    this.#controller.abort();
    this.#pause.abort();
    if (this.#hold !== undefined) this.#endHold(this.#hold, 'stopped');
  }

  async #maintain(): Promise<void> {
    const {clock} = this.#options;
    const {signal} = this.#controller;
    while (!signal.aborted) {
      // Replaced before the call, so that an observation made during the call ends the pause after it.
      const pause = new AbortController();
      this.#pause = pause;
      const delayMs = await this.#advance();
      if (isAborted(signal)) return;
      await sleep(clock, delayMs, pause.signal);
    }
  }

  /** Makes the call to the store that is due, if any; returns the delay before the next one. */
  async #advance(): Promise<number> {
    const {clock, leaseMs} = this.#options;
    if (this.#hold !== undefined) return this.#renew(this.#hold);
    const waitMs = Math.max(this.#acquireAtMs, this.#yieldUntilMs) - clock.now();
    return waitMs <= 0 ? this.#acquire() : Math.min(leaseMs, waitMs);
  }

  /** Renews the lease at once, which tells whether it has lapsed during a suspension. */
  #checkAfterSuspension({token}: Hold): void {
    if (this.#isChecking) return;
    this.#isChecking = true;
    const {logger, key} = this.#options;
    logger.warn('clocks differ; leader lease not held until it is renewed', {key, token});
    this.#pause.abort();
  }

  /** Renews the lease of a hold; returns the delay before the next call to the store. */
  async #renew(hold: Hold): Promise<number> {
    const {clock, logger, store, key, leaseMs} = this.#options;
    const {token} = hold;
    const startedAt = this.#now();
    const renewed = await store.renewLease(hold.lease);
    if (this.#hold !== hold) return 0;
    if (renewed.isErr() && renewed.error.code !== 'restored') {
      const reason = renewed.error.message;
      logger.warn('leader lease not renewed', {key, token, reason, remainingMs: this.remainingMs});
      return this.#retryDelayMs();
    }
    if (renewed.isErr() || !renewed.value) {
      this.#endHold(hold, renewed.isErr() ? 'restored' : 'expired');
      return 0;
    }
    const intervalMs = leaseMs / RENEWALS_PER_LEASE;
    const sinceLastMs = startedAt.steadyMs - hold.confirmedAt.steadyMs;
    if (sinceLastMs > 2 * intervalMs)
      logger.warn('leader lease renewed late', {key, token, sinceLastMs});
    this.#hold = {...hold, confirmedAt: startedAt};
    this.#isChecking = false;
    return Math.max(0, startedAt.steadyMs + intervalMs - clock.now());
  }

  /** Tries to write the key; returns the delay before the next call to the store. */
  async #acquire(): Promise<number> {
    const {clock, logger, store, key, instance, lifetime, leaseMs} = this.#options;
    const found = await store.get(key);
    if (found.isErr()) return this.#retryAcquisition(found.error.message);
    const entry = found.value;
    if (entry !== undefined && !this.#isOwn(entry)) return this.#yield();
    if (isAborted(this.#controller.signal)) return 0;
    const startedAt = this.#now();
    const granted = await store.grantLease(Math.ceil(leaseMs / MS_PER_SECOND));
    if (granted.isErr()) return this.#retryAcquisition(granted.error.message);
    const lease = granted.value;
    const revoke = () => void store.revokeLease(lease);
    if (isAborted(this.#controller.signal)) {
      revoke();
      return 0;
    }
    // The lease tells this write from earlier ones of this process whose outcome is unknown.
    const value = JSON.stringify({instance, lifetime, lease});
    // A key of this process without a hold is left from a restore or a late write.
    const ifRevision = entry?.revision ?? 0;
    const written = await store.write(key, value, {ifRevision, lease});
    const revision = await this.#findRevision(written, value, startedAt);
    if (revision === undefined || isAborted(this.#controller.signal)) {
      // A write that is still to be executed fails without its lease.
      revoke();
      return written.isErr() ? this.#retryAcquisition(written.error.message) : this.#yield();
    }
    const token = fencingTokenOf(revision);
    const {era, number} = revision;
    if (token === undefined) {
      logger.error('leader lease refused: the revision does not fit a token', {key, era, number});
      revoke();
      return this.#yield();
    }
    // Whoever held the lease before has stopped by now, so that no holder acts before and after another one in leaseMs.
    const actFromMs = clock.now() + leaseMs + MARGIN_MS;
    this.#hold = {token, revision, lease, actFromMs, confirmedAt: startedAt};
    this.#isChecking = false;
    logger.info('leader lease acquired', {key, token, era, number, lease});
    return Math.max(0, startedAt.steadyMs + leaseMs / RENEWALS_PER_LEASE - clock.now());
  }

  /** Revision of this instance's write of a value; undefined if it has not taken effect. */
  async #findRevision(
    written: Result<WriteOutcome, StoreError>,
    value: string,
    startedAt: Moment,
  ): Promise<Revision | undefined> {
    const {clock, store, key, leaseMs} = this.#options;
    if (written.isOk()) {
      const outcome = written.value;
      if (outcome.kind === 'written') return outcome.revision;
      return outcome.current?.value === value ? outcome.current.revision : undefined;
    }
    if (!written.error.mayHaveTakenEffect) return undefined;
    while (clock.now() < startedAt.steadyMs + leaseMs && !this.#controller.signal.aborted) {
      const found = await store.get(key);
      if (found.isOk()) return found.value?.value === value ? found.value.revision : undefined;
      await sleep(clock, this.#retryDelayMs(), this.#controller.signal);
    }
    return undefined;
  }

  #retryAcquisition(reason: string): number {
    const {logger, key} = this.#options;
    if (isAborted(this.#controller.signal)) return 0;
    logger.warn('leader lease not acquired', {key, reason});
    return this.#postponeAcquisition(this.#retryDelayMs());
  }

  /** Leaves the lease to its holder, which the copy of the store does not show yet. */
  #yield(): number {
    return this.#postponeAcquisition(this.#options.leaseMs);
  }

  #postponeAcquisition(delayMs: number): number {
    // An observation made during the call has set the time anew.
    if (this.#pause.signal.aborted) return 0;
    this.#acquireAtMs = this.#options.clock.now() + delayMs;
    return delayMs;
  }

  #endHold(hold: Hold, reason: string): void {
    const {logger, store, key} = this.#options;
    this.#hold = undefined;
    logger.info('leader lease lost', {key, token: hold.token, reason});
    if (reason !== 'expired') void store.revokeLease(hold.lease);
    this.#pause.abort();
  }

  #isOwn(entry: KeyValueEntry): boolean {
    return parseLeaseHolder(entry)?.lifetime === this.#options.lifetime;
  }

  /** Delay of an acquisition by the rank among the registered instances, so that few of them try. */
  #rankDelayMs(): number {
    const {key, instance, peers, random} = this.#options;
    const ranked = rankMembers(key, [...new Set([...peers(), instance])], (name) => name);
    const rank = ranked.indexOf(instance);
    if (rank < MAX_RANK) return rank * RANK_DELAY_MS;
    return (MAX_RANK + random()) * RANK_DELAY_MS;
  }

  #retryDelayMs(): number {
    return RETRY_DELAY_MS * (0.5 + this.#options.random());
  }

  #now(): Moment {
    return {steadyMs: this.#options.clock.now(), wallMs: this.#options.wallTimeMs()};
  }
}

function isPresent(entry: KeyValueEntry | undefined): entry is KeyValueEntry {
  return entry !== undefined && entry.value !== '';
}

/** Whether a revision belongs to a later state of the store, also across a restore. */
function isAfter(revision: Revision, other: Revision): boolean {
  if (revision.era !== other.era) return revision.era > other.era;
  return revision.number > other.number;
}
