/** Enforces the limits of client accounts at one entry. */
import {type Clock, DisposableStore, repeat, sleep} from '@marigoldfold/runtime';
import {type Failure, refusal, type Tier} from '@marigoldfold/protocol';
import type {Account} from '@marigoldfold/state';
import {err, ok, type Result} from 'neverthrow';
import type {AccountHome} from './accountHome.js';
import {AccountUsage, TOP_TIER} from './accountUsage.js';
import type {EntryDirectory} from './entryDirectory.js';
import {type GrantCall, GrantBatcher} from './grantBatcher.js';

/** Entry directory, account home and grant call that the account limits use. */
export interface AccountLimitsOptions {
  readonly clock: Clock;
  readonly directory: EntryDirectory;
  /** Grants tokens and permits for the accounts whose home is this entry. */
  readonly home: AccountHome;
  readonly call: GrantCall;
  readonly accountOf: (name: string) => Account | undefined;
}

/** Maximum time that a request waits for one grant, in milliseconds. */
const GRANT_WAIT_MS = 200;
const MAX_GRANT_WAITS = 2;
const CONCURRENCY_RETRY_MS = 250;
const MIN_RETRY_MS = 10;
/** Milliseconds between checks whether permits of running requests need renewal. */
const RENEWAL_INTERVAL_MS = 1000;
const RENEWALS_PER_SWEEP = 10;

/**
 * Admits requests against the entry's local share of each
 * limit and against grants from the account's home.
 */
export class AccountLimits implements Disposable {
  readonly #options: AccountLimitsOptions;
  readonly #usages = new Map<string, AccountUsage>();
  readonly #grants: GrantBatcher;
  readonly #disposables = new DisposableStore();
  #renewals = 0;

  constructor(options: AccountLimitsOptions) {
    this.#options = options;
    this.#grants = new GrantBatcher(options.clock, options.call);
    const renewal = repeat(
      options.clock,
      () => RENEWAL_INTERVAL_MS,
      () => {
        this.#renewPermits();
      },
    );
    this.#disposables.add(renewal);
  }

  /** Number of tracked accounts; idle ones are removed periodically. */
  get size(): number {
    return this.#usages.size;
  }

  /** Admits or refuses a request; dispose of the handle when the request ends. */
  async admit(name: string, account: Account, tier: Tier): Promise<Result<Disposable, Failure>> {
    const decided = this.admitNow(name, account, tier);
    if (decided !== undefined) return decided;
    const {directory} = this.#options;
    const usage = this.#usage(name, account);
    // A grant request that was already in flight does not include this request, so a second one may be needed.
    for (let attempt = 0; attempt < MAX_GRANT_WAITS && usage.deniedForMs === 0; attempt += 1) {
      await this.#waitForGrant(name, account, usage);
      if (usage.tryAdmit(account, directory.size, tier)) return ok(release(usage));
    }
    return err(this.#refuse(name, account, usage, tier));
  }

  /** Admits or refuses from local state alone; undefined if a grant has to be requested from the home first. */
  admitNow(name: string, account: Account, tier: Tier): Result<Disposable, Failure> | undefined {
    const {directory} = this.#options;
    const usage = this.#usage(name, account);
    if (usage.tryAdmit(account, directory.size, tier)) {
      if (usage.isRunningLow) void this.#requestGrant(name, account, usage);
      return ok(release(usage));
    }
    if (directory.size === 1) return err(this.#refuse(name, account, usage, tier));
    if (tier !== TOP_TIER) {
      return usage.deniedForMs > 0 ? err(this.#refuse(name, account, usage, tier)) : undefined;
    }
    const isAdmitted = usage.tryAdmitOnCredit(account, directory.size);
    void this.#requestGrant(name, account, usage);
    return isAdmitted ? ok(release(usage)) : err(this.#refuse(name, account, usage, tier));
  }

  [Symbol.dispose](): void {
    this.#disposables[Symbol.dispose]();
  }

  async #waitForGrant(name: string, account: Account, usage: AccountUsage): Promise<void> {
    usage.waitingRequests += 1;
    const limit = new AbortController();
    const {clock} = this.#options;
    await Promise.race([
      this.#requestGrant(name, account, usage),
      sleep(clock, GRANT_WAIT_MS, limit.signal),
    ]);
    limit.abort();
    usage.waitingRequests -= 1;
  }

  /** Requests a grant; concurrent calls for one account share one request. */
  #requestGrant(name: string, account: Account, usage: AccountUsage): Promise<void> {
    if (usage.pendingGrant !== undefined) return usage.pendingGrant;
    const pending = this.#fetchGrant(name, account, usage).finally(() => {
      usage.pendingGrant = undefined;
    });
    usage.pendingGrant = pending;
    return pending;
  }

  async #fetchGrant(name: string, account: Account, usage: AccountUsage): Promise<void> {
    const {clock, directory, home} = this.#options;
    let requestedAtMs = clock.now();
    const build = () => {
      requestedAtMs = clock.now();
      const request = usage.buildGrantRequest(name, account, directory.size);
      usage.recordGrantRequest();
      return request;
    };
    const instance = directory.homeOf(name);
    const grant =
      instance === undefined
        ? home.grant(directory.self, build())
        : await this.#grants.request(instance, build);
    usage.applyGrant(grant, requestedAtMs, account, directory.size);
  }

  #usage(name: string, account: Account): AccountUsage {
    const existing = this.#usages.get(name);
    if (existing !== undefined) return existing;
    const {clock, directory} = this.#options;
    const usage = new AccountUsage(clock, account, directory.size);
    this.#usages.set(name, usage);
    return usage;
  }

  #refuse(name: string, account: Account, usage: AccountUsage, tier: Tier): Failure {
    const {size} = this.#options.directory;
    if (!usage.hasPermit(account, size, tier)) {
      const message = `account ${name} is at its limit of ${account.concurrency} requests in flight`;
      return refusal('account_limited', message, CONCURRENCY_RETRY_MS);
    }
    const shareWaitMs = usage.shareWaitMs(account, size);
    const waitMs = usage.deniedForMs > 0 ? Math.min(usage.deniedForMs, shareWaitMs) : shareWaitMs;
    const message = `account ${name} is over ${account.requestsPerSecond} requests a second`;
    return refusal('account_limited', message, Math.max(MIN_RETRY_MS, Math.ceil(waitMs)));
  }

  /** Renews permits of running requests; on every `RENEWALS_PER_SWEEP`th call, also removes idle accounts. */
  #renewPermits(): void {
    const {directory, home, accountOf} = this.#options;
    this.#renewals += 1;
    const isSweep = this.#renewals % RENEWALS_PER_SWEEP === 0;
    if (isSweep) home.sweep();
    for (const [name, usage] of this.#usages) {
      const account = accountOf(name);
      if (account === undefined) {
        if (usage.inFlight === 0) this.#usages.delete(name);
        continue;
      }
      if (
        directory.size > 1 &&
        usage.needsRenewal(account, directory.size, 2 * RENEWAL_INTERVAL_MS)
      ) {
        void this.#requestGrant(name, account, usage);
      }
      if (isSweep && usage.isIdle(account, directory.size)) this.#usages.delete(name);
    }
  }
}

function release(usage: AccountUsage): Disposable {
  let isOpen = true;
  return {
    [Symbol.dispose]() {
      if (!isOpen) return;
      isOpen = false;
      usage.release();
    },
  };
}
