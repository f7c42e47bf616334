/** What a simulated engine keeps of prompts that it has read. */

/** A part of a prompt; requests share parts. */
export interface CachedPart {
  readonly id: string;
  readonly tokens: number;
}

/** Parts in the order of their last use; the least recently used yield. */
export class PromptCache {
  readonly #parts = new Map<string, number>();
  #tokens = 0;

  constructor(private readonly capacityTokens: number) {}

  /** Tokens of a prompt that are cached: a part counts only if all parts before it are there. */
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

  /** Keeps the parts of a prompt that was read. */
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
