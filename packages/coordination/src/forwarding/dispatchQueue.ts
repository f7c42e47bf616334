/** Dispatches the requests of an instance by rank, within a time limit per event loop turn. */
import type {Clock} from '@marigoldfold/runtime';

/** Clock and event loop hook of a dispatch queue. */
export interface DispatchQueueOptions {
  readonly clock: Clock;
  /** Runs an action once all input of the current event loop turn is read. */
  readonly afterInput?: (action: () => void) => void;
}

/** Rank, deadline and abandonment check of a request in the queue. */
export interface DispatchRequest {
  /** Lower ranks are sent first. */
  readonly rank: number;
  /** Clock time, in milliseconds, after which a request still queued here should go to another instance. */
  readonly overdueAtMs: number;
  /** Whether the client has disconnected, so that the response is no longer needed. */
  readonly isAbandoned: () => boolean;
}

/** Outcome of a queued request; only `sent` means that the send was started. */
export type DispatchOutcome<T> =
  | {readonly kind: 'sent'; readonly result: T}
  | {readonly kind: 'over'}
  | {readonly kind: 'overdue'};

/**
 * Maximum time spent on starting sends in one event loop turn, in milliseconds. Running streams stall during
 * that time, so it is a fraction of the shortest objective for pauses in a stream.
 */
const MAX_DISPATCH_MS = 5;
/** Every eighth send takes the oldest request regardless of its rank, so that no rank starves. */
const SENDS_PER_OLDEST = 8;

interface QueuedSend {
  readonly request: DispatchRequest;
  readonly start: () => void;
  readonly resolveUnsent: (kind: 'over' | 'overdue') => void;
  /** Sequence number; arrivals and sends share one counter. */
  readonly sequence: number;
  /** Whether socket input was read after the arrival; only then is an immediate disconnect detected. */
  isEligible: boolean;
}

/** Queue of requests ordered by rank; drops abandoned requests, and refuses overdue ones from the least urgent on. */
export class DispatchQueue {
  readonly #clock: Clock;
  readonly #afterInput: (action: () => void) => void;
  /** Waiting requests in arrival order. */
  readonly #queue = new Set<QueuedSend>();
  #isScheduled = false;
  #sendCount = 0;
  #nextSequence = 0;
  /** Sequence number of the last send of each rank. */
  readonly #lastSentSequences = new Map<number, number>();

  constructor({clock, afterInput = setImmediate}: DispatchQueueOptions) {
    this.#clock = clock;
    this.#afterInput = afterInput;
  }

  /** Number of waiting requests. */
  get size(): number {
    return this.#queue.size;
  }

  /** Queues a request and calls `startSend` when it is selected, unless it is abandoned or overdue before. */
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
    this.#dropAbandoned();
    this.#refuseOverdue();
    this.#sendEligible();
    for (const queued of this.#queue) queued.isEligible = true;
    if (this.#queue.size > 0) this.#schedule();
  }

  #dropAbandoned(): void {
    for (const queued of this.#queue) {
      if (!queued.request.isAbandoned()) continue;
      this.#queue.delete(queued);
      queued.resolveUnsent('over');
    }
  }

  /** Refuses overdue requests; those of a rank are kept as long as a less urgent request waits. */
  #refuseOverdue(): void {
    const now = this.#clock.now();
    const leastUrgentFirst = [...this.#queue].sort((a, b) => b.request.rank - a.request.rank);
    let keptRank = Number.NEGATIVE_INFINITY;
    for (const queued of leastUrgentFirst) {
      const {rank, overdueAtMs} = queued.request;
      if (keptRank > rank) return;
      if (now < overdueAtMs || this.#isOvertaken(queued)) {
        keptRank = rank;
        continue;
      }
      this.#queue.delete(queued);
      queued.resolveUnsent('overdue');
    }
  }

  /** Whether a less urgent request was sent after this one arrived; if so, this one is not refused as overdue. */
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
