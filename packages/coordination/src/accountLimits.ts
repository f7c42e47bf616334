/** Limits the requests of each client account at one entry. */
import {type Clock, DisposableStore, repeat, sleep} from '@marigoldfold/runtime';
import {type Failure, refusal, type Tier} from '@marigoldfold/protocol';
import type {Account} from '@marigoldfold/state';
import {err, ok, type Result} from 'neverthrow';
import type {AccountHome} from './accountHome.js';
import {AccountUsage, TOP_TIER} from './accountUsage.js';
import type {EntryDirectory} from './entryDirectory.js';
import {type GrantCall, GrantBatcher} from './grantBatcher.js';

/** What the limits need. */
export interface AccountLimitsOptions {
  readonly clock: Clock;
  readonly directory: EntryDirectory;
  /** This entry's own side as a home. */
  readonly home: AccountHome;
  readonly call: GrantCall;
  readonly accountOf: (name: string) => Account | undefined;
}

/** Milliseconds that a request waits for the home. */
const GRANT_WAIT_MS = 200;
const MAX_GRANT_WAITS = 2;
const CONCURRENCY_RETRY_MS = 250;
const MIN_RETRY_MS = 10;
/** Permits of long requests are renewed at this interval, in milliseconds. */
const RENEWAL_INTERVAL_MS = 1000;
const RENEWALS_PER_SWEEP = 10;

/** Admits requests by the entry's share of each limit and by grants of the account's home. */
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

  /** Number of accounts that are kept; those at rest are dropped. */
  get size(): number {
    return this.#usages.size;
  }

  /** Admits a request; the handle is disposed of when the request ends. */
  async admit(name: string, account: Account, tier: Tier): Promise<Result<Disposable, Failure>> {
    const decided = this.admitNow(name, account, tier);
    if (decided !== undefined) return decided;
    const {directory} = this.#options;
    const usage = this.#usage(name, account);
    // A request may have come too late to be counted in the ask that it waited for.
    for (let asks = 0; asks < MAX_GRANT_WAITS && usage.deniedForMs === 0; asks += 1) {
      await this.#waitForGrant(name, account, usage);
      if (usage.tryAdmit(account, directory.size, tier)) return ok(release(usage));
    }
    return err(this.#refuse(name, account, usage, tier));
  }

  /** Admits or refuses a request by what is known; undefined when the home must be asked first. */
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

  /** Asks the home, once at a time for each account. */
  #requestGrant(name: string, account: Account, usage: AccountUsage): Promise<void> {
    if (usage.pendingGrant !== undefined) return usage.pendingGrant;
    const asked = this.#fetchGrant(name, account, usage).finally(() => {
      usage.pendingGrant = undefined;
    });
    usage.pendingGrant = asked;
    return asked;
  }

  async #fetchGrant(name: string, account: Account, usage: AccountUsage): Promise<void> {
    const {clock, directory, home} = this.#options;
    let askedAtMs = clock.now();
    const build = () => {
      askedAtMs = clock.now();
      const ask = usage.buildGrantRequest(name, account, directory.size);
      usage.recordGrantRequest();
      return ask;
    };
    const instance = directory.homeOf(name);
    const grant =
      instance === undefined
        ? home.grant(directory.self, build())
        : await this.#grants.request(instance, build);
    usage.applyGrant(grant, askedAtMs, account, directory.size);
  }

  #usage(name: string, account: Account): AccountUsage {
    const known = this.#usages.get(name);
    if (known !== undefined) return known;
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

  /** Renews permits of requests that take long, and from time to time drops accounts at rest. */
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
