/** The live entries of a region, and which of them is the home of an account. */
import type {Instance} from '@marigoldfold/protocol';
import type {Clock} from '@marigoldfold/runtime';
import {rankMembers} from './rendezvous.js';

/** The entries as one entry knows them. */
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

  /** Number of live entries in the region, this one included. */
  get size(): number {
    return Math.max(1, this.#entries.length);
  }

  /** When an entry came or went last. */
  get changedAtMs(): number {
    return this.#changedAtMs;
  }

  /** Takes a new list of instances; a leaving entry is no home any more. */
  update(instances: readonly Instance[]): void {
    const entries = instances.filter(
      ({role, region, state}) => role === 'entry' && region === this.region && state === 'live',
    );
    const before = this.#entries.map(addressedName).join();
    this.#entries = entries;
    if (before !== entries.map(addressedName).join()) this.#changedAtMs = this.#clock.now();
  }

  /** The home of an account; undefined when it is this entry. */
  homeOf(account: string): Instance | undefined {
    const [home] = rankMembers(account, this.#entries, ({name}) => name);
    return home === undefined || home.name === this.self ? undefined : home;
  }
}

function addressedName({name, address}: Instance): string {
  return `${name}@${address}`;
}
