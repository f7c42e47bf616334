/** Chooses the endpoint for a request among those that its class may use. */
import type {Clock, Random} from '@marigoldfold/runtime';
import {type Failure, type Instance, type Load, refusal, type Tier} from '@marigoldfold/protocol';
import type {Configuration, RequestClass} from '@marigoldfold/state';
import {err, ok, type Result} from 'neverthrow';
import type {Candidate, Demand} from './candidates.js';
import {EndpointDirectory} from './endpointDirectory.js';
import type {EndpointState, TrackedRequest} from './endpointState.js';
import {LoadProbes, type Probe} from './loadProbes.js';
import {AFFINITY_MAX_UTILIZATION, AFFINITY_MAX_EXTRA_WAIT_MS} from './prefixAffinity.js';
import {rankMembers} from './rendezvous.js';
import {slowdowns} from './trialTraffic.js';

/** Mechanisms that an experiment may switch off. */
export interface SelectionMechanisms {
  /** Decides by the state of endpoints; else at random. */
  readonly state: boolean;
  readonly prefixAffinity: boolean;
  readonly trialTraffic: boolean;
}

/** What the choice needs. */
export interface EndpointSelectorOptions {
  readonly clock: Clock;
  readonly random: Random;
  /** Name of the choosing instance, for its subset. */
  readonly self: string;
  readonly failureDomain?: string;
  readonly region?: string;
  /** Endpoints of each model that are used. */
  readonly subsetSize?: number;
  /** Without it, choices go by what answers have told. */
  readonly probe?: Probe;
  readonly mechanisms?: Partial<SelectionMechanisms>;
  /** Called with each load report, for what it tells besides the load. */
  readonly onLoad?: (instance: string, load: Load) => void;
}

const SAMPLE_SIZE = 3;
const PROBE_TIMEOUT_MS = 50;
const PROBES_PER_SECOND = 4;
const MIN_RETRY_AFTER_MS = 100;
/** A request is refused early only by reports that are younger than this. */
const REFUSAL_REPORT_MAX_AGE_MS = 1000;
/** A move must save at least this much wait, in milliseconds, and half of it. */
const MIN_MOVE_GAIN_MS = 200;
const MOVE_WAIT_RATIO = 0.5;
const defaultMechanisms: SelectionMechanisms = {
  state: true,
  prefixAffinity: true,
  trialTraffic: true,
};

/** Keeps what is known of each endpoint and chooses by it. */
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
      observe: (instance, load, askedAtMs) => {
        this.observe(instance, load, askedAtMs);
      },
      timeoutMs: PROBE_TIMEOUT_MS,
      ratePerSecond: PROBES_PER_SECOND,
    });
  }

  /** Takes a new configuration or list of instances. */
  update(configuration: Configuration, instances: readonly Instance[]): void {
    this.#directory.update(configuration, instances);
  }

  /** Takes a load report; requests sent up to `asOfMs` had arrived when it was made. */
  observe(instance: string, load: Load, asOfMs = this.#clock.now()): void {
    this.#directory.observe(instance, load, asOfMs);
    this.#onLoad?.(instance, load);
  }

  /** Keeps an instance out of the choice for a while after a failure. */
  recordFailure(instance: string): void {
    this.#directory.find(instance)?.backoff.recordFailure();
  }

  /** Notes a request that goes to an endpoint. */
  trackRequest(candidate: Candidate, tier: Tier): TrackedRequest {
    return this.#state(candidate).trackRequest(tier);
  }

  /** Chooses an endpoint by what is known, or says why there is none. */
  choose(demand: Demand): Result<Candidate, Failure> {
    return this.#chooseAmong(demand, []);
  }

  /** Chooses an endpoint after asking those whose state is needed and too old. */
  async chooseWithProbes(demand: Demand): Promise<Result<Candidate, Failure>> {
    const usable = this.#directory.usable(demand);
    if (usable.isErr() || this.#probes === undefined) return this.choose(demand);
    const sample = this.#sample(usable.value, demand);
    await this.#refresh(sample);
    const chosen = this.#chooseAmong(demand, sample);
    if (chosen.isOk() || chosen.error.code !== 'target_unreachable') return chosen;
    // Before a refusal, the others are asked as well.
    await this.#refresh(usable.value);
    return this.choose(demand);
  }

  /** An endpoint where a request that waits at another would start clearly earlier. */
  findBetterEndpoint(current: string, demand: Demand): Candidate | undefined {
    const limitMs = this.#moveLimitMs(current, demand.tier);
    if (limitMs < 0) return undefined;
    const known = this.#alternatives(current, demand).filter(
      (candidate) => this.#state(candidate).hasReport,
    );
    if (known.length === 0) return undefined;
    const best = this.#shortestWait(known, demand.tier);
    return this.#state(best).waitMs(demand.tier) <= limitMs ? best : undefined;
  }

  /** As `findBetter`, after asking a few endpoints whose state is too old. */
  async findBetterWithProbes(current: string, demand: Demand): Promise<Candidate | undefined> {
    if (this.#moveLimitMs(current, demand.tier) < 0) return undefined;
    await this.#refresh(this.#sample(this.#alternatives(current, demand), demand));
    return this.findBetterEndpoint(current, demand);
  }

  /** The longest wait elsewhere for which a move pays. A queue goes on while its report grows old. */
  #moveLimitMs(current: string, tier: Tier): number {
    const state = this.#directory.find(current);
    if (state === undefined) return -1;
    const leftMs = state.waitMs(tier) - state.reportAgeMs;
    return Math.min(leftMs * MOVE_WAIT_RATIO, leftMs - MIN_MOVE_GAIN_MS);
  }

  #alternatives(current: string, demand: Demand): readonly Candidate[] {
    const excluded = new Set([...demand.excluded, current]);
    const usable = this.#directory.usable({...demand, excluded}).unwrapOr([]);
    return usable.filter((candidate) => !this.#state(candidate).weight.isReduced);
  }

  /** Chooses among a sample, of which some may have turned out to be unusable; else among a new one. */
  #chooseAmong(demand: Demand, sample: readonly Candidate[]): Result<Candidate, Failure> {
    const usable = this.#directory.usable(demand);
    if (usable.isErr()) return err(usable.error);
    const left = sample.filter((candidate) => usable.value.includes(candidate));
    const among = left.length > 0 ? left : this.#sample(usable.value, demand);
    return this.#decide(demand, usable.value, among);
  }

  /** A few candidates at random, and the one whose cache should hold the prompt's beginning. */
  #sample(usable: readonly Candidate[], demand: Demand): readonly Candidate[] {
    const rest = [...this.#withoutSlowed(usable, demand)];
    const sample: Candidate[] = [];
    const affine = this.#affinityTarget(rest, demand);
    if (affine !== undefined) sample.push(...rest.splice(rest.indexOf(affine), 1));
    const size = affine === undefined ? SAMPLE_SIZE : SAMPLE_SIZE + 1;
    while (sample.length < size && rest.length > 0) {
      const index = Math.floor(this.#random() * rest.length);
      sample.push(...rest.splice(index, 1));
    }
    return sample;
  }

  /**
   * Leaves slowed endpoints out but for their trial traffic, which never is of the top tier. Work without
   * targets for its tokens goes there as before: it shows the recovery and leaves the others free.
   */
  #withoutSlowed(usable: readonly Candidate[], {tier, requestClass}: Demand): readonly Candidate[] {
    if (!this.#mechanisms.trialTraffic) return usable;
    this.#updateWeights(usable);
    const {firstTokenMs, interTokenMs} = requestClass;
    if (firstTokenMs === undefined && interTokenMs === undefined) return usable;
    const steady: Candidate[] = [];
    for (const candidate of usable) {
      const {weight} = this.#state(candidate);
      if (!weight.isReduced) steady.push(candidate);
      else if (tier > 0 && this.#random() < weight.value / usable.length) return [candidate];
    }
    return steady.length > 0 ? steady : usable;
  }

  #updateWeights(usable: readonly Candidate[]): void {
    const states = usable.map((candidate) => this.#state(candidate));
    const first = slowdowns(states.map(({latency}) => latency.firstTokenRatio));
    const inter = slowdowns(states.map(({latency}) => latency.interTokenMs));
    for (const [index, {weight}] of states.entries()) {
      weight.update(Math.max(first[index] ?? 1, inter[index] ?? 1));
    }
  }

  #affinityTarget(
    members: readonly Candidate[],
    {prefixKey, target}: Demand,
  ): Candidate | undefined {
    if (target.kind === 'service') {
      if (target.affinityKey === undefined) return undefined;
      return rankMembers(target.affinityKey, members, ({endpoint}) => endpoint)[0];
    }
    if (prefixKey === undefined || !this.#mechanisms.prefixAffinity) return undefined;
    return rankMembers(prefixKey, members, ({instance}) => instance.name)[0];
  }

  #decide(
    demand: Demand,
    usable: readonly Candidate[],
    sample: readonly Candidate[],
  ): Result<Candidate, Failure> {
    const {tier, target} = demand;
    if (target.kind === 'service' && target.affinityKey !== undefined) {
      const affine = this.#affinityTarget(usable, demand);
      if (affine !== undefined) return ok(affine);
    }
    if (!this.#mechanisms.state) return ok(firstOf(sample));
    const best = this.#shortestWait(sample, tier);
    const affine = this.#affinityTarget(sample, demand);
    const preferred =
      affine !== undefined && this.#isWithinAffinityLimits(affine, best, tier) ? affine : best;
    if (this.#canMeetObjective(preferred, demand)) return ok(preferred);
    const steady = usable.filter((candidate) => !this.#state(candidate).weight.isReduced);
    const least = this.#shortestWait(steady.length > 0 ? steady : usable, tier);
    return this.#canMeetObjective(least, demand) ? ok(least) : this.#refuse(least, usable, demand);
  }

  #isWithinAffinityLimits(affine: Candidate, best: Candidate, tier: Tier): boolean {
    const state = this.#state(affine);
    if (state.utilization > AFFINITY_MAX_UTILIZATION) return affine === best;
    return state.waitMs(tier) <= this.#state(best).waitMs(tier) + AFFINITY_MAX_EXTRA_WAIT_MS;
  }

  #canMeetObjective(candidate: Candidate, {requestClass, tier}: Demand): boolean {
    const state = this.#state(candidate);
    if (state.reportAgeMs > REFUSAL_REPORT_MAX_AGE_MS) return true;
    return state.waitMs(tier) <= waitBudgetMs(requestClass);
  }

  #refuse(
    least: Candidate,
    usable: readonly Candidate[],
    {requestClass, tier}: Demand,
  ): Result<Candidate, Failure> {
    const displaceable = usable.filter((candidate) =>
      this.#state(candidate).hasPreemptibleWork(tier),
    );
    if (tier === 0 && displaceable.length > 0) return ok(this.#shortestWait(displaceable, tier));
    const waitMs = this.#state(least).waitMs(tier);
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

/** Milliseconds that a request of a class may wait. */
function waitBudgetMs({firstTokenMs, completionMs}: RequestClass): number {
  return firstTokenMs ?? completionMs ?? Number.POSITIVE_INFINITY;
}

/** Among endpoints with equal waits, the one with the most room comes first. */
function isPreferred(a: EndpointState, b: EndpointState, tier: Tier): boolean {
  const waitA = a.waitMs(tier);
  const waitB = b.waitMs(tier);
  return waitA === waitB ? a.utilization < b.utilization : waitA < waitB;
}

function firstOf(candidates: readonly Candidate[]): Candidate {
  const [candidate] = candidates;
  if (candidate === undefined) throw new Error('a choice among no candidates');
  return candidate;
}
