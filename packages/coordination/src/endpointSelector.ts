/** Selects the endpoint for a request among those that its class may use. */
import type {Clock, Random} from '@marigoldfold/runtime';
import {type Failure, type Instance, type Load, refusal, type Tier} from '@marigoldfold/protocol';
import type {Configuration, RequestClass} from '@marigoldfold/state';
import {err, ok, type Result} from 'neverthrow';
import type {Candidate, EndpointCriteria} from './candidates.js';
import {EndpointDirectory} from './endpointDirectory.js';
import type {EndpointState, TrackedRequest} from './endpointState.js';
import {LoadProbes, type Probe} from './loadProbes.js';
import {AFFINITY_MAX_UTILIZATION, AFFINITY_MAX_EXTRA_WAIT_MS} from './prefixAffinity.js';
import {rankMembers} from './rendezvous.js';
import {computeSlowdowns} from './trialTraffic.js';

/** Selection mechanisms, each of which experiments can disable. */
export interface SelectionMechanisms {
  /** Selects by the load of endpoints; at random when disabled. */
  readonly state: boolean;
  readonly prefixAffinity: boolean;
  readonly trialTraffic: boolean;
}

/** Identity, subset size, mechanisms and callbacks of an endpoint selector. */
export interface EndpointSelectorOptions {
  readonly clock: Clock;
  readonly random: Random;
  /** Name of this instance; determines its subset of endpoints. */
  readonly self: string;
  readonly failureDomain?: string;
  readonly region?: string;
  /** Maximum number of endpoints that this instance uses for each model. */
  readonly subsetSize?: number;
  /** Requests a load report; if absent, only reports attached to responses are used. */
  readonly probe?: Probe;
  readonly mechanisms?: Partial<SelectionMechanisms>;
  /** Called with each load report, so that the caller can use fields such as the configuration number. */
  readonly onLoad?: (instance: string, load: Load) => void;
}

const SAMPLE_SIZE = 3;
const PROBE_TIMEOUT_MS = 50;
const PROBES_PER_SECOND = 4;
const MIN_RETRY_AFTER_MS = 100;
/** Maximum age, in milliseconds, of a report for which a request is refused early. */
const REFUSAL_REPORT_MAX_AGE_MS = 1000;
/** Minimum wait that moving a queued request must save, in milliseconds; it must also save half of the wait. */
const MIN_MOVE_GAIN_MS = 200;
const MOVE_WAIT_RATIO = 0.5;
const defaultMechanisms: SelectionMechanisms = {
  state: true,
  prefixAffinity: true,
  trialTraffic: true,
};

/** Tracks the state of endpoints and selects by estimated wait among a random sample. */
export class EndpointSelector {
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #mechanisms: SelectionMechanisms;
  readonly #directory: EndpointDirectory;
  readonly #probes: LoadProbes | undefined;
  readonly #onLoad: EndpointSelectorOptions['onLoad'];

  constructor(options: EndpointSelectorOptions) {
    const {clock, random, self, failureDomain = '', region = '', subsetSize, probe} = options;
    this.#clock = clock;
    this.#random = random;
    this.#mechanisms = {...defaultMechanisms, ...options.mechanisms};
    this.#onLoad = options.onLoad;
    const location = {self, failureDomain, region};
    this.#directory = new EndpointDirectory({clock, random, location, subsetSize});
    if (probe === undefined) return;
    this.#probes = new LoadProbes({
      clock,
      probe,
      observe: (instance, load, sentAtMs) => {
        this.observe(instance, load, sentAtMs);
      },
      timeoutMs: PROBE_TIMEOUT_MS,
      ratePerSecond: PROBES_PER_SECOND,
    });
  }

  /** Applies a new configuration or list of instances. */
  update(configuration: Configuration, instances: readonly Instance[]): void {
    this.#directory.update(configuration, instances);
  }

  /** Records a load report that includes the requests sent up to `asOfMs`. */
  observe(instance: string, load: Load, asOfMs = this.#clock.now()): void {
    this.#directory.observe(instance, load, asOfMs);
    this.#onLoad?.(instance, load);
  }

  /** Excludes an instance from selection for a backoff time after a failure. */
  recordFailure(instance: string): void {
    this.#directory.find(instance)?.backoff.recordFailure();
  }

  /** Counts a request as in flight at an endpoint until the handle is disposed of. */
  trackRequest(candidate: Candidate, tier: Tier): TrackedRequest {
    return this.#state(candidate).trackRequest(tier);
  }

  /**
   * Selects an endpoint from the current state; fails with `no_endpoint`, `target_unreachable`, `unknown_model`
   * or `unknown_service`.
   */
  choose(criteria: EndpointCriteria): Result<Candidate, Failure> {
    return this.#chooseAmong(criteria, []);
  }

  /** Selects an endpoint as `choose` does, after probing the sampled endpoints whose report is stale. */
  async chooseWithProbes(criteria: EndpointCriteria): Promise<Result<Candidate, Failure>> {
    const usable = this.#directory.usable(criteria);
    if (usable.isErr() || this.#probes === undefined) return this.choose(criteria);
    const sample = this.#sample(usable.value, criteria);
    await this.#refresh(sample);
    const chosen = this.#chooseAmong(criteria, sample);
    if (chosen.isOk() || chosen.error.code !== 'target_unreachable') return chosen;
    // Before a refusal, all other usable endpoints are probed as well.
    await this.#refresh(usable.value);
    return this.choose(criteria);
  }

  /** Finds an endpoint where a request queued at `current` would start earlier by the minimum gain. */
  findBetterEndpoint(current: string, criteria: EndpointCriteria): Candidate | undefined {
    const limitMs = this.#moveLimitMs(current, criteria.tier);
    if (limitMs < 0) return undefined;
    const reported = this.#alternatives(current, criteria).filter(
      (candidate) => this.#state(candidate).hasReport,
    );
    if (reported.length === 0) return undefined;
    const best = this.#shortestWait(reported, criteria.tier);
    return this.#state(best).waitMs(criteria.tier) <= limitMs ? best : undefined;
  }

  /** Searches as `findBetterEndpoint` does, after probing sampled endpoints whose report is stale. */
  async findBetterWithProbes(
    current: string,
    criteria: EndpointCriteria,
  ): Promise<Candidate | undefined> {
    if (this.#moveLimitMs(current, criteria.tier) < 0) return undefined;
    await this.#refresh(this.#sample(this.#alternatives(current, criteria), criteria));
    return this.findBetterEndpoint(current, criteria);
  }

  /**
   * Maximum wait at another endpoint, in milliseconds, for which a request is moved. The queue at `current` has
   * advanced since its last report, so the age of that report is subtracted from the reported wait.
   */
  #moveLimitMs(current: string, tier: Tier): number {
    const state = this.#directory.find(current);
    if (state === undefined) return -1;
    const remainingMs = state.waitMs(tier) - state.reportAgeMs;
    return Math.min(remainingMs * MOVE_WAIT_RATIO, remainingMs - MIN_MOVE_GAIN_MS);
  }

  #alternatives(current: string, criteria: EndpointCriteria): readonly Candidate[] {
    const excluded = new Set([...criteria.excluded, current]);
    const usable = this.#directory.usable({...criteria, excluded}).unwrapOr([]);
    return usable.filter((candidate) => !this.#state(candidate).weight.isReduced);
  }

  /** Selects among the endpoints of `sample` that are still usable, or among a new sample if none is. */
  #chooseAmong(
    criteria: EndpointCriteria,
    sample: readonly Candidate[],
  ): Result<Candidate, Failure> {
    const usable = this.#directory.usable(criteria);
    if (usable.isErr()) return err(usable.error);
    const stillUsable = sample.filter((candidate) => usable.value.includes(candidate));
    const candidates = stillUsable.length > 0 ? stillUsable : this.#sample(usable.value, criteria);
    return this.#decide(criteria, usable.value, candidates);
  }

  /** Random candidates, plus the affinity target of the request if it has one. */
  #sample(usable: readonly Candidate[], criteria: EndpointCriteria): readonly Candidate[] {
    const rest = [...this.#excludeSlow(usable, criteria)];
    const sample: Candidate[] = [];
    const affinityTarget = this.#affinityTarget(rest, criteria);
    if (affinityTarget !== undefined) sample.push(...rest.splice(rest.indexOf(affinityTarget), 1));
    const size = affinityTarget === undefined ? SAMPLE_SIZE : SAMPLE_SIZE + 1;
    while (sample.length < size && rest.length > 0) {
      const index = Math.floor(this.#random() * rest.length);
      sample.push(...rest.splice(index, 1));
    }
    return sample;
  }

  /**
   * Excludes slow endpoints, except for a small fraction of requests below the top tier that detects recovery.
   * Requests without latency targets may still use slow endpoints, which also detects recovery and leaves the
   * other endpoints to requests with targets.
   */
  #excludeSlow(
    usable: readonly Candidate[],
    {tier, requestClass}: EndpointCriteria,
  ): readonly Candidate[] {
    if (!this.#mechanisms.trialTraffic) return usable;
    this.#updateWeights(usable);
    const {firstTokenMs, interTokenMs} = requestClass;
    if (firstTokenMs === undefined && interTokenMs === undefined) return usable;
    const notSlow: Candidate[] = [];
    for (const candidate of usable) {
      const {weight} = this.#state(candidate);
      if (!weight.isReduced) notSlow.push(candidate);
      else if (tier > 0 && this.#random() < weight.value / usable.length) return [candidate];
    }
    return notSlow.length > 0 ? notSlow : usable;
  }

  #updateWeights(usable: readonly Candidate[]): void {
    const states = usable.map((candidate) => this.#state(candidate));
    const first = computeSlowdowns(states.map(({latency}) => latency.firstTokenRatio));
    const inter = computeSlowdowns(states.map(({latency}) => latency.interTokenMs));
    for (const [index, {weight}] of states.entries()) {
      weight.update(Math.max(first[index] ?? 1, inter[index] ?? 1));
    }
  }

  #affinityTarget(
    members: readonly Candidate[],
    {prefixKey, target}: EndpointCriteria,
  ): Candidate | undefined {
    if (target.kind === 'service') {
      if (target.affinityKey === undefined) return undefined;
      return rankMembers(target.affinityKey, members, ({endpoint}) => endpoint)[0];
    }
    if (prefixKey === undefined || !this.#mechanisms.prefixAffinity) return undefined;
    return rankMembers(prefixKey, members, ({instance}) => instance.name)[0];
  }

  #decide(
    criteria: EndpointCriteria,
    usable: readonly Candidate[],
    sample: readonly Candidate[],
  ): Result<Candidate, Failure> {
    const {tier, target} = criteria;
    if (target.kind === 'service' && target.affinityKey !== undefined) {
      const affinityTarget = this.#affinityTarget(usable, criteria);
      if (affinityTarget !== undefined) return ok(affinityTarget);
    }
    if (!this.#mechanisms.state) return ok(firstOf(sample));
    const best = this.#shortestWait(sample, tier);
    const affinityTarget = this.#affinityTarget(sample, criteria);
    const preferred =
      affinityTarget !== undefined && this.#isWithinAffinityLimits(affinityTarget, best, tier)
        ? affinityTarget
        : best;
    if (this.#canMeetObjective(preferred, criteria)) return ok(preferred);
    const notSlow = usable.filter((candidate) => !this.#state(candidate).weight.isReduced);
    const shortest = this.#shortestWait(notSlow.length > 0 ? notSlow : usable, tier);
    return this.#canMeetObjective(shortest, criteria)
      ? ok(shortest)
      : this.#refuse(shortest, usable, criteria);
  }

  #isWithinAffinityLimits(affinityTarget: Candidate, best: Candidate, tier: Tier): boolean {
    const state = this.#state(affinityTarget);
    if (state.utilization > AFFINITY_MAX_UTILIZATION) return affinityTarget === best;
    return state.waitMs(tier) <= this.#state(best).waitMs(tier) + AFFINITY_MAX_EXTRA_WAIT_MS;
  }

  #canMeetObjective(candidate: Candidate, {requestClass, tier}: EndpointCriteria): boolean {
    const state = this.#state(candidate);
    if (state.reportAgeMs > REFUSAL_REPORT_MAX_AGE_MS) return true;
    return state.waitMs(tier) <= waitBudgetMs(requestClass);
  }

  #refuse(
    shortest: Candidate,
    usable: readonly Candidate[],
    {requestClass, tier}: EndpointCriteria,
  ): Result<Candidate, Failure> {
    const preemptible = usable.filter((candidate) =>
      this.#state(candidate).hasPreemptibleWork(tier),
    );
    if (tier === 0 && preemptible.length > 0) return ok(this.#shortestWait(preemptible, tier));
    const waitMs = this.#state(shortest).waitMs(tier);
    const overMs = Math.ceil(waitMs - waitBudgetMs(requestClass));
    const message = `the shortest wait of any endpoint is ${Math.round(waitMs)} ms, over the target of the class`;
    return err(refusal('target_unreachable', message, Math.max(MIN_RETRY_AFTER_MS, overMs)));
  }

  #shortestWait(candidates: readonly Candidate[], tier: Tier): Candidate {
    let best = firstOf(candidates);
    for (const candidate of candidates.slice(1)) {
      if (isPreferred(this.#state(candidate), this.#state(best), tier)) best = candidate;
    }
    return best;
  }

  async #refresh(candidates: readonly Candidate[]): Promise<void> {
    const stale = candidates.filter((candidate) => this.#state(candidate).isStale);
    await this.#probes?.refresh(stale.map(({instance}) => instance));
  }

  #state(candidate: Candidate): EndpointState {
    return this.#directory.state(candidate);
  }
}

/** Milliseconds that a request of a class may wait; infinite for a class without targets. */
function waitBudgetMs({firstTokenMs, completionMs}: RequestClass): number {
  return firstTokenMs ?? completionMs ?? Number.POSITIVE_INFINITY;
}

/** Whether `a` has a shorter wait than `b`, or a lower utilization at an equal wait. */
function isPreferred(a: EndpointState, b: EndpointState, tier: Tier): boolean {
  const waitA = a.waitMs(tier);
  const waitB = b.waitMs(tier);
  return waitA === waitB ? a.utilization < b.utilization : waitA < waitB;
}

function firstOf(candidates: readonly Candidate[]): Candidate {
  const [candidate] = candidates;
  if (candidate === undefined) throw new Error('no candidates to select from');
  return candidate;
}
