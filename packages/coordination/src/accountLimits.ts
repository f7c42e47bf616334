/** Limits the requests of each client account at one entry. */
import {type Clock, DisposableStore, repeat, sleep} from '@marigoldfold/runtime';
import {type Failure, refusal, type Tier} from '@marigoldfold/protocol';
import type {Account} from '@marigoldfold/state';
import {err, ok, type Result} from 'neverthrow';
import type {AccountHome} from './accountHome.js';
import {AccountUsage} from './accountUsage.js';
import type {EntryRing} from './entryRing.js';
import {type GrantCall, GrantAsks} from './grantAsks.js';

/** What the limits need. */
export interface AccountLimitsOptions {
  readonly clock: Clock;
  readonly ring: EntryRing;
  /** This entry's own side as a home. */
  readonly home: AccountHome;
  readonly call: GrantCall;
  readonly accountOf: (name: string) => Account | undefined;
}

/** An urgent request never waits for a home. */
const TOP_TIER: Tier = 0;
/** Milliseconds that a request waits for the home. */
const WAIT_LIMIT_MS = 200;
const MAX_ASKS = 2;
const CONCURRENCY_RETRY_MS = 250;
const MIN_RETRY_MS = 10;
/** Permits of long requests are renewed at this interval, in milliseconds. */
const RENEWAL_INTERVAL_MS = 1000;
const RENEWALS_PER_SWEEP = 10;

/** Admits requests by the entry's share of each limit and by grants of the account's home. */
export class AccountLimits implements Disposable {
  readonly #options: AccountLimitsOptions;
  readonly #usages = new Map<string, AccountUsage>();
  readonly #asks: GrantAsks;
  readonly #disposables = new DisposableStore();
  #renewals = 0;

  constructor(options: AccountLimitsOptions) {
    this.#options = options;
    this.#asks = new GrantAsks(options.clock, options.call);
    const renewal = repeat(
      options.clock,
      () => RENEWAL_INTERVAL_MS,
      () => {
        this.#renew();
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
    const {ring} = this.#options;
    const usage = this.#usage(name, account);
    // A request may have come too late to be counted in the ask that it waited for.
    for (let asks = 0; asks < MAX_ASKS && usage.deniedForMs === 0; asks += 1) {
      await this.#waitForHome(name, account, usage);
      if (usage.tryTake(account, ring.size)) return ok(release(usage));
    }
    return err(this.#refuse(name, account, usage));
  }

  /** Admits or refuses a request by what is known; undefined when the home must be asked first. */
  admitNow(name: string, account: Account, tier: Tier): Result<Disposable, Failure> | undefined {
    const {ring} = this.#options;
    const usage = this.#usage(name, account);
    if (usage.tryTake(account, ring.size)) {
      if (usage.isRunningLow) void this.#ask(name, account, usage);
      return ok(release(usage));
    }
    const isRefused = ring.size === 1 || usage.deniedForMs > 0;
    if (isRefused) return err(this.#refuse(name, account, usage));
    if (tier !== TOP_TIER) return undefined;
    const isAdmitted = usage.tryTakeOnCredit(account, ring.size);
    void this.#ask(name, account, usage);
    return isAdmitted ? ok(release(usage)) : err(this.#refuse(name, account, usage));
  }

  [Symbol.dispose](): void {
    this.#disposables[Symbol.dispose]();
  }

  async #waitForHome(name: string, account: Account, usage: AccountUsage): Promise<void> {
    usage.waiting += 1;
    const limit = new AbortController();
    const {clock} = this.#options;
    await Promise.race([
      this.#ask(name, account, usage),
      sleep(clock, WAIT_LIMIT_MS, limit.signal),
    ]);
    limit.abort();
    usage.waiting -= 1;
  }

  /** Asks the home, once at a time for each account. */
  #ask(name: string, account: Account, usage: AccountUsage): Promise<void> {
    if (usage.ask !== undefined) return usage.ask;
    const asked = this.#askHome(name, account, usage).finally(() => {
      usage.ask = undefined;
    });
    usage.ask = asked;
    return asked;
  }

  async #askHome(name: string, account: Account, usage: AccountUsage): Promise<void> {
    const {clock, ring, home} = this.#options;
    let askedAtMs = clock.now();
    const build = () => {
      askedAtMs = clock.now();
      const ask = usage.buildAsk(name, account, ring.size);
      usage.noteAsked();
      return ask;
    };
    const instance = ring.homeOf(name);
    const grant =
      instance === undefined
        ? home.grant(ring.self, build())
        : await this.#asks.ask(instance, build);
    usage.accept(grant, askedAtMs, account, ring.size);
  }

  #usage(name: string, account: Account): AccountUsage {
    const known = this.#usages.get(name);
    if (known !== undefined) return known;
    const {clock, ring} = this.#options;
    const usage = new AccountUsage(clock, account, ring.size);
    this.#usages.set(name, usage);
    return usage;
  }

  #refuse(name: string, account: Account, usage: AccountUsage): Failure {
    const {size} = this.#options.ring;
    if (!usage.hasPermit(account, size)) {
      const message = `account ${name} is at its limit of ${account.concurrency} requests in flight`;
      return refusal('account_limited', message, CONCURRENCY_RETRY_MS);
    }
    const shareWaitMs = usage.shareWaitMs(account, size);
    const waitMs = usage.deniedForMs > 0 ? Math.min(usage.deniedForMs, shareWaitMs) : shareWaitMs;
    const message = `account ${name} is over ${account.requestsPerSecond} requests a second`;
    return refusal('account_limited', message, Math.max(MIN_RETRY_MS, Math.ceil(waitMs)));
  }

  /** Renews permits of requests that take long, and from time to time drops accounts at rest. */
  #renew(): void {
    const {ring, home, accountOf} = this.#options;
    this.#renewals += 1;
    const isSweep = this.#renewals % RENEWALS_PER_SWEEP === 0;
    if (isSweep) home.sweep();
    for (const [name, usage] of this.#usages) {
      const account = accountOf(name);
      if (account === undefined) {
        if (usage.inFlight === 0) this.#usages.delete(name);
        continue;
      }
      if (ring.size > 1 && usage.mustRenew(account, ring.size, 2 * RENEWAL_INTERVAL_MS)) {
        void this.#ask(name, account, usage);
      }
      if (isSweep && usage.isAtRest(account, ring.size)) this.#usages.delete(name);
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
