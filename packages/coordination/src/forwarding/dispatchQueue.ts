/** Dispatches the requests of an instance by rank, within a time limit per event loop turn. */
import type {Clock} from '@marigoldfold/runtime';

/** Dependencies of a dispatch queue. */
export interface DispatchQueueOptions {
  readonly clock: Clock;
  /** Runs an action once all input of the current event loop turn is read. */
  readonly afterInput?: (action: () => void) => void;
}

/** A request to dispatch. */
export interface DispatchRequest {
  /** Lower ranks are sent first. */
  readonly rank: number;
  /** Time on the clock from which the request should be tried at another instance. */
  readonly overdueAtMs: number;
  /** Whether no client waits for the response any more. */
  readonly isAbandoned: () => boolean;
}

/** Outcome of a queued request; only `sent` means that the send was started. */
export type DispatchOutcome<T> =
  | {readonly kind: 'sent'; readonly result: T}
  | {readonly kind: 'over'}
  | {readonly kind: 'overdue'};

/**
 * Time for starting sends in one event loop turn, in milliseconds: a part of the shortest pause
 * objective, since running streams stall meanwhile.
 */
const MAX_DISPATCH_MS = 5;
/** One send in this many takes the oldest request, so that no rank starves. */
const SENDS_PER_OLDEST = 8;

interface QueuedSend {
  readonly request: DispatchRequest;
  readonly start: () => void;
  readonly resolveUnsent: (kind: 'over' | 'overdue') => void;
  /** Position among all arrivals and sends. */
  readonly sequence: number;
  /** Whether input was read after the arrival, so that a close right behind it is detected first. */
  isEligible: boolean;
}

/** Requests that wait for dispatch. */
export class DispatchQueue {
  readonly #clock: Clock;
  readonly #afterInput: (action: () => void) => void;
  /** In arrival order. */
  readonly #queue = new Set<QueuedSend>();
  #isScheduled = false;
  #sendCount = 0;
  #nextSequence = 0;
  /** Position of the last send of each rank. */
  readonly #lastSentSequences = new Map<number, number>();

  constructor({clock, afterInput = setImmediate}: DispatchQueueOptions) {
    this.#clock = clock;
    this.#afterInput = afterInput;
  }

  /** Number of waiting requests. */
  get size(): number {
    return this.#queue.size;
  }

  /** Starts a send in its turn, unless the request is abandoned or overdue first. */
  enqueue<T>(request: DispatchRequest, startSend: () => Promise<T>): Promise<DispatchOutcome<T>> {
    return new Promise((resolve, reject) => {
      this.#queue.add({
        request,
        start: () => {
          startSend().then((result) => {
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
    for (const queued of this.#queue) queued.isEligible = true;
    if (this.#queue.size > 0) this.#schedule();
  }

  #dropExpired(): void {
    const now = this.#clock.now();
    for (const queued of this.#queue) {
      const {request} = queued;
      const isAbandoned = request.isAbandoned();
      if (!isAbandoned && (now < request.overdueAtMs || this.#isOvertaken(queued))) continue;
      this.#queue.delete(queued);
      queued.resolveUnsent(isAbandoned ? 'over' : 'overdue');
    }
  }

  /** Whether a less urgent request was sent since the arrival; if so, this one is not refused. */
  #isOvertaken({request, sequence}: QueuedSend): boolean {
    for (const [rank, lastSequence] of this.#lastSentSequences) {
      if (rank > request.rank && lastSequence > sequence) return true;
    }
    return false;
  }

  #sendEligible(): void {
    const startedAtMs = this.#clock.now();
    while (this.#clock.now() - startedAtMs < MAX_DISPATCH_MS) {
      const queued = this.#selectNext();
      if (queued === undefined) return;
      this.#queue.delete(queued);
      this.#sendCount += 1;
      this.#lastSentSequences.set(queued.request.rank, this.#nextSequence++);
      queued.start();
    }
  }

  #selectNext(): QueuedSend | undefined {
    const takesOldest = this.#sendCount % SENDS_PER_OLDEST === SENDS_PER_OLDEST - 1;
    let best: QueuedSend | undefined;
    for (const queued of this.#queue) {
      if (!queued.isEligible) continue;
      if (best === undefined || queued.request.rank < best.request.rank) best = queued;
      if (takesOldest) return best;
    }
    return best;
  }
}
