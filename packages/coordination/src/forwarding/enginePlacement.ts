/** Chooses the model engine for a generation, by what reading its prompt costs it and the others. */
import type {Clock} from '@marigoldfold/runtime';
import type {ForwardDemand, PromptSize} from './demand.js';
import type {Endpoint} from './endpoint.js';
import {hash64} from '../hash.js';
import {rankMembers} from '../rendezvous.js';

/** Tokens from which a prompt counts as long: three times what an engine reads between two tokens. */
const LONG_PROMPT_TOKENS = 3000;
/** Milliseconds that an engine takes to read a token before any were measured. */
const READ_MS_PER_TOKEN = 0.025;
/** Time constant with which the mix of long and short prompts is followed, in milliseconds. */
const MIX_WINDOW_MS = 5000;

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
  #longWork = 0;
  #shortWork = 0;
  #workAtMs = 0;

  constructor({clock}: EnginePlacementOptions) {
    this.#clock = clock;
  }

  /** Milliseconds that reading a prompt takes at an endpoint. */
  readMs(endpoint: Endpoint, prompt: PromptSize): number {
    return endpoint.residency.unreadTokens(prompt) * READ_MS_PER_TOKEN;
  }

  /** The endpoint with the least expected cost. */
  choose(
    demand: ForwardDemand,
    prompt: PromptSize,
    candidates: readonly Endpoint[],
  ): Endpoint | undefined {
    const isLong = prompt.promptTokens >= LONG_PROMPT_TOKENS;
    this.#noteWork(prompt, isLong);
    const pool = this.#pool(candidates, isLong);
    const home = homeOf(prompt, pool);
    let best: Endpoint | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    for (const endpoint of pool) {
      const cost = this.#cost(endpoint, prompt, endpoint === home);
      if (cost >= bestCost) continue;
      best = endpoint;
      bestCost = cost;
    }
    return best;
  }

  #cost(endpoint: Endpoint, prompt: PromptSize, isHome: boolean): number {
    const now = this.#clock.now();
    let backlogMs = 0;
    let streams = 0;
    for (const flight of endpoint.flights) {
      if (flight.firstEventAtMs === undefined) {
        backlogMs += Math.max(0, flight.readMs - (now - flight.sentAtMs) / 2);
      } else {
        streams += 1;
      }
    }
    const readMs = isHome ? 0 : this.readMs(endpoint, prompt);
    return (backlogMs + readMs + endpoint.occupancy * 3 + streams) * endpoint.slowness;
  }

  #noteWork(prompt: PromptSize, isLong: boolean): void {
    const now = this.#clock.now();
    const decay = Math.exp(-(now - this.#workAtMs) / MIX_WINDOW_MS);
    this.#workAtMs = now;
    this.#longWork *= decay;
    this.#shortWork *= decay;
    if (isLong) this.#longWork += 4;
    else this.#shortWork += 1;
  }

  #pool(candidates: readonly Endpoint[], isLong: boolean): readonly Endpoint[] {
    if (candidates.length < 2) return candidates;
    const ranked = [...candidates].sort((a, b) => rankOf(a) - rankOf(b));
    const share = this.#longWork / (this.#longWork + this.#shortWork);
    const border = Math.min(
      ranked.length - 1,
      Math.max(1, Math.round(ranked.length * Math.min(0.75, share))),
    );
    return isLong ? ranked.slice(0, border) : ranked.slice(border);
  }
}

function rankOf({record}: Endpoint): number {
  return Number(hash64(record.id) >> 12n);
}

/** The endpoint on which all processes agree for the shared parts of a prompt. */
function homeOf({parts}: PromptSize, pool: readonly Endpoint[]): Endpoint | undefined {
  const shared = parts.at(-2) ?? parts.at(-1);
  if (shared === undefined) return undefined;
  return rankMembers(shared.id, pool, ({record}) => record.id)[0];
}
