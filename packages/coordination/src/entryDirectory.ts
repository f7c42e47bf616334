/** Live entries of a region, and the mapping of accounts to their home entry. */
import type {Instance} from '@marigoldfold/protocol';
import type {Clock} from '@marigoldfold/runtime';
import {rankMembers} from './rendezvous.js';

/** List of entries as received by one entry; lists of different entries may differ for a while. */
export class EntryDirectory {
  readonly #clock: Clock;
  #entries: readonly Instance[] = [];
  #changedAtMs: number;

  constructor(
    clock: Clock,
    /** Name of this entry. */
    readonly self: string,
    private readonly region: string,
  ) {
    this.#clock = clock;
    this.#changedAtMs = clock.now();
  }

  /** Number of live entries in the region, including this one. */
  get size(): number {
    return Math.max(1, this.#entries.length);
  }

  /** Clock time, in milliseconds, at which an entry was last added or removed. */
  get changedAtMs(): number {
    return this.#changedAtMs;
  }

  /** Applies a new list of instances; leaving entries are removed and no longer serve as a home. */
  update(instances: readonly Instance[]): void {
    const entries = instances.filter(
      ({role, region, state}) => role === 'entry' && region === this.region && state === 'live',
    );
    const before = this.#entries.map(addressedName).join();
    this.#entries = entries;
    if (before !== entries.map(addressedName).join()) this.#changedAtMs = this.#clock.now();
  }

  /** Home of an account by rendezvous hashing; undefined when it is this entry. */
  homeOf(account: string): Instance | undefined {
    const [home] = rankMembers(account, this.#entries, ({name}) => name);
    return home === undefined || home.name === this.self ? undefined : home;
  }
}

function addressedName({name, address}: Instance): string {
  return `${name}@${address}`;
}
