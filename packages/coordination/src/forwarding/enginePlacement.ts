/** Chooses the model engine for a generation, by the risk that it or others miss their objectives. */
import type {Clock} from '@marigoldfold/runtime';
import type {Engine} from '@marigoldfold/state';
import {hash64} from '../hash.js';
import {rankMembers} from '../rendezvous.js';
import {ArrivalRate} from './arrivalRate.js';
import type {PlacementRequest, PromptSize} from './placementRequest.js';
import type {Endpoint} from './endpoint.js';
import {EngineTimings} from './engineTimings.js';
import {prefillBacklogMs} from './prefillEstimate.js';
import {measureSlowness, estimateSlowness} from './engineSlowness.js';

/** Tokens from which a prompt counts as long: twice what an engine reads in a step. */
const LONG_PROMPT_TOKENS = 2000;
/** First events come later than expected in so far as requests arrive that nobody told of yet. */
const FIRST_EVENT_SAFETY_FACTOR = 1.3;
/** Time constant with which the mix of long and short prompts is followed, in milliseconds. */
const WORKLOAD_MIX_WINDOW_MS = 6000;
/** How much more room a token of a short prompt needs: its answer is longer and its pauses are shorter. */
const SHORT_PROMPT_WORK_FACTOR = 0.8;
/** Largest part of the endpoints for long prompts: the short ones are the urgent ones. */
const MAX_LONG_SHARE = 0.75;
/** Part of a request's value that reading its shared parts once more costs; source: the platform's prices. */
const RECOMPUTE_COST = 1.2;
/**
 * Values lost for each long prompt that is expected at an engine while it reads shared parts again: all that
 * wait there are delayed. Source: sweep of the placement experiments, docs/design/platform.md.
 */
const RECOMPUTE_DELAY_COST = 20;
/** Part of that where no endpoint is known to have the shared parts, so that one has to read them. */
const FIRST_PREFILL_DELAY_SHARE = 0.1;
/** Risk of a short prompt between long ones: their reading stretches most of its pauses. */
const SHORT_AMONG_LONG_RISK = 0.6;
/** Risk that the reading of one long prompt stretches a pause of a short stream too far; source: docs/design. */
const LONG_PREFILL_RISK = 0.2;
/** Risk that a long prompt among short ones brings to requests that come later. */
const LONG_AMONG_SHORT_RISK = 0.3;
/** Steepness of the risk around an objective: half at the objective, a 64th at half of it. */
const RISK_EXPONENT = 6;
/** Part of its objective that reading a prompt may take if it is to go before longer ones. */
const MAX_PREFILL_TARGET_SHARE = 0.5;
/** Tokens of output count so many times as much as those of a prompt. */
const OUTPUT_TOKEN_WEIGHT = 10;

/** An endpoint as the place of one prompt. */
interface PlacementCandidate {
  readonly endpoint: Endpoint;
  readonly isLong: boolean;
  /** Whether the endpoint belongs to the other group. */
  readonly isOtherGroup: boolean;
  /** Whether all instances agree on the endpoint for the shared parts. */
  readonly isAffinityEndpoint: boolean;
  /** Whether some endpoint is known to have the shared parts. */
  readonly isCachedAnywhere: boolean;
  /** Endpoints for long prompts. */
  readonly longEndpointCount: number;
}

/** What the choice needs. */
export interface EnginePlacementOptions {
  readonly clock: Clock;
}

/**
 * Keeps long prompts and short ones on engines of their own: an engine reads prompts between the tokens
 * of its running streams, so a long one stretches the pauses of all of them. The border follows the
 * work that each kind brings.
 */
export class EnginePlacement {
  readonly #clock: Clock;
  readonly #timings = new Map<string, EngineTimings>();
  readonly #longPromptWork = new ArrivalRate(WORKLOAD_MIX_WINDOW_MS);
  readonly #shortPromptWork = new ArrivalRate(WORKLOAD_MIX_WINDOW_MS);
  /** Long prompts at all endpoints. */
  readonly #longPromptArrivals = new ArrivalRate(WORKLOAD_MIX_WINDOW_MS);

  constructor({clock}: EnginePlacementOptions) {
    this.#clock = clock;
  }

  /** The pace of a service's engines. */
  timings(service: string): EngineTimings {
    let pace = this.#timings.get(service);
    if (pace === undefined) {
      pace = new EngineTimings();
      this.#timings.set(service, pace);
    }
    return pace;
  }

  /** Whether a request is sure to meet its objective at an endpoint, if it is read there at once. */
  canMeetTarget(endpoint: Endpoint, {service, targetLeftMs}: PlacementRequest, prompt: PromptSize) {
    const pace = this.timings(service);
    const readMs = endpoint.cacheEstimate.uncachedTokens(prompt) * pace.prefillMsPerToken;
    return readMs + pace.eventGapMs <= targetLeftMs * MAX_PREFILL_TARGET_SHARE;
  }

  /** The endpoint with the least expected loss. */
  choose(
    demand: PlacementRequest,
    prompt: PromptSize,
    engine: Engine,
    candidates: readonly Endpoint[],
  ): Endpoint | undefined {
    this.timings(demand.service).tokensPerEvent = engine.tokensPerEvent;
    const isLong = isLongPrompt(prompt);
    const ranked = [...candidates].sort((a, b) => stableOrderOf(a) - stableOrderOf(b));
    const border = this.#countLongEndpoints(ranked.length);
    const own = isLong ? ranked.slice(0, border) : ranked.slice(border);
    const home = affinityEndpointOf(prompt, own);
    const isCachedAnywhere = ranked.some(
      ({cacheEstimate}) => cacheEstimate.uncachedTokens(prompt) <= unsharedTokens(prompt),
    );
    let best: Endpoint | undefined;
    let leastLoss = Number.POSITIVE_INFINITY;
    for (const endpoint of ranked) {
      const isOtherGroup = !own.includes(endpoint);
      const isAffinityEndpoint = endpoint === home;
      const place = {
        endpoint,
        isLong,
        isOtherGroup,
        isAffinityEndpoint,
        isCachedAnywhere,
        longEndpointCount: border,
      };
      const loss = this.#expectedLoss(demand, prompt, place);
      if (loss >= leastLoss) continue;
      best = endpoint;
      leastLoss = loss;
    }
    return best;
  }

  /** Expected loss in values of requests, for this request and for those that run there. */
  #expectedLoss(
    {service, targetLeftMs, patienceLeftMs}: PlacementRequest,
    prompt: PromptSize,
    place: PlacementCandidate,
  ): number {
    const {endpoint, isLong, isOtherGroup, isAffinityEndpoint} = place;
    const pace = this.timings(service);
    const nowMs = this.#clock.now();
    const slowness = estimateSlowness(endpoint, pace, nowMs);
    const unread = isAffinityEndpoint
      ? unsharedTokens(prompt)
      : endpoint.cacheEstimate.uncachedTokens(prompt);
    const readMs = unread * pace.prefillMsPerToken;
    const aheadMs = prefillBacklogMs(endpoint.knownRequests(), nowMs);
    const firstEventMs = slowness * (aheadMs + readMs + pace.eventGapMs);
    const value = generationValue(prompt);
    const cautiousMs = FIRST_EVENT_SAFETY_FACTOR * firstEventMs;
    let loss =
      value *
      (missProbability(cautiousMs, targetLeftMs) + missProbability(cautiousMs, patienceLeftMs));
    if (isLong)
      loss += value * this.#recomputeLoss(prompt, unread - unsharedTokens(prompt), pace, place);
    const stretchMs = Math.min(
      aheadMs + readMs,
      pace.prefillTokensPerEvent * pace.prefillMsPerToken,
    );
    const gapMs = slowness * (pace.eventGapMs + stretchMs);
    loss += this.#runningStreamLoss(endpoint, gapMs);
    if (!isLong) loss += value * this.#longPromptRisk(endpoint, prompt, pace, isOtherGroup);
    else if (isOtherGroup) loss += value * LONG_AMONG_SHORT_RISK;
    return loss;
  }

  /** Expected loss, in values of the prompt, by tokens of shared parts that are read again. */
  #recomputeLoss(
    prompt: PromptSize,
    tokens: number,
    pace: EngineTimings,
    {isCachedAnywhere, longEndpointCount}: PlacementCandidate,
  ): number {
    if (tokens <= 0) return 0;
    const arrivalsPerMs =
      this.#longPromptArrivals.perMs(this.#clock.now()) / Math.max(1, longEndpointCount);
    const delayed = arrivalsPerMs * tokens * pace.prefillMsPerToken;
    const weight = isCachedAnywhere ? 1 : FIRST_PREFILL_DELAY_SHARE;
    return (
      (RECOMPUTE_COST * tokens) / prompt.promptTokens + RECOMPUTE_DELAY_COST * weight * delayed
    );
  }

  /** The risk that long prompts which arrive while a short stream runs stretch one of its pauses too far. */
  #longPromptRisk(
    endpoint: Endpoint,
    {maxOutputTokens}: PromptSize,
    {tokensPerEvent, eventGapMs}: EngineTimings,
    isForeign: boolean,
  ): number {
    const streamMs = (maxOutputTokens / tokensPerEvent) * eventGapMs;
    const expected = endpoint.longPromptArrivals.perMs(this.#clock.now()) * streamMs;
    const risk = 1 - (1 - LONG_PREFILL_RISK) ** expected;
    return isForeign ? Math.max(SHORT_AMONG_LONG_RISK, risk) : risk;
  }

  /** Notes a prompt that is sent to an endpoint, by this process or another one. */
  recordSend(endpoint: Endpoint, prompt: PromptSize): void {
    const now = this.#clock.now();
    // What must be read in any case: reading again does not move the border.
    const tokens = unsharedTokens(prompt);
    if (isLongPrompt(prompt)) {
      endpoint.longPromptArrivals.add(now);
      this.#longPromptWork.add(now, tokens);
      this.#longPromptArrivals.add(now);
    } else this.#shortPromptWork.add(now, tokens * SHORT_PROMPT_WORK_FACTOR);
  }

  /** Takes the time that some events of a stream took and returns how slow that was; 1 is usual. */
  measureSlowness(endpoint: Endpoint, events: number, tookMs: number): number {
    const pace = this.timings(endpoint.record.service);
    return measureSlowness(endpoint, pace, events, {nowMs: this.#clock.now(), tookMs});
  }

  /** Expected loss of the streams there if their events are so far apart. */
  #runningStreamLoss(endpoint: Endpoint, gapMs: number): number {
    let loss = 0;
    let known = 0;
    // Prompts that are still being read count as well: their streams are disturbed soon after.
    for (const {pauseTargetMs, longestPauseMs, prompt} of endpoint.knownRequests()) {
      known += 1;
      if (prompt === undefined) continue;
      // A stream that is late already loses nothing more.
      if (pauseTargetMs === undefined || longestPauseMs > pauseTargetMs) continue;
      loss += generationValue(prompt) * missProbability(gapMs, pauseTargetMs);
    }
    // Streams that nobody told of are taken to be like the others.
    return known === 0 ? loss : loss * Math.max(1, endpoint.occupancy / known);
  }

  /** Number of endpoints for long prompts. */
  #countLongEndpoints(count: number): number {
    if (count < 2) return count;
    const now = this.#clock.now();
    const long = this.#longPromptWork.perMs(now);
    const work = long + this.#shortPromptWork.perMs(now);
    const share = work === 0 ? 0.5 : Math.min(MAX_LONG_SHARE, long / work);
    return Math.min(count - 1, Math.max(1, Math.round(count * share)));
  }
}

/** The chance that a time over an objective is missed. */
function missProbability(timeMs: number, objectiveMs: number): number {
  if (objectiveMs <= 0) return 1;
  const ratio = (timeMs / objectiveMs) ** RISK_EXPONENT;
  return ratio / (1 + ratio);
}

function isLongPrompt({promptTokens}: PromptSize): boolean {
  return promptTokens >= LONG_PROMPT_TOKENS;
}

/** The value of a generation in tokens, a thousand being one. */
function generationValue({promptTokens, maxOutputTokens}: PromptSize): number {
  return (promptTokens + OUTPUT_TOKEN_WEIGHT * maxOutputTokens) / 1000;
}

/** Tokens that belong to the request or its session alone. */
function unsharedTokens({parts, promptTokens}: PromptSize): number {
  return parts.at(-1)?.tokens ?? promptTokens;
}

/** The endpoint on which all processes agree for the shared parts of a prompt. */
function affinityEndpointOf({parts}: PromptSize, pool: readonly Endpoint[]): Endpoint | undefined {
  const shared = parts.at(-2) ?? parts.at(-1);
  if (shared === undefined) return undefined;
  return rankMembers(shared.id, pool, ({record}) => record.id)[0];
}

/** An order of the endpoints on which all processes agree. */
function stableOrderOf({record}: Endpoint): number {
  return Number(hash64(record.id) >> 12n);
}
