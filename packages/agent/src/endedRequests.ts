/** Record of requests that have ended or were withdrawn. */
import type {Ran} from '@marigoldfold/protocol';

interface EndedRequest {
  readonly ran: Ran;
  readonly atMs: number;
}

/**
 * Retains ids much longer than answers. A delayed message can then neither start a request again
 * nor be told that a request was never started although it ran.
 */
export class EndedRequests {
  readonly #byId = new Map<string, EndedRequest>();

  constructor(private readonly retentionMs: number) {}

  /** Number of retained ids. */
  get size(): number {
    return this.#byId.size;
  }

  /** Records whether a request ran; replaces an earlier record of the same id. */
  record(id: string, ran: Ran, nowMs: number): void {
    // Deleting first keeps the map ordered by time, so `sweep` can stop early.
    this.#byId.delete(id);
    this.#byId.set(id, {ran, atMs: nowMs});
  }

  /** Whether a request ran; undefined if it has not ended on this agent or its record has expired. */
  find(id: string): Ran | undefined {
    return this.#byId.get(id)?.ran;
  }

  /** Drops records older than the retention. */
  sweep(nowMs: number): void {
    for (const [id, {atMs}] of this.#byId) {
      if (nowMs - atMs <= this.retentionMs) return;
      this.#byId.delete(id);
    }
  }
}
