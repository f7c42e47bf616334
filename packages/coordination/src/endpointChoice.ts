/** Chooses the endpoint for a request among those that its class may use. */
import type {Clock, Random} from '@marigoldfold/runtime';
import {type Failure, type Instance, type Load, refusal, type Tier} from '@marigoldfold/protocol';
import type {Configuration, EndpointSet, RequestClass} from '@marigoldfold/state';
import {err, ok, type Result} from 'neverthrow';
import {rankMembers} from './rendezvous.js';

/** What a request needs of its endpoint. */
export interface Demand {
  readonly requestClass: RequestClass;
  readonly tier: Tier;
  /** The model of a generation, or the service of a call. */
  readonly target:
    | {readonly kind: 'model'; readonly model: string}
    | {readonly kind: 'service'; readonly service: string; readonly affinityKey?: string};
  /** Instances that were tried already. */
  readonly excluded: ReadonlySet<string>;
}

/** An endpoint with the instance of its agent. */
export interface Candidate {
  readonly instance: Instance;
  readonly endpoint: string;
  readonly setName: string;
  readonly set: EndpointSet;
}

/** What the choice needs. */
export interface EndpointChoiceOptions {
  readonly clock: Clock;
  readonly random: Random;
  /** Name of the choosing instance, for its subset. */
  readonly self: string;
}

interface Observation {
  readonly load: Load;
  readonly atMs: number;
}

const FAILURE_BACKOFF_MS = 1000;
const SAMPLE_SIZE = 3;
const RETRY_AFTER_MS = 1000;

/** Keeps what is known of each endpoint and chooses by it. */
export class EndpointChoice {
  readonly #options: EndpointChoiceOptions;
  readonly #observations = new Map<string, Observation>();
  readonly #barredUntilMs = new Map<string, number>();
  #candidates: readonly Candidate[] = [];

  constructor(options: EndpointChoiceOptions) {
    this.#options = options;
  }

  /** Takes a new configuration or list of instances. */
  update(configuration: Configuration, instances: readonly Instance[]): void {
    const candidates: Candidate[] = [];
    for (const instance of instances) {
      if (instance.role !== 'agent' || instance.endpoint === undefined) continue;
      const endpoint = configuration.get('endpoint', instance.endpoint);
      if (endpoint === undefined) continue;
      const set = configuration.get('endpointSet', endpoint.set);
      if (set === undefined) continue;
      candidates.push({instance, endpoint: instance.endpoint, setName: endpoint.set, set});
    }
    this.#candidates = candidates;
  }

  /** Takes a load report of an instance. */
  observe(instance: string, load: Load): void {
    this.#observations.set(instance, {load, atMs: this.#options.clock.now()});
  }

  /** Keeps an instance out of the choice for a while after a failure. */
  bar(instance: string): void {
    const jitter = 1 + this.#options.random();
    this.#barredUntilMs.set(instance, this.#options.clock.now() + FAILURE_BACKOFF_MS * jitter);
  }

  /** Chooses an endpoint, or says why there is none. */
  choose(demand: Demand): Result<Candidate, Failure> {
    const serving = this.#candidates.filter((candidate) => serves(candidate, demand));
    if (serving.length === 0) return err(noEndpoint(demand));
    const usable = serving.filter((candidate) => this.#isUsable(candidate, demand));
    if (usable.length === 0) {
      return err(refusal('no_endpoint', 'no endpoint is available now', RETRY_AFTER_MS));
    }
    const {target} = demand;
    if (target.kind === 'service' && target.affinityKey !== undefined) {
      const ranked = rankMembers(target.affinityKey, usable, (candidate) => candidate.endpoint);
      if (ranked[0] !== undefined) return ok(ranked[0]);
    }
    return ok(this.#leastWait(this.#sample(usable), demand.tier));
  }

  #isUsable(candidate: Candidate, demand: Demand): boolean {
    const {name, state} = candidate.instance;
    if (state === 'leaving' || demand.excluded.has(name)) return false;
    if (this.#observations.get(name)?.load.isLeaving === true) return false;
    return (this.#barredUntilMs.get(name) ?? 0) <= this.#options.clock.now();
  }

  #sample(candidates: readonly Candidate[]): readonly Candidate[] {
    const rest = [...candidates];
    const sample: Candidate[] = [];
    while (sample.length < SAMPLE_SIZE && rest.length > 0) {
      const index = Math.floor(this.#options.random() * rest.length);
      sample.push(...rest.splice(index, 1));
    }
    return sample;
  }

  #leastWait(candidates: readonly Candidate[], tier: Tier): Candidate {
    const [first, ...others] = candidates;
    if (first === undefined) throw new Error('a choice among no candidates');
    let best = first;
    for (const candidate of others) {
      if (this.#waitMs(candidate, tier) < this.#waitMs(best, tier)) best = candidate;
    }
    return best;
  }

  #waitMs(candidate: Candidate, tier: Tier): number {
    return this.#observations.get(candidate.instance.name)?.load.waitMs[tier] ?? 0;
  }
}

function serves({set, setName}: Candidate, {target, requestClass}: Demand): boolean {
  if (!requestClass.endpointSets.includes(setName)) return false;
  if (target.kind === 'service') return set.service === target.service;
  return set.type === 'engine' && set.models.includes(target.model);
}

function noEndpoint({target}: Demand): Failure {
  if (target.kind === 'model') {
    return refusal('unknown_model', `no endpoint serves model ${target.model} for this class`);
  }
  return refusal('unknown_service', `no endpoint serves ${target.service} for this class`);
}
