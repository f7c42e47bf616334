/** What an endpoint should have in its cache of prompt parts, by what was sent to it. */
import type {PromptSize} from './placementRequest.js';

/** Part of the engine's memory that cached parts get beside running requests. */
const CACHE_SHARE = 0.6;

/** Parts in the order of their last use. */
export class PromptCacheEstimate {
  /** Tokens of each part, least recently used first. */
  readonly #parts = new Map<string, number>();
  #tokens = 0;
  /** The engine's memory in tokens. */
  capacityTokens = Number.POSITIVE_INFINITY;

  /** Forgets all, as after a restart of the endpoint. */
  clear(): void {
    this.#parts.clear();
    this.#tokens = 0;
  }

  /** Tokens of a prompt that must be read; a part counts as cached only if all before it are. */
  uncachedTokens({parts, promptTokens}: PromptSize): number {
    let cached = 0;
    for (const {id, tokens} of parts) {
      if (!this.#parts.has(id)) break;
      cached += tokens;
    }
    return Math.max(0, promptTokens - cached);
  }

  /** Notes that a prompt was sent. */
  recordPrompt({parts}: Pick<PromptSize, 'parts'>): void {
    for (const {id, tokens} of parts) {
      this.#tokens += tokens - (this.#parts.get(id) ?? 0);
      this.#parts.delete(id);
      this.#parts.set(id, tokens);
    }
    for (const [id, tokens] of this.#parts) {
      if (this.#tokens <= this.capacityTokens * CACHE_SHARE) return;
      this.#parts.delete(id);
      this.#tokens -= tokens;
    }
  }
}
