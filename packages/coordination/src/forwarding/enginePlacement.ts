/** Chooses the engine for a generation by the risk that it or other requests miss their objectives. */
import type {Clock} from '@marigoldfold/runtime';
import type {Engine} from '@marigoldfold/state';
import {hash64} from '../hash.js';
import {findWeightedOwner, rankMembers} from '../rendezvous.js';
import {ArrivalRate} from './arrivalRate.js';
import type {PlacementRequest, PromptSize} from './placementRequest.js';
import type {Endpoint} from './endpoint.js';
import {countForShare, findMedianRatio} from './endpointSpeed.js';
import {EngineTimings} from './engineTimings.js';
import {estimatePrefillBacklogMs} from './prefillEstimate.js';
import {measureSlowness, estimateSlowness} from './engineSlowness.js';
import {estimateSlotWaitMs, limitBySlots} from './slotDemand.js';

/** Minimum tokens of a long prompt: about twice the tokens that an engine prefills in one step. */
const LONG_PROMPT_TOKENS = 2000;
/** Safety factor on the expected time to first token, for requests of other processes not yet reported. */
const FIRST_EVENT_SAFETY_FACTOR = 1.3;
/** Time constant, in milliseconds, over which the proportion of long to short prompts is measured. */
const WORKLOAD_MIX_WINDOW_MS = 6000;
/**
 * Weight of a token of a short prompt, relative to one of a long prompt, when endpoints are divided between
 * both. Short prompts have longer responses and shorter pause objectives.
 */
const SHORT_PROMPT_WORK_FACTOR = 0.8;
/** Maximum fraction of endpoints reserved for long prompts, since short prompts are more urgent. */
const MAX_LONG_SHARE = 0.75;
/** Cost of prefilling a whole prompt again, as a multiple of the request's value; source: platform prices. */
const RECOMPUTE_COST = 1.2;
/**
 * Loss, as a multiple of the request's value, for each long prompt that is expected to arrive at an engine
 * while the engine prefills shared parts again, which delays all prompts queued there. Source: parameter sweep
 * of the placement experiments, docs/design/platform.md.
 */
const RECOMPUTE_DELAY_COST = 20;
/** Fraction of `RECOMPUTE_DELAY_COST` that applies if no endpoint has the shared parts in its cache. */
const FIRST_PREFILL_DELAY_SHARE = 0.1;
/** Risk that a short prompt at an endpoint for long prompts misses its pause objective, due to their prefill. */
const SHORT_AMONG_LONG_RISK = 0.6;
/**
 * Probability that the prefill of one long prompt makes a short stream miss its pause objective; source:
 * docs/design.
 */
const LONG_PREFILL_RISK = 0.2;
/** Risk for later requests caused by a long prompt at an endpoint for short prompts. */
const LONG_AMONG_SHORT_RISK = 0.3;
/** Steepness of `missProbability`: one half when the expected time equals the objective, about 1/64 at half of it. */
const RISK_EXPONENT = 6;
/**
 * Maximum fraction of the remaining time to a request's objective that prefill may take; only then is the
 * request sent before longer ones.
 */
const MAX_PREFILL_TARGET_SHARE = 0.5;
/** Time between two updates of the slow band of a service, in milliseconds. */
const SLOW_BAND_INTERVAL_MS = 500;
/** Value of an output token as a multiple of the value of a prompt token. */
const OUTPUT_TOKEN_WEIGHT = 10;

/** An endpoint with the properties by which its expected loss for one prompt is computed. */
interface PlacementCandidate {
  readonly endpoint: Endpoint;
  readonly isLong: boolean;
  /** Whether the endpoint is reserved for short prompts while this one is long, or the reverse. */
  readonly isOtherGroup: boolean;
  /** Whether rendezvous hashing, equal in all processes, assigns the shared parts of the prompt to this endpoint. */
  readonly isAffinityEndpoint: boolean;
  /** Whether any endpoint is estimated to have the shared parts of the prompt in its cache. */
  readonly isCachedAnywhere: boolean;
  /** Number of endpoints reserved for long prompts. */
  readonly longEndpointCount: number;
}

/** Endpoints of a service from which one is chosen. */
export interface EngineChoice {
  /** Endpoints that are divided between long and short prompts. */
  readonly group: readonly Endpoint[];
  /** Whether an endpoint may be chosen; one whose limit is used up, or whose window is full, may not. */
  readonly isOpen: (endpoint: Endpoint) => boolean;
}

/** Endpoints reserved for long and for short prompts. */
interface EndpointGroups {
  readonly long: readonly Endpoint[];
  readonly short: readonly Endpoint[];
}

/** Clock by which an engine placement estimates queueing and arrival rates, and a listener. */
export interface EnginePlacementOptions {
  readonly clock: Clock;
  /** Called when an endpoint has entered or left the slow band of its service. */
  readonly onSpeedBandChanged?: (endpoint: Endpoint) => void;
}

/**
 * Keeps long and short prompts on separate engines: an engine prefills prompts between the tokens of its
 * running streams, so a long prompt extends the pauses of all of them. The endpoints are divided in proportion
 * to the weighted tokens recently sent in each kind of prompt.
 */
export class EnginePlacement {
  readonly #clock: Clock;
  readonly #onSpeedBandChanged: (endpoint: Endpoint) => void;
  readonly #timings = new Map<string, EngineTimings>();
  /** Time of the last update of the slow band, by service. */
  readonly #slowBandUpdatedAtMs = new Map<string, number>();
  readonly #longPromptWork = new ArrivalRate(WORKLOAD_MIX_WINDOW_MS);
  readonly #shortPromptWork = new ArrivalRate(WORKLOAD_MIX_WINDOW_MS);
  /** Arrival rate of long prompts at all endpoints together. */
  readonly #longPromptArrivals = new ArrivalRate(WORKLOAD_MIX_WINDOW_MS);

  constructor({clock, onSpeedBandChanged}: EnginePlacementOptions) {
    this.#clock = clock;
    this.#onSpeedBandChanged = onSpeedBandChanged ?? (() => undefined);
  }

  /** Timing estimates of a service's engines, created on first use. */
  timings(service: string): EngineTimings {
    let timings = this.#timings.get(service);
    if (timings === undefined) {
      timings = new EngineTimings();
      this.#timings.set(service, timings);
    }
    return timings;
  }

  /** Whether a request meets its objective with a margin if its prefill starts at once. */
  canMeetTarget(endpoint: Endpoint, {service, targetLeftMs}: PlacementRequest, prompt: PromptSize) {
    const timings = this.timings(service);
    const prefillMs = endpoint.cacheEstimate.uncachedTokens(prompt) * timings.prefillMsPerToken;
    const expectedMs = endpoint.speed.slowness * (prefillMs + timings.eventGapMs);
    return expectedMs <= targetLeftMs * MAX_PREFILL_TARGET_SHARE;
  }

  /** Returns the open endpoint with the least expected loss, or undefined if none is open. */
  choose(
    request: PlacementRequest,
    prompt: PromptSize,
    engine: Engine,
    {group, isOpen}: EngineChoice,
  ): Endpoint | undefined {
    this.timings(request.service).tokensPerEvent = engine.tokensPerEvent;
    const isLong = isLongPrompt(prompt);
    this.#updateSlowBand(request.service, group);
    const ordered = [...group].sort((a, b) => stableOrderOf(a) - stableOrderOf(b));
    const {long, short} = this.#divide(ordered);
    const ownGroup = isLong ? long : short;
    const affinityEndpoint = affinityEndpointOf(prompt, ownGroup);
    const isCachedAnywhere = ordered.some(
      ({cacheEstimate}) => cacheEstimate.uncachedTokens(prompt) <= unsharedTokens(prompt),
    );
    let best: Endpoint | undefined;
    let leastLoss = Number.POSITIVE_INFINITY;
    for (const endpoint of ordered) {
      if (!isOpen(endpoint)) continue;
      const isOtherGroup = !ownGroup.includes(endpoint);
      const isAffinityEndpoint = endpoint === affinityEndpoint;
      const candidate = {
        endpoint,
        isLong,
        isOtherGroup,
        isAffinityEndpoint,
        isCachedAnywhere,
        longEndpointCount: long.length,
      };
      const loss = this.#expectedLoss(request, prompt, candidate);
      if (loss >= leastLoss) continue;
      best = endpoint;
      leastLoss = loss;
    }
    return best;
  }

  /** Expected loss, in the unit of `generationValue`, of this request and of those in flight at the endpoint. */
  #expectedLoss(
    {service, targetLeftMs, patienceLeftMs}: PlacementRequest,
    prompt: PromptSize,
    candidate: PlacementCandidate,
  ): number {
    const {endpoint, isLong, isOtherGroup, isAffinityEndpoint} = candidate;
    const timings = this.timings(service);
    const nowMs = this.#clock.now();
    const slowness = estimateSlowness(endpoint, timings, nowMs);
    const uncachedTokens = isAffinityEndpoint
      ? unsharedTokens(prompt)
      : endpoint.cacheEstimate.uncachedTokens(prompt);
    const prefillMs = uncachedTokens * timings.prefillMsPerToken;
    const backlogMs =
      endpoint.requestsPerKnown * estimatePrefillBacklogMs(endpoint.knownRequests(), nowMs);
    const slotWaitMs = estimateSlotWaitMs(endpoint, timings);
    const firstEventMs = slotWaitMs + slowness * (backlogMs + prefillMs + timings.eventGapMs);
    const value = generationValue(prompt);
    const paddedFirstEventMs = FIRST_EVENT_SAFETY_FACTOR * firstEventMs;
    let loss =
      value *
      (missProbability(paddedFirstEventMs, targetLeftMs) +
        missProbability(paddedFirstEventMs, patienceLeftMs));
    if (isLong)
      loss +=
        value *
        this.#recomputeLoss(prompt, uncachedTokens - unsharedTokens(prompt), timings, candidate);
    const gapExtensionMs = Math.min(
      backlogMs + prefillMs,
      timings.prefillTokensPerEvent * timings.prefillMsPerToken,
    );
    const gapMs = slowness * (timings.eventGapMs + gapExtensionMs);
    loss += this.#runningStreamLoss(endpoint, gapMs);
    if (!isLong) loss += value * this.#longPromptRisk(endpoint, prompt, timings, isOtherGroup);
    else if (isOtherGroup) loss += value * LONG_AMONG_SHORT_RISK;
    return loss;
  }

  /** Expected loss, as a multiple of the request's value, from prefilling `tokens` shared tokens again. */
  #recomputeLoss(
    prompt: PromptSize,
    tokens: number,
    timings: EngineTimings,
    {endpoint, isCachedAnywhere, longEndpointCount}: PlacementCandidate,
  ): number {
    if (tokens <= 0) return 0;
    const arrivalsPerMs =
      this.#longPromptArrivals.perMs(this.#clock.now()) / Math.max(1, longEndpointCount);
    const prefillMs = endpoint.speed.slowness * tokens * timings.prefillMsPerToken;
    const delayedPrompts = arrivalsPerMs * prefillMs;
    const weight = isCachedAnywhere ? 1 : FIRST_PREFILL_DELAY_SHARE;
    return (
      (RECOMPUTE_COST * tokens) / prompt.promptTokens +
      RECOMPUTE_DELAY_COST * weight * delayedPrompts
    );
  }

  /** Probability that long prompts arriving during a short stream make the stream miss its pause objective. */
  #longPromptRisk(
    endpoint: Endpoint,
    {maxOutputTokens}: PromptSize,
    {tokensPerEvent, eventGapMs}: EngineTimings,
    isOtherGroup: boolean,
  ): number {
    const streamMs = endpoint.speed.slowness * (maxOutputTokens / tokensPerEvent) * eventGapMs;
    const expectedLongPrompts = endpoint.longPromptArrivals.perMs(this.#clock.now()) * streamMs;
    const risk = 1 - (1 - LONG_PREFILL_RISK) ** expectedLongPrompts;
    return isOtherGroup ? Math.max(SHORT_AMONG_LONG_RISK, risk) : risk;
  }

  /** Records a prompt sent to an endpoint by this or another process. */
  recordSend(endpoint: Endpoint, prompt: PromptSize): void {
    const now = this.#clock.now();
    if (isLongPrompt(prompt)) {
      endpoint.longPromptArrivals.add(now);
      this.#longPromptArrivals.add(now);
    }
    if (endpoint.limitPerSecond !== undefined) return;
    // Counts only unshared tokens, so that prefilling shared parts again does not change the division of endpoints.
    const tokens = unsharedTokens(prompt);
    if (isLongPrompt(prompt)) this.#longPromptWork.add(now, tokens);
    else this.#shortPromptWork.add(now, tokens * SHORT_PROMPT_WORK_FACTOR);
  }

  /** Records that `events` events of a stream took `elapsedMs`; returns the ratio to the expected time. */
  measureSlowness(endpoint: Endpoint, events: number, elapsedMs: number): number {
    const timings = this.timings(endpoint.record.service);
    return measureSlowness(endpoint, timings, events, {nowMs: this.#clock.now(), elapsedMs});
  }

  /** Expected loss of the streams in flight at an endpoint if the gap between their events grows to `gapMs`. */
  #runningStreamLoss(endpoint: Endpoint, gapMs: number): number {
    let loss = 0;
    let knownCount = 0;
    // Requests still in prefill are included, since their streams will be delayed as well.
    for (const {pauseTargetMs, longestPauseMs, prompt} of endpoint.knownRequests()) {
      knownCount += 1;
      if (prompt === undefined) continue;
      // A stream that has already missed its objective causes no further loss.
      if (pauseTargetMs === undefined || longestPauseMs > pauseTargetMs) continue;
      loss += generationValue(prompt) * missProbability(gapMs, pauseTargetMs);
    }
    // Requests unknown to this process are assumed to have the mean loss of the known ones.
    return knownCount === 0 ? loss : loss * Math.max(1, endpoint.occupancy / knownCount);
  }

  /**
   * Divides endpoints between long and short prompts. A limit counts requests, whatever their length, so endpoints with
   * one take long prompts, and the others are divided by the work that is left for them.
   */
  #divide(endpoints: readonly Endpoint[]): EndpointGroups {
    const unlimited = endpoints.filter(({limitPerSecond}) => limitPerSecond === undefined);
    if (unlimited.length === 0) return this.#divideByWork(endpoints);
    const {long, short} = this.#divideByWork(unlimited);
    const limited = endpoints.filter(({limitPerSecond}) => limitPerSecond !== undefined);
    return {long: [...long, ...limited], short};
  }

  /** Slow endpoints take long prompts first, whose objectives for pauses are less strict. */
  #divideByWork(endpoints: readonly Endpoint[]): EndpointGroups {
    const ordered = endpoints.some(({speed}) => speed.isSlow)
      ? [
          ...endpoints.filter(({speed}) => speed.isSlow),
          ...endpoints.filter(({speed}) => !speed.isSlow),
        ]
      : endpoints;
    const count = this.#countLongEndpoints(ordered);
    return {long: ordered.slice(0, count), short: ordered.slice(count)};
  }

  /** Updates which endpoints of a service are in the slow band, if that is due. */
  #updateSlowBand(service: string, endpoints: readonly Endpoint[]): void {
    const now = this.#clock.now();
    const updatedAtMs = this.#slowBandUpdatedAtMs.get(service) ?? Number.NEGATIVE_INFINITY;
    if (now - updatedAtMs < SLOW_BAND_INTERVAL_MS) return;
    this.#slowBandUpdatedAtMs.set(service, now);
    const medianRatio = findMedianRatio(endpoints.map(({speed}) => speed));
    if (medianRatio === undefined) return;
    for (const endpoint of endpoints) {
      if (endpoint.speed.classify(medianRatio)) this.#onSpeedBandChanged(endpoint);
    }
  }

  /** Number of endpoints to reserve for long prompts. */
  #countLongEndpoints(endpoints: readonly Endpoint[]): number {
    const count = endpoints.length;
    if (count < 2) return count;
    const now = this.#clock.now();
    const longWork = this.#longPromptWork.perMs(now);
    const totalWork = longWork + this.#shortPromptWork.perMs(now);
    const share = totalWork === 0 ? 0.5 : Math.min(MAX_LONG_SHARE, longWork / totalWork);
    const hasSlow = endpoints.some(({speed}) => speed.isSlow);
    const preferredCount = hasSlow ? countForShare(endpoints, share) : count * share;
    return limitBySlots(preferredCount, endpoints, isLongPrompt);
  }
}

/** Probability that a request with the expected time `timeMs` misses its objective. */
function missProbability(timeMs: number, objectiveMs: number): number {
  if (objectiveMs <= 0) return 1;
  const ratio = (timeMs / objectiveMs) ** RISK_EXPONENT;
  return ratio / (1 + ratio);
}

function isLongPrompt({promptTokens}: PromptSize): boolean {
  return promptTokens >= LONG_PROMPT_TOKENS;
}

/** Value of a generation: thousands of tokens, with output tokens weighted by `OUTPUT_TOKEN_WEIGHT`. */
function generationValue({promptTokens, maxOutputTokens}: PromptSize): number {
  return (promptTokens + OUTPUT_TOKEN_WEIGHT * maxOutputTokens) / 1000;
}

/** Tokens of the last prompt part, which is used only by this request or its session. */
function unsharedTokens({parts, promptTokens}: PromptSize): number {
  return parts.at(-1)?.tokens ?? promptTokens;
}

/** The endpoint that every process ranks first for the shared parts of a prompt; slow ones own fewer prompts. */
function affinityEndpointOf({parts}: PromptSize, group: readonly Endpoint[]): Endpoint | undefined {
  const shared = parts.at(-2) ?? parts.at(-1);
  if (shared === undefined) return undefined;
  const idOf = ({record}: Endpoint) => record.id;
  if (!group.some(({speed}) => speed.isSlow)) return rankMembers(shared.id, group, idOf)[0];
  return findWeightedOwner(shared.id, group, idOf, ({speed}) => 1 / speed.slowness);
}

/** Sort key of an endpoint that is the same in all processes. */
function stableOrderOf({record}: Endpoint): number {
  return Number(hash64(record.id) >> 12n);
}
