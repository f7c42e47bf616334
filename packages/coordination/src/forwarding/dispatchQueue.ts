/** Orders the sends of an instance and bounds how many a turn of the event loop begins. */
import type {Clock} from '@marigoldfold/runtime';

/** What the queue needs. */
export interface DispatchQueueOptions {
  readonly clock: Clock;
  /** Calls back once all input of the current turn of the event loop is read. */
  readonly afterInput?: (action: () => void) => void;
}

/** A request that waits for a send. */
export interface DispatchRequest {
  /** Lower ranks go first. */
  readonly rank: number;
  /** When the request is better tried at another instance, on the clock. */
  readonly overdueAtMs: number;
  /** Whether nobody waits for the answer any more. */
  readonly isAbandoned: () => boolean;
}

/** What became of a wait; only `sent` means that the send was begun. */
export type DispatchOutcome<T> =
  | {readonly kind: 'sent'; readonly result: T}
  | {readonly kind: 'over'}
  | {readonly kind: 'overdue'};

/**
 * Time that the sends of one turn may take, in milliseconds: a part of the shortest pause objective, since
 * streams wait meanwhile.
 */
const MAX_DISPATCH_MS = 5;
/** One in so many sends is that of the oldest request, so that no rank starves. */
const SENDS_PER_OLDEST = 8;

interface QueuedSend {
  readonly send: DispatchRequest;
  readonly start: () => void;
  readonly resolveUnsent: (kind: 'over' | 'overdue') => void;
  /** Its place among all arrivals and sends. */
  readonly sequence: number;
  /** Whether input was read after the request: a close that came with it is known by then. */
  isEligible: boolean;
}

/** Sends that wait for their turn. */
export class DispatchQueue {
  readonly #clock: Clock;
  readonly #afterInput: (action: () => void) => void;
  /** In the order of arrival. */
  readonly #queue = new Set<QueuedSend>();
  #isScheduled = false;
  #sendCount = 0;
  #nextSequence = 0;
  /** Order of the last send of each rank. */
  readonly #lastSentSequences = new Map<number, number>();

  constructor({clock, afterInput = setImmediate}: DispatchQueueOptions) {
    this.#clock = clock;
    this.#afterInput = afterInput;
  }

  /** Number of requests that wait. */
  get size(): number {
    return this.#queue.size;
  }

  /** Begins a send in its turn, unless its request is over before. */
  enqueue<T>(send: DispatchRequest, begin: () => Promise<T>): Promise<DispatchOutcome<T>> {
    return new Promise((resolve, reject) => {
      this.#queue.add({
        send,
        start: () => {
          begin().then((result) => {
            resolve({kind: 'sent', result});
          }, reject);
        },
        resolveUnsent: (kind) => {
          resolve({kind});
        },
        sequence: this.#nextSequence++,
        isEligible: false,
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
    this.#dropExpired();
    this.#sendEligible();
    for (const entry of this.#queue) entry.isEligible = true;
    if (this.#queue.size > 0) this.#schedule();
  }

  #dropExpired(): void {
    const now = this.#clock.now();
    for (const entry of this.#queue) {
      const {send} = entry;
      const isOver = send.isAbandoned();
      if (!isOver && (now < send.overdueAtMs || this.#isOvertaken(entry))) continue;
      this.#queue.delete(entry);
      entry.resolveUnsent(isOver ? 'over' : 'overdue');
    }
  }

  /** Whether a less urgent request was sent meanwhile; a more urgent one is not refused then. */
  #isOvertaken({send, sequence}: QueuedSend): boolean {
    for (const [rank, lastOrder] of this.#lastSentSequences) {
      if (rank > send.rank && lastOrder > sequence) return true;
    }
    return false;
  }

  #sendEligible(): void {
    const startedAtMs = this.#clock.now();
    while (this.#clock.now() - startedAtMs < MAX_DISPATCH_MS) {
      const entry = this.#selectNext();
      if (entry === undefined) return;
      this.#queue.delete(entry);
      this.#sendCount += 1;
      this.#lastSentSequences.set(entry.send.rank, this.#nextSequence++);
      entry.start();
    }
  }

  #selectNext(): QueuedSend | undefined {
    const takesOldest = this.#sendCount % SENDS_PER_OLDEST === SENDS_PER_OLDEST - 1;
    let best: QueuedSend | undefined;
    for (const entry of this.#queue) {
      if (!entry.isEligible) continue;
      if (best === undefined || entry.send.rank < best.send.rank) best = entry;
      if (takesOldest) return best;
    }
    return best;
  }
}
