/** Chooses the model engine for a generation, by the risk that it or others miss their objectives. */
import type {Clock} from '@marigoldfold/runtime';
import {hash64} from '../hash.js';
import {rankMembers} from '../rendezvous.js';
import type {ForwardDemand, PromptSize} from './demand.js';
import type {Endpoint} from './endpoint.js';
import {EnginePace} from './enginePace.js';
import type {Flight} from './flight.js';

/** Tokens from which a prompt counts as long: three times what an engine reads between two tokens. */
const LONG_PROMPT_TOKENS = 3000;
/** Tokens of prompts that an engine reads at most between two events of a stream. */
const EVENT_READ_TOKENS = 3072;
/** First events come later than expected in so far as requests arrive that nobody told of yet. */
const FIRST_EVENT_CAUTION = 1.3;
/** Part of a prompt that is taken to be read at most before its first event shows that it is. */
const MAX_READ_SHARE = 0.8;
/** Silence counts as slowness up to this: a longer one is not explained by neighbours. */
const MAX_SILENCE = 3;
/** Time constant with which the mix of long and short prompts is followed, in milliseconds. */
const MIX_WINDOW_MS = 6000;
/** How much more room a token of a short prompt needs: its answer is longer and its pauses are shorter. */
const SHORT_WORK_FACTOR = 0.8;
/** Largest part of the endpoints for long prompts: the short ones are the urgent ones. */
const MAX_LONG_SHARE = 0.75;
/** Part of a request's value that reading its shared parts once more costs; source: the platform's prices. */
const REREAD_COST = 1.2;
/**
 * Part of that cost at the endpoint on which all processes agree for the shared parts: what others have
 * sent there may not be known yet.
 */
const HOME_DISCOUNT = 0.7;
/** Risk of a short prompt between long ones: their reading stretches most of its pauses. */
const SHORT_AMONG_LONG_RISK = 0.15;
/** Risk that a long prompt among short ones brings to requests that come later. */
const LONG_AMONG_SHORT_RISK = 0.3;
/** Steepness of the risk around an objective: half at the objective, a sixteenth at half of it. */
const RISK_POWER = 7;
/** Tokens of output count so many times as much as those of a prompt. */
const OUTPUT_TOKEN_VALUE = 10;

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
  #longWork = 0;
  #shortWork = 0;
  #workAtMs = 0;

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

  /** Whether a request can meet its objective at an endpoint, if it is read there at once. */
  canMeetTarget(endpoint: Endpoint, {service, targetLeftMs}: ForwardDemand, prompt: PromptSize) {
    const pace = this.pace(service);
    const readMs = endpoint.residency.unreadTokens(prompt) * pace.readMsPerToken;
    return readMs + pace.eventMs <= targetLeftMs;
  }

  /** The endpoint with the least expected loss. */
  choose(
    demand: ForwardDemand,
    prompt: PromptSize,
    candidates: readonly Endpoint[],
  ): Endpoint | undefined {
    const isLong = prompt.promptTokens >= LONG_PROMPT_TOKENS;
    const ranked = [...candidates].sort((a, b) => rankOf(a) - rankOf(b));
    const border = this.#border(ranked.length);
    const own = isLong ? ranked.slice(0, border) : ranked.slice(border);
    const home = homeOf(prompt, own);
    let best: Endpoint | undefined;
    let leastLoss = Number.POSITIVE_INFINITY;
    for (const endpoint of ranked) {
      const isForeign = !own.includes(endpoint);
      const loss = this.#loss(demand, prompt, {
        endpoint,
        isLong,
        isForeign,
        isHome: endpoint === home,
      });
      if (loss >= leastLoss) continue;
      best = endpoint;
      leastLoss = loss;
    }
    this.#noteWork(prompt, isLong);
    return best;
  }

  /** Expected loss in values of requests, for this request and for those that run there. */
  #loss(
    {service, targetLeftMs, patienceLeftMs}: ForwardDemand,
    prompt: PromptSize,
    place: {endpoint: Endpoint; isLong: boolean; isForeign: boolean; isHome: boolean},
  ): number {
    const {endpoint, isLong, isForeign, isHome} = place;
    const pace = this.pace(service);
    const slowness = this.slowness(endpoint);
    const unread = isHome ? ownTokens(prompt) : endpoint.residency.unreadTokens(prompt);
    const readMs = unread * pace.readMsPerToken;
    const backlogMs = this.#backlogMs(endpoint);
    const firstEventMs = slowness * (backlogMs + readMs + pace.eventMs);
    const value = valueOf(prompt);
    const cautiousMs = FIRST_EVENT_CAUTION * firstEventMs;
    let loss = value * (riskOf(cautiousMs, targetLeftMs) + riskOf(cautiousMs, patienceLeftMs));
    const rereadCost = isHome ? REREAD_COST * HOME_DISCOUNT : REREAD_COST;
    loss += value * rereadCost * rereadShare(prompt, unread);
    const stretchMs = Math.min(backlogMs + readMs, EVENT_READ_TOKENS * pace.readMsPerToken);
    const gapMs = slowness * (pace.eventMs + stretchMs);
    loss += this.#harm(endpoint, gapMs);
    if (isForeign) loss += value * (isLong ? LONG_AMONG_SHORT_RISK : SHORT_AMONG_LONG_RISK);
    return loss;
  }

  /**
   * Takes the time between two events of a stream and returns how slow that was; 1 is usual. What was read
   * meanwhile explains a part of it.
   */
  observeGap(endpoint: Endpoint, gapMs: number): number {
    const pace = this.pace(endpoint.record.service);
    const slowness = Math.max(1, gapMs / this.#usualGapMs(endpoint, gapMs));
    pace.observeGap(gapMs);
    endpoint.observeSlowness(slowness);
    return slowness;
  }

  /** How long work takes at an endpoint, also by the time that no event has come. */
  slowness(endpoint: Endpoint): number {
    let lastEventMs = 0;
    for (const {lastEventAtMs} of endpoint.flights) {
      lastEventMs = Math.max(lastEventMs, lastEventAtMs ?? 0);
    }
    if (lastEventMs === 0) return endpoint.slowness;
    const silentMs = this.#clock.now() - lastEventMs;
    const silence = silentMs / this.#usualGapMs(endpoint, silentMs);
    return Math.min(MAX_SILENCE, Math.max(endpoint.slowness, silence));
  }

  /** The time between two events at the usual pace, with what was read in that time. */
  #usualGapMs(endpoint: Endpoint, gapMs: number): number {
    const pace = this.pace(endpoint.record.service);
    const fromMs = this.#clock.now() - gapMs;
    let tokens = 0;
    for (const {firstEventAtMs, unreadTokens} of endpoint.knownFlights()) {
      if ((firstEventAtMs ?? fromMs) >= fromMs) tokens += unreadTokens;
    }
    return pace.eventMs + Math.min(tokens, EVENT_READ_TOKENS) * pace.readMsPerToken;
  }

  /** Milliseconds of reading that the endpoint has before it, as far as is known. */
  #backlogMs(endpoint: Endpoint): number {
    const now = this.#clock.now();
    let backlogMs = 0;
    let oldest: Flight | undefined;
    let lastBegunMs = 0;
    for (const flight of endpoint.knownFlights()) {
      if (flight.firstEventAtMs !== undefined) {
        lastBegunMs = Math.max(lastBegunMs, flight.firstEventAtMs);
        continue;
      }
      backlogMs += flight.readMs;
      if (oldest === undefined || flight.sentAtMs < oldest.sentAtMs) oldest = flight;
    }
    if (oldest === undefined) return 0;
    // Prompts are read one after the other: only the first of them can be partly read.
    const elapsedMs = now - Math.max(oldest.sentAtMs, lastBegunMs);
    return backlogMs - Math.min(elapsedMs, oldest.readMs * MAX_READ_SHARE);
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

  /** Counts what must be read in any case, so that reading again does not move the border. */
  #noteWork(prompt: PromptSize, isLong: boolean): void {
    const now = this.#clock.now();
    const decay = Math.exp(-(now - this.#workAtMs) / MIX_WINDOW_MS);
    this.#workAtMs = now;
    this.#longWork *= decay;
    this.#shortWork *= decay;
    const tokens = ownTokens(prompt);
    if (isLong) this.#longWork += tokens;
    else this.#shortWork += tokens * SHORT_WORK_FACTOR;
  }

  /** Number of endpoints for long prompts. */
  #border(count: number): number {
    if (count < 2) return count;
    const work = this.#longWork + this.#shortWork;
    const share = work === 0 ? 0.5 : Math.min(MAX_LONG_SHARE, this.#longWork / work);
    return Math.min(count - 1, Math.max(1, Math.round(count * share)));
  }
}

/** The chance that a time over an objective is missed. */
function riskOf(timeMs: number, objectiveMs: number): number {
  if (objectiveMs <= 0) return 1;
  const ratio = (timeMs / objectiveMs) ** RISK_POWER;
  return ratio / (1 + ratio);
}

/** The value of a generation in tokens, a thousand being one. */
function valueOf({promptTokens, maxOutputTokens}: PromptSize): number {
  return (promptTokens + OUTPUT_TOKEN_VALUE * maxOutputTokens) / 1000;
}

/** Part of a prompt that is read although requests share it. */
function rereadShare(prompt: PromptSize, unread: number): number {
  return Math.max(0, unread - ownTokens(prompt)) / Math.max(1, prompt.promptTokens);
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
