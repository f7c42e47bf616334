/** What an agent remembers of requests that have ended or were taken back. */

import type {Ran} from '@marigoldfold/protocol';

interface EndedRequest {
  readonly ran: Ran;
  readonly atMs: number;
}

/**
 * Remembers ids for much longer than answers, so that a message that was held up on its way cannot
 * start work again, nor be told that work which did run was never started.
 */
export class EndedRequests {
  readonly #byId = new Map<string, EndedRequest>();

  constructor(private readonly retentionMs: number) {}

  /** Number of remembered ids. */
  get size(): number {
    return this.#byId.size;
  }

  /** Notes whether a request was run; a later note replaces an earlier one. */
  record(id: string, ran: Ran, nowMs: number): void {
    // Deleting first keeps the map in order of time, which lets `sweep` stop early.
    this.#byId.delete(id);
    this.#byId.set(id, {ran, atMs: nowMs});
  }

  /** Whether a request was run; undefined when it has not ended here. */
  find(id: string): Ran | undefined {
    return this.#byId.get(id)?.ran;
  }

  /** Forgets what is older than the memory. */
  sweep(nowMs: number): void {
    for (const [id, {atMs}] of this.#byId) {
      if (nowMs - atMs <= this.retentionMs) return;
      this.#byId.delete(id);
    }
  }
}
