/** What an agent remembers of requests that have ended or were taken back. */

/** What became of a remembered request. */
export type EndedRequest = 'not-run' | 'run';

interface Remembered {
  readonly became: EndedRequest;
  readonly atMs: number;
}

/**
 * Remembers ids for much longer than answers, so that a message that was held up on its way cannot
 * start work again, nor be told that work which did run was never started.
 */
export class EndedRequests {
  readonly #remembered = new Map<string, Remembered>();

  constructor(private readonly memoryMs: number) {}

  /** Number of remembered ids. */
  get size(): number {
    return this.#remembered.size;
  }

  /** Notes what became of a request; a later note replaces an earlier one. */
  remember(id: string, became: EndedRequest, nowMs: number): void {
    // Deleting first keeps the map in order of time, which lets `sweep` stop early.
    this.#remembered.delete(id);
    this.#remembered.set(id, {became, atMs: nowMs});
  }

  /** What became of a request; undefined when nothing is known of it. */
  recall(id: string): EndedRequest | undefined {
    return this.#remembered.get(id)?.became;
  }

  /** Forgets what is older than the memory. */
  sweep(nowMs: number): void {
    for (const [id, {atMs}] of this.#remembered) {
      if (nowMs - atMs <= this.memoryMs) return;
      this.#remembered.delete(id);
    }
  }
}
