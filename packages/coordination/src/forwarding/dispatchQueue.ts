/** Orders the sends of an instance and bounds how many a turn of the event loop begins. */
import type {Clock} from '@marigoldfold/runtime';

/** What the queue needs. */
export interface DispatchQueueOptions {
  readonly clock: Clock;
  /** Calls back once all input of the current turn of the event loop is read. */
  readonly afterInput?: (action: () => void) => void;
}

/** A request that waits for a send. */
export interface WaitingSend {
  /** Lower ranks go first. */
  readonly rank: number;
  /** Whether nobody waits for the answer any more. */
  readonly isOver: () => boolean;
}

/** What became of a wait; `over` means that the send was not begun. */
export type DispatchEnd<T> = {readonly kind: 'sent'; readonly result: T} | {readonly kind: 'over'};

/**
 * Time that the sends of one turn may take, in milliseconds: a part of the shortest pause objective, since
 * streams wait meanwhile.
 */
const SEND_BUDGET_MS = 5;
/** One in so many sends is that of the oldest request, so that no rank starves. */
const OLDEST_EVERY = 8;

interface Entry {
  readonly send: WaitingSend;
  readonly begin: () => void;
  readonly giveUp: () => void;
  /** Whether input was read after the request: a close that came with it is known by then. */
  isSettled: boolean;
}

/** Sends that wait for their turn. */
export class DispatchQueue {
  readonly #clock: Clock;
  readonly #afterInput: (action: () => void) => void;
  /** In the order of arrival. */
  readonly #waiting = new Set<Entry>();
  #isScheduled = false;
  #sends = 0;

  constructor({clock, afterInput = setImmediate}: DispatchQueueOptions) {
    this.#clock = clock;
    this.#afterInput = afterInput;
  }

  /** Number of requests that wait. */
  get size(): number {
    return this.#waiting.size;
  }

  /** Begins a send in its turn, unless its request is over before. */
  run<T>(send: WaitingSend, begin: () => Promise<T>): Promise<DispatchEnd<T>> {
    return new Promise((resolve, reject) => {
      this.#waiting.add({
        send,
        begin: () => {
          begin().then((result) => {
            resolve({kind: 'sent', result});
          }, reject);
        },
        giveUp: () => {
          resolve({kind: 'over'});
        },
        isSettled: false,
      });
      this.#schedule();
    });
  }

  #schedule(): void {
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    this.#afterInput(() => {
      this.#isScheduled = false;
      this.#dispatch();
    });
  }

  #dispatch(): void {
    this.#dropOver();
    this.#beginSends();
    for (const entry of this.#waiting) entry.isSettled = true;
    if (this.#waiting.size > 0) this.#schedule();
  }

  #dropOver(): void {
    for (const entry of this.#waiting) {
      if (!entry.send.isOver()) continue;
      this.#waiting.delete(entry);
      entry.giveUp();
    }
  }

  #beginSends(): void {
    const startedAtMs = this.#clock.now();
    while (this.#clock.now() - startedAtMs < SEND_BUDGET_MS) {
      const entry = this.#next();
      if (entry === undefined) return;
      this.#waiting.delete(entry);
      this.#sends += 1;
      entry.begin();
    }
  }

  #next(): Entry | undefined {
    const takesOldest = this.#sends % OLDEST_EVERY === OLDEST_EVERY - 1;
    let best: Entry | undefined;
    for (const entry of this.#waiting) {
      if (!entry.isSettled) continue;
      if (best === undefined || entry.send.rank < best.send.rank) best = entry;
      if (takesOldest) return best;
    }
    return best;
  }
}
