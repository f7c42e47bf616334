/** Simulated entries of one region that share an account's limit over a lossy network with delays. */
import type {AccountGrantRequest, AccountGrant, Instance} from '@marigoldfold/protocol';
import {type Clock, type Random, sleep} from '@marigoldfold/runtime';
import {type Account, objectSchemas} from '@marigoldfold/state';
import {AccountHome} from '../accountHome.js';
import {AccountLimits} from '../accountLimits.js';
import {EntryDirectory} from '../entryDirectory.js';

/** Account with a limit of 10 requests per second unless `limits` overrides it. */
export function createLimitedAccount(limits: Partial<Account> = {}): Account {
  return objectSchemas.account.parse({
    keyDigests: ['0'.repeat(64)],
    classes: ['standard'],
    defaultClass: 'standard',
    requestsPerSecond: 10,
    burst: 10,
    concurrency: 1_000_000,
    ...limits,
  });
}

/** Faults of the simulated network between entries. */
export interface NetworkFaults {
  /** Fraction of grant requests that are lost. */
  readonly lostRequests: number;
  /** Fraction of responses that are lost. */
  readonly lostResponses: number;
  /** Maximum one-way delay in milliseconds. */
  readonly maxDelayMs: number;
}

/** Simulated entry with its own list of instances, account home and account limits. */
export interface RegionEntry {
  readonly name: string;
  readonly directory: EntryDirectory;
  readonly home: AccountHome;
  readonly limits: AccountLimits;
  isDown: boolean;
  pausedUntilMs: number;
}

/** Grant call that got no response, or one from an entry that is not the account's home. */
interface UnansweredCall {
  readonly entry: string;
  readonly atMs: number;
  /** Number of entries in the caller's list. */
  readonly entries: number;
}

const TIMEOUT_MS = 500;
const REGION = 'lombardy';

/** Entries and the network between them; counts messages and grant requests. */
export class Region implements Disposable {
  readonly entries: readonly RegionEntry[];
  messages = 0;
  grantRequestCount = 0;
  /** Calls without a usable response. */
  readonly unanswered: UnansweredCall[] = [];
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #faults: NetworkFaults;

  constructor(
    clock: Clock,
    random: Random,
    size: number,
    accountOf: (name: string) => Account | undefined,
    faults: NetworkFaults = {lostRequests: 0, lostResponses: 0, maxDelayMs: 1},
  ) {
    this.#clock = clock;
    this.#random = random;
    this.#faults = faults;
    this.entries = Array.from({length: size}, (_, index) => {
      const name = `entry-${index + 1}`;
      const directory = new EntryDirectory(clock, name, REGION);
      const home = new AccountHome({clock, directory, accountOf});
      const limits = new AccountLimits({
        clock,
        directory,
        home,
        call: (instance, requests) => this.#call(name, instance, requests),
        accountOf,
      });
      return {name, directory, home, limits, isDown: false, pausedUntilMs: 0};
    });
    for (const entry of this.entries) this.setInstances(entry, this.entries);
  }

  /** Applies a list of instances to one entry. */
  setInstances({directory, home}: RegionEntry, listed: readonly RegionEntry[]): void {
    directory.update(listed.map(({name}) => instanceOf(name)));
    home.dropMovedAccounts();
  }

  /** Home of an account according to the first entry's list of instances. */
  homeOf(account: string): RegionEntry {
    const first = this.#find('entry-1');
    return this.#find(first.directory.homeOf(account)?.name ?? first.name);
  }

  [Symbol.dispose](): void {
    for (const {limits} of this.entries) limits[Symbol.dispose]();
  }

  #find(name: string): RegionEntry {
    const found = this.entries.find((entry) => entry.name === name);
    if (found === undefined) throw new Error(`no simulated entry is named ${name}`);
    return found;
  }

  async #call(
    from: string,
    to: Instance,
    requests: readonly AccountGrantRequest[],
  ): Promise<readonly (AccountGrant | null)[] | undefined> {
    this.messages += 1;
    this.grantRequestCount += requests.length;
    const response = await Promise.race([
      this.#deliver(from, to, requests),
      sleep(this.#clock, TIMEOUT_MS).then(() => undefined),
    ]);
    if (response === undefined || response.includes(null)) {
      const entries = this.#find(from).directory.size;
      this.unanswered.push({entry: from, atMs: this.#clock.now(), entries});
    }
    return response;
  }

  async #deliver(
    from: string,
    to: Instance,
    requests: readonly AccountGrantRequest[],
  ): Promise<readonly (AccountGrant | null)[] | undefined> {
    const {lostRequests, lostResponses, maxDelayMs} = this.#faults;
    const noResponse = () => sleep(this.#clock, TIMEOUT_MS * 2).then(() => undefined);
    if (this.#random() < lostRequests) return noResponse();
    await sleep(this.#clock, this.#random() * maxDelayMs);
    const home = this.#find(to.name);
    await sleep(this.#clock, home.pausedUntilMs - this.#clock.now());
    if (home.isDown) return noResponse();
    const grants = requests.map((request) => home.home.grant(from, request) ?? null);
    if (this.#random() < lostResponses) return noResponse();
    await sleep(this.#clock, this.#random() * maxDelayMs);
    return grants;
  }
}

function instanceOf(name: string): Instance {
  return {
    name,
    role: 'entry',
    address: `${name}:1`,
    failureDomain: 'north',
    region: REGION,
    state: 'live',
  };
}
