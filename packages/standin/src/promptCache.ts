/** Prefix cache of a simulated engine; whole prompt parts are cached instead of tokens. */

/** A part of a prompt; parts with the same ID are shared between requests. */
export interface CachedPart {
  readonly id: string;
  readonly tokens: number;
}

/** Cache of prompt parts with least-recently-used eviction. */
export class PromptCache {
  readonly #parts = new Map<string, number>();
  #tokens = 0;

  constructor(private readonly capacityTokens: number) {}

  /** Number of cached tokens of a prompt; a part counts only if all parts before it are cached. */
  cachedTokens(parts: readonly CachedPart[]): number {
    let cached = 0;
    for (const {id, tokens} of parts) {
      if (!this.#parts.has(id)) break;
      cached += tokens;
    }
    return cached;
  }

  has(id: string): boolean {
    return this.#parts.has(id);
  }

  /** Adds the parts of a prefilled prompt and evicts the least recently used parts. */
  add(parts: readonly CachedPart[]): void {
    for (const {id, tokens} of parts) {
      this.#tokens += tokens - (this.#parts.get(id) ?? 0);
      this.#parts.delete(id);
      this.#parts.set(id, tokens);
    }
    for (const [id, tokens] of this.#parts) {
      if (this.#tokens <= this.capacityTokens) return;
      this.#parts.delete(id);
      this.#tokens -= tokens;
    }
  }
}
