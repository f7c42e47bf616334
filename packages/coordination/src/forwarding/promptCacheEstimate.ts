/** Estimates the prefix cache of an endpoint from the prompts sent to it. */
import type {PromptSize} from './placementRequest.js';

/** Fraction of the engine's memory assumed to hold cached prompt parts; running requests use the rest. */
const CACHE_SHARE = 0.6;

/** Largest number of parts that are assumed to be cached, whatever their tokens. */
export const MAX_CACHED_PARTS = 2048;

/** Prompt parts assumed to be cached, evicted by least recent use. */
export class PromptCacheEstimate {
  /** Token counts by part id, least recently used first. */
  readonly #parts = new Map<string, number>();
  #tokens = 0;
  /** Size of the engine's memory, in tokens; unlimited until it is known. */
  capacityTokens = Number.POSITIVE_INFINITY;

  /** Number of parts. */
  get size(): number {
    return this.#parts.size;
  }

  /** Removes all parts; called when the endpoint restarts with an empty cache. */
  clear(): void {
    this.#parts.clear();
    this.#tokens = 0;
  }

  /** Prompt tokens to prefill; a part counts as cached only if all parts before it are. */
  uncachedTokens({parts, promptTokens}: PromptSize): number {
    let cached = 0;
    for (const {id, tokens} of parts) {
      if (!this.#parts.has(id)) break;
      cached += tokens;
    }
    return Math.max(0, promptTokens - cached);
  }

  /** Records the parts of a sent prompt and evicts parts beyond the capacity or the largest number. */
  recordPrompt({parts}: Pick<PromptSize, 'parts'>): void {
    for (const {id, tokens} of parts) {
      this.#tokens += tokens - (this.#parts.get(id) ?? 0);
      this.#parts.delete(id);
      this.#parts.set(id, tokens);
    }
    for (const [id, tokens] of this.#parts) {
      const hasRoom = this.#tokens <= this.capacityTokens * CACHE_SHARE;
      if (hasRoom && this.#parts.size <= MAX_CACHED_PARTS) return;
      this.#parts.delete(id);
      this.#tokens -= tokens;
    }
  }
}
