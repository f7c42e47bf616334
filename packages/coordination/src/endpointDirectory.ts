/** Endpoints that one entry may use, with the load and backoff state of each. */
import type {Clock, Random} from '@marigoldfold/runtime';
import {type Failure, type Instance, type Load, refusal} from '@marigoldfold/protocol';
import type {Configuration} from '@marigoldfold/state';
import {err, ok, type Result} from 'neverthrow';
import {
  areSameCandidates,
  type Candidate,
  type EndpointCriteria,
  criteriaKey,
  listCandidates,
  createNoEndpointFailure,
  matchesEndpointCriteria,
} from './candidates.js';
import {EndpointState} from './endpointState.js';
import {chooseSubset, DEFAULT_SUBSET_SIZE, type EntryLocation, type Subset} from './subset.js';

/** Clock, random source and subset settings of an endpoint directory. */
export interface EndpointDirectoryOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly location: EntryLocation;
  /** Maximum number of endpoints that the entry uses for each model. */
  readonly subsetSize?: number | undefined;
}

/** Retry delay, in milliseconds, stated in a refusal when no endpoint is in backoff. */
const NO_ENDPOINT_RETRY_MS = 1000;
const MIN_RETRY_MS = 100;

/** Holds the candidate endpoints, their states and the subset for each model, computed on first use. */
export class EndpointDirectory {
  readonly #options: EndpointDirectoryOptions;
  readonly #states = new Map<string, EndpointState>();
  readonly #subsets = new Map<string, Subset>();
  readonly #byInstance = new Map<string, Candidate>();
  #candidates: readonly Candidate[] = [];

  constructor(options: EndpointDirectoryOptions) {
    this.#options = options;
  }

  /**
   * Applies a new configuration or list of instances; subsets
   * are recomputed only when candidates changed.
   */
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

  /** State of a candidate, created on first use. */
  state({instance, set}: Candidate): EndpointState {
    const existing = this.#states.get(instance.name);
    if (existing !== undefined) return existing;
    const {clock, random} = this.#options;
    const state = new EndpointState(clock, random, set.slots);
    this.#states.set(instance.name, state);
    return state;
  }

  /** State of a listed instance; undefined when it is not a candidate. */
  find(instance: string): EndpointState | undefined {
    const candidate = this.#byInstance.get(instance);
    return candidate === undefined ? undefined : this.state(candidate);
  }

  /** Records a load report that includes the requests sent up to `asOfMs`. */
  observe(instance: string, load: Load, asOfMs: number): void {
    this.find(instance)?.observe(load, asOfMs);
  }

  /** Endpoints that can accept a request now: members of the subset, or its reserve if no member can. */
  usable(criteria: EndpointCriteria): Result<readonly Candidate[], Failure> {
    const {target} = criteria;
    // An affinity key maps to the same endpoint at every entry, so it ranks all endpoints, not a subset.
    if (target.kind === 'service' && target.affinityKey !== undefined) {
      return this.#firstUsable(criteria, [this.#serving(criteria)]);
    }
    const {members, reserve} = this.#subset(criteria);
    return this.#firstUsable(criteria, [members, reserve]);
  }

  #firstUsable(
    criteria: EndpointCriteria,
    groups: readonly (readonly Candidate[])[],
  ): Result<readonly Candidate[], Failure> {
    if (groups.every((group) => group.length === 0)) return err(createNoEndpointFailure(criteria));
    let retryAfterMs = NO_ENDPOINT_RETRY_MS;
    for (const group of groups) {
      const usable: Candidate[] = [];
      for (const candidate of group) {
        const {isLeaving, backoff} = this.state(candidate);
        if (isLeaving || criteria.excluded.has(candidate.instance.name)) continue;
        if (backoff.isActive) retryAfterMs = Math.min(retryAfterMs, backoff.remainingMs);
        else usable.push(candidate);
      }
      if (usable.length > 0) return ok(usable);
    }
    const waitMs = Math.max(MIN_RETRY_MS, retryAfterMs);
    return err(refusal('no_endpoint', 'no endpoint is available now', waitMs));
  }

  #serving(criteria: EndpointCriteria): readonly Candidate[] {
    return this.#candidates.filter((candidate) => matchesEndpointCriteria(candidate, criteria));
  }

  #subset(criteria: EndpointCriteria): Subset {
    const key = criteriaKey(criteria);
    const existing = this.#subsets.get(key);
    if (existing !== undefined) return existing;
    const {location, subsetSize = DEFAULT_SUBSET_SIZE} = this.#options;
    const {target} = criteria;
    const name = target.kind === 'model' ? target.model : target.service;
    const subset = chooseSubset(location, name, this.#serving(criteria), subsetSize);
    this.#subsets.set(key, subset);
    return subset;
  }
}
