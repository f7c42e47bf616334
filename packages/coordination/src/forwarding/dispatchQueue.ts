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
  /** When the request is better tried at another instance, on the clock. */
  readonly overdueAtMs: number;
  /** Whether nobody waits for the answer any more. */
  readonly isOver: () => boolean;
}

/** What became of a wait; only `sent` means that the send was begun. */
export type DispatchEnd<T> =
  | {readonly kind: 'sent'; readonly result: T}
  | {readonly kind: 'over'}
  | {readonly kind: 'overdue'};

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
  readonly giveUp: (kind: 'over' | 'overdue') => void;
  /** Its place among all arrivals and sends. */
  readonly order: number;
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
  #order = 0;
  /** Order of the last send of each rank. */
  readonly #lastSends = new Map<number, number>();

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
        giveUp: (kind) => {
          resolve({kind});
        },
        order: this.#order++,
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
    this.#drop();
    this.#beginSends();
    for (const entry of this.#waiting) entry.isSettled = true;
    if (this.#waiting.size > 0) this.#schedule();
  }

  #drop(): void {
    const now = this.#clock.now();
    for (const entry of this.#waiting) {
      const {send} = entry;
      const isOver = send.isOver();
      if (!isOver && (now < send.overdueAtMs || this.#isOvertaken(entry))) continue;
      this.#waiting.delete(entry);
      entry.giveUp(isOver ? 'over' : 'overdue');
    }
  }

  /** Whether a less urgent request was sent meanwhile; a more urgent one is not refused then. */
  #isOvertaken({send, order}: Entry): boolean {
    for (const [rank, lastOrder] of this.#lastSends) {
      if (rank > send.rank && lastOrder > order) return true;
    }
    return false;
  }

  #beginSends(): void {
    const startedAtMs = this.#clock.now();
    while (this.#clock.now() - startedAtMs < SEND_BUDGET_MS) {
      const entry = this.#next();
      if (entry === undefined) return;
      this.#waiting.delete(entry);
      this.#sends += 1;
      this.#lastSends.set(entry.send.rank, this.#order++);
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
