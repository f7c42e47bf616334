/** Chooses the model engine for a generation, by the risk that it or others miss their objectives. */
import type {Clock} from '@marigoldfold/runtime';
import type {Engine} from '@marigoldfold/state';
import {hash64} from '../hash.js';
import {rankMembers} from '../rendezvous.js';
import {ArrivalRate} from './arrivalRate.js';
import type {ForwardDemand, PromptSize} from './demand.js';
import type {Endpoint} from './endpoint.js';
import {EnginePace} from './enginePace.js';
import {backlogMs} from './engineReading.js';
import {observeEvents, slownessOf} from './engineSlowness.js';

/** Tokens from which a prompt counts as long: twice what an engine reads in a step. */
const LONG_PROMPT_TOKENS = 2000;
/** First events come later than expected in so far as requests arrive that nobody told of yet. */
const FIRST_EVENT_CAUTION = 1.3;
/** Time constant with which the mix of long and short prompts is followed, in milliseconds. */
const MIX_WINDOW_MS = 6000;
/** How much more room a token of a short prompt needs: its answer is longer and its pauses are shorter. */
const SHORT_WORK_FACTOR = 0.8;
/** Largest part of the endpoints for long prompts: the short ones are the urgent ones. */
const MAX_LONG_SHARE = 0.75;
/** Part of a request's value that reading its shared parts once more costs; source: the platform's prices. */
const REREAD_COST = 1.2;
/**
 * Values lost for each long prompt that is expected at an engine while it reads shared parts again: all that
 * wait there are delayed. Source: sweep of the placement experiments, docs/design/platform.md.
 */
const DELAY_COST = 20;
/** Part of that where no endpoint is known to have the shared parts, so that one has to read them. */
const FIRST_READ_DELAY = 0.1;
/** Risk of a short prompt between long ones: their reading stretches most of its pauses. */
const SHORT_AMONG_LONG_RISK = 0.6;
/** Risk that the reading of one long prompt stretches a pause of a short stream too far; source: docs/design. */
const LONG_READ_RISK = 0.2;
/** Risk that a long prompt among short ones brings to requests that come later. */
const LONG_AMONG_SHORT_RISK = 0.3;
/** Steepness of the risk around an objective: half at the objective, a 64th at half of it. */
const RISK_POWER = 6;
/** Part of its objective that reading a prompt may take if it is to go before longer ones. */
const PROMPT_READ_SHARE = 0.5;
/** Tokens of output count so many times as much as those of a prompt. */
const OUTPUT_TOKEN_VALUE = 10;

/** An endpoint as the place of one prompt. */
interface Place {
  readonly endpoint: Endpoint;
  readonly isLong: boolean;
  /** Whether the endpoint belongs to the other group. */
  readonly isForeign: boolean;
  /** Whether all instances agree on the endpoint for the shared parts. */
  readonly isHome: boolean;
  /** Whether some endpoint is known to have the shared parts. */
  readonly isCached: boolean;
  /** Endpoints for long prompts. */
  readonly longEndpoints: number;
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
  readonly #paces = new Map<string, EnginePace>();
  readonly #longWork = new ArrivalRate(MIX_WINDOW_MS);
  readonly #shortWork = new ArrivalRate(MIX_WINDOW_MS);
  /** Long prompts at all endpoints. */
  readonly #longArrivals = new ArrivalRate(MIX_WINDOW_MS);

  constructor({clock}: EnginePlacementOptions) {
    this.#clock = clock;
  }

  /** The pace of a service's engines. */
  pace(service: string): EnginePace {
    let pace = this.#paces.get(service);
    if (pace === undefined) {
      pace = new EnginePace();
      this.#paces.set(service, pace);
    }
    return pace;
  }

  /** Whether a request is sure to meet its objective at an endpoint, if it is read there at once. */
  canMeetTarget(endpoint: Endpoint, {service, targetLeftMs}: ForwardDemand, prompt: PromptSize) {
    const pace = this.pace(service);
    const readMs = endpoint.residency.unreadTokens(prompt) * pace.readMsPerToken;
    return readMs + pace.eventMs <= targetLeftMs * PROMPT_READ_SHARE;
  }

  /** The endpoint with the least expected loss. */
  choose(
    demand: ForwardDemand,
    prompt: PromptSize,
    engine: Engine,
    candidates: readonly Endpoint[],
  ): Endpoint | undefined {
    this.pace(demand.service).tokensPerEvent = engine.tokensPerEvent;
    const isLong = isLongPrompt(prompt);
    const ranked = [...candidates].sort((a, b) => rankOf(a) - rankOf(b));
    const border = this.#border(ranked.length);
    const own = isLong ? ranked.slice(0, border) : ranked.slice(border);
    const home = homeOf(prompt, own);
    const isCached = ranked.some(
      ({residency}) => residency.unreadTokens(prompt) <= ownTokens(prompt),
    );
    let best: Endpoint | undefined;
    let leastLoss = Number.POSITIVE_INFINITY;
    for (const endpoint of ranked) {
      const isForeign = !own.includes(endpoint);
      const isHome = endpoint === home;
      const place = {endpoint, isLong, isForeign, isHome, isCached, longEndpoints: border};
      const loss = this.#loss(demand, prompt, place);
      if (loss >= leastLoss) continue;
      best = endpoint;
      leastLoss = loss;
    }
    return best;
  }

  /** Expected loss in values of requests, for this request and for those that run there. */
  #loss(
    {service, targetLeftMs, patienceLeftMs}: ForwardDemand,
    prompt: PromptSize,
    place: Place,
  ): number {
    const {endpoint, isLong, isForeign, isHome} = place;
    const pace = this.pace(service);
    const nowMs = this.#clock.now();
    const slowness = slownessOf(endpoint, pace, nowMs);
    const unread = isHome ? ownTokens(prompt) : endpoint.residency.unreadTokens(prompt);
    const readMs = unread * pace.readMsPerToken;
    const aheadMs = backlogMs(endpoint.knownFlights(), nowMs);
    const firstEventMs = slowness * (aheadMs + readMs + pace.eventMs);
    const value = valueOf(prompt);
    const cautiousMs = FIRST_EVENT_CAUTION * firstEventMs;
    let loss = value * (riskOf(cautiousMs, targetLeftMs) + riskOf(cautiousMs, patienceLeftMs));
    if (isLong) loss += value * this.#rereadLoss(prompt, unread - ownTokens(prompt), pace, place);
    const stretchMs = Math.min(aheadMs + readMs, pace.eventReadTokens * pace.readMsPerToken);
    const gapMs = slowness * (pace.eventMs + stretchMs);
    loss += this.#harm(endpoint, gapMs);
    if (!isLong) loss += value * this.#riskAmongLong(endpoint, prompt, pace, isForeign);
    else if (isForeign) loss += value * LONG_AMONG_SHORT_RISK;
    return loss;
  }

  /** Expected loss, in values of the prompt, by tokens of shared parts that are read again. */
  #rereadLoss(
    prompt: PromptSize,
    tokens: number,
    pace: EnginePace,
    {isCached, longEndpoints}: Place,
  ): number {
    if (tokens <= 0) return 0;
    const arrivalsPerMs = this.#longArrivals.perMs(this.#clock.now()) / Math.max(1, longEndpoints);
    const delayed = arrivalsPerMs * tokens * pace.readMsPerToken;
    const weight = isCached ? 1 : FIRST_READ_DELAY;
    return (REREAD_COST * tokens) / prompt.promptTokens + DELAY_COST * weight * delayed;
  }

  /** The risk that long prompts which arrive while a short stream runs stretch one of its pauses too far. */
  #riskAmongLong(
    endpoint: Endpoint,
    {maxOutputTokens}: PromptSize,
    {tokensPerEvent, eventMs}: EnginePace,
    isForeign: boolean,
  ): number {
    const streamMs = (maxOutputTokens / tokensPerEvent) * eventMs;
    const expected = endpoint.longPrompts.perMs(this.#clock.now()) * streamMs;
    const risk = 1 - (1 - LONG_READ_RISK) ** expected;
    return isForeign ? Math.max(SHORT_AMONG_LONG_RISK, risk) : risk;
  }

  /** Notes a prompt that is sent to an endpoint, by this process or another one. */
  noteSend(endpoint: Endpoint, prompt: PromptSize): void {
    const now = this.#clock.now();
    // What must be read in any case: reading again does not move the border.
    const tokens = ownTokens(prompt);
    if (isLongPrompt(prompt)) {
      endpoint.longPrompts.add(now);
      this.#longWork.add(now, tokens);
      this.#longArrivals.add(now);
    } else this.#shortWork.add(now, tokens * SHORT_WORK_FACTOR);
  }

  /** Takes the time that some events of a stream took and returns how slow that was; 1 is usual. */
  observeEvents(endpoint: Endpoint, events: number, tookMs: number): number {
    const pace = this.pace(endpoint.record.service);
    return observeEvents(endpoint, pace, events, {nowMs: this.#clock.now(), tookMs});
  }

  /** Expected loss of the streams there if their events are so far apart. */
  #harm(endpoint: Endpoint, gapMs: number): number {
    let loss = 0;
    let known = 0;
    // Prompts that are still being read count as well: their streams are disturbed soon after.
    for (const {pauseTargetMs, longestPauseMs, prompt} of endpoint.knownFlights()) {
      known += 1;
      if (prompt === undefined) continue;
      // A stream that is late already loses nothing more.
      if (pauseTargetMs === undefined || longestPauseMs > pauseTargetMs) continue;
      loss += valueOf(prompt) * riskOf(gapMs, pauseTargetMs);
    }
    // Streams that nobody told of are taken to be like the others.
    return known === 0 ? loss : loss * Math.max(1, endpoint.occupancy / known);
  }

  /** Number of endpoints for long prompts. */
  #border(count: number): number {
    if (count < 2) return count;
    const now = this.#clock.now();
    const long = this.#longWork.perMs(now);
    const work = long + this.#shortWork.perMs(now);
    const share = work === 0 ? 0.5 : Math.min(MAX_LONG_SHARE, long / work);
    return Math.min(count - 1, Math.max(1, Math.round(count * share)));
  }
}

/** The chance that a time over an objective is missed. */
function riskOf(timeMs: number, objectiveMs: number): number {
  if (objectiveMs <= 0) return 1;
  const ratio = (timeMs / objectiveMs) ** RISK_POWER;
  return ratio / (1 + ratio);
}

function isLongPrompt({promptTokens}: PromptSize): boolean {
  return promptTokens >= LONG_PROMPT_TOKENS;
}

/** The value of a generation in tokens, a thousand being one. */
function valueOf({promptTokens, maxOutputTokens}: PromptSize): number {
  return (promptTokens + OUTPUT_TOKEN_VALUE * maxOutputTokens) / 1000;
}

/** Tokens that belong to the request or its session alone. */
function ownTokens({parts, promptTokens}: PromptSize): number {
  return parts.at(-1)?.tokens ?? promptTokens;
}

/** The endpoint on which all processes agree for the shared parts of a prompt. */
function homeOf({parts}: PromptSize, pool: readonly Endpoint[]): Endpoint | undefined {
  const shared = parts.at(-2) ?? parts.at(-1);
  if (shared === undefined) return undefined;
  return rankMembers(shared.id, pool, ({record}) => record.id)[0];
}

/** An order of the endpoints on which all processes agree. */
function rankOf({record}: Endpoint): number {
  return Number(hash64(record.id) >> 12n);
}
