/** The endpoints that an entry may use now, each with what is known of it. */
import type {Clock, Random} from '@marigoldfold/runtime';
import {type Failure, type Instance, type Load, refusal} from '@marigoldfold/protocol';
import type {Configuration} from '@marigoldfold/state';
import {err, ok, type Result} from 'neverthrow';
import {
  areSameCandidates,
  type Candidate,
  type Demand,
  demandKey,
  listCandidates,
  noEndpoint,
  serves,
} from './candidates.js';
import {EndpointState} from './endpointState.js';
import {chooseSubset, DEFAULT_SUBSET_SIZE, type EntryLocation, type Subset} from './subset.js';

/** What a directory needs. */
export interface EndpointDirectoryOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly location: EntryLocation;
  /** Endpoints of each model that are used. */
  readonly subsetSize?: number | undefined;
}

/** Milliseconds after which a refused caller may try again, when nothing better is known. */
const NO_ENDPOINT_RETRY_MS = 1000;
const MIN_RETRY_MS = 100;

/** Candidates, subsets and states at one entry. */
export class EndpointDirectory {
  readonly #options: EndpointDirectoryOptions;
  readonly #states = new Map<string, EndpointState>();
  readonly #subsets = new Map<string, Subset>();
  readonly #byInstance = new Map<string, Candidate>();
  #candidates: readonly Candidate[] = [];

  constructor(options: EndpointDirectoryOptions) {
    this.#options = options;
  }

  /** Takes a new configuration or list of instances; subsets change only when endpoints do. */
  update(configuration: Configuration, instances: readonly Instance[]): void {
    const candidates = listCandidates(configuration, instances);
    if (areSameCandidates(candidates, this.#candidates)) return;
    this.#candidates = candidates;
    this.#subsets.clear();
    this.#byInstance.clear();
    for (const candidate of candidates) this.#byInstance.set(candidate.instance.name, candidate);
    for (const name of this.#states.keys()) {
      if (!this.#byInstance.has(name)) this.#states.delete(name);
    }
  }

  /** The state of a candidate. */
  state({instance, set}: Candidate): EndpointState {
    const known = this.#states.get(instance.name);
    if (known !== undefined) return known;
    const {clock, random} = this.#options;
    const state = new EndpointState(clock, random, set.slots);
    this.#states.set(instance.name, state);
    return state;
  }

  /** The state of a listed instance. */
  find(instance: string): EndpointState | undefined {
    const candidate = this.#byInstance.get(instance);
    return candidate === undefined ? undefined : this.state(candidate);
  }

  /** Takes a load report, made after requests that were sent by a time had arrived. */
  observe(instance: string, load: Load, asOfMs: number): void {
    this.find(instance)?.observe(load, asOfMs);
  }

  /** The endpoints that a request may go to now; the reserve only when no member of the subset can serve. */
  usable(demand: Demand): Result<readonly Candidate[], Failure> {
    const {target} = demand;
    // A key must meet the same endpoint from every entry, so it ranks all of them.
    if (target.kind === 'service' && target.affinityKey !== undefined) {
      return this.#firstUsable(demand, [this.#serving(demand)]);
    }
    const {members, reserve} = this.#subset(demand);
    return this.#firstUsable(demand, [members, reserve]);
  }

  #firstUsable(
    demand: Demand,
    rings: readonly (readonly Candidate[])[],
  ): Result<readonly Candidate[], Failure> {
    if (rings.every((ring) => ring.length === 0)) return err(noEndpoint(demand));
    let retryAfterMs = NO_ENDPOINT_RETRY_MS;
    for (const ring of rings) {
      const usable: Candidate[] = [];
      for (const candidate of ring) {
        const {isLeaving, backoff} = this.state(candidate);
        if (isLeaving || demand.excluded.has(candidate.instance.name)) continue;
        if (backoff.isActive) retryAfterMs = Math.min(retryAfterMs, backoff.remainingMs);
        else usable.push(candidate);
      }
      if (usable.length > 0) return ok(usable);
    }
    const waitMs = Math.max(MIN_RETRY_MS, retryAfterMs);
    return err(refusal('no_endpoint', 'no endpoint is available now', waitMs));
  }

  #serving(demand: Demand): readonly Candidate[] {
    return this.#candidates.filter((candidate) => serves(candidate, demand));
  }

  #subset(demand: Demand): Subset {
    const key = demandKey(demand);
    const known = this.#subsets.get(key);
    if (known !== undefined) return known;
    const {location, subsetSize = DEFAULT_SUBSET_SIZE} = this.#options;
    const {target} = demand;
    const name = target.kind === 'model' ? target.model : target.service;
    const subset = chooseSubset(location, name, this.#serving(demand), subsetSize);
    this.#subsets.set(key, subset);
    return subset;
  }
}
