/** Decides which request the endpoint runs next. */
import type {Clock} from '@marigoldfold/runtime';
import {type Failure, refusal, type Tier, tierCount} from '@marigoldfold/protocol';
import {err, ok, type Result} from 'neverthrow';

/** A request as the queue sees it. */
export interface QueueItem {
  readonly id: string;
  readonly tier: Tier;
  /** When the first token is due, on the queue's clock. */
  readonly dueAtMs: number;
  readonly interTokenTargetMs?: number | undefined;
  readonly typicalOutputTokens?: number | undefined;
}

/** What is to be done next. */
export type Directive =
  | {readonly kind: 'start'; readonly id: string}
  /** The request is to be paused; `requeue` follows when it has been. */
  | {readonly kind: 'preempt'; readonly id: string; readonly for: string}
  | {readonly kind: 'shed'; readonly id: string; readonly failure: Failure};

/** What the queue needs. */
export interface WorkQueueOptions {
  readonly clock: Clock;
  /** Requests that the endpoint can run at once. */
  readonly slots: number;
  /** Requests that may wait. */
  readonly capacity: number;
}

/** The queue's part of a load report; lists have one item for each tier. */
export interface QueueLoad {
  readonly running: readonly number[];
  readonly queued: readonly number[];
  readonly waitMs: readonly number[];
  readonly window: number;
}

const INITIAL_SERVICE_MS = 1000;
const SERVICE_SMOOTHING = 0.1;
const RETRY_AFTER_MS = 1000;

interface Running {
  readonly item: QueueItem;
  readonly startedAtMs: number;
}

/** A queue for each tier, earliest deadline first within a tier. */
export class WorkQueue {
  readonly #options: WorkQueueOptions;
  readonly #queued: QueueItem[][] = Array.from({length: tierCount}, () => []);
  readonly #running = new Map<string, Running>();
  #serviceMs = INITIAL_SERVICE_MS;

  constructor(options: WorkQueueOptions) {
    this.#options = options;
  }

  /** Number of requests that wait. */
  get queuedCount(): number {
    return this.#queued.reduce((sum, items) => sum + items.length, 0);
  }

  /** Number of requests that run. */
  get runningCount(): number {
    return this.#running.size;
  }

  /** Takes a request in, or refuses it. */
  offer(item: QueueItem): Result<void, Failure> {
    if (this.queuedCount >= this.#options.capacity) {
      return err(refusal('overloaded', 'the queue of the endpoint is full', RETRY_AFTER_MS));
    }
    this.#insert(item);
    return ok(undefined);
  }

  /** Takes a request that waits out of the queue; false when it does not wait. */
  remove(id: string): boolean {
    for (const items of this.#queued) {
      const index = items.findIndex((item) => item.id === id);
      if (index === -1) continue;
      items.splice(index, 1);
      return true;
    }
    return false;
  }

  /** What is to be done now. */
  next(): readonly Directive[] {
    const directives: Directive[] = [];
    while (this.#running.size < this.#options.slots) {
      const item = this.#takeFirst();
      if (item === undefined) break;
      this.#running.set(item.id, {item, startedAtMs: this.#options.clock.now()});
      directives.push({kind: 'start', id: item.id});
    }
    return directives;
  }

  /** Puts a preempted request, now paused, back among those that wait. */
  requeue(id: string): void {
    const running = this.#running.get(id);
    if (running === undefined) return;
    this.#running.delete(id);
    this.#insert(running.item);
  }

  /** Notes that a running request has ended. */
  finish(id: string): void {
    const running = this.#running.get(id);
    if (running === undefined) return;
    this.#running.delete(id);
    const tookMs = this.#options.clock.now() - running.startedAtMs;
    this.#serviceMs += SERVICE_SMOOTHING * (tookMs - this.#serviceMs);
  }

  /** The queue's part of a load report. */
  load(): QueueLoad {
    const running = Array<number>(tierCount).fill(0);
    for (const {item} of this.#running.values()) running[item.tier] = (running[item.tier] ?? 0) + 1;
    const queued = this.#queued.map((items) => items.length);
    const {slots} = this.#options;
    const isFull = this.#running.size >= slots;
    let ahead = 0;
    const waitMs = queued.map((count) => {
      ahead += count;
      return isFull ? ((ahead + 1) * this.#serviceMs) / slots : 0;
    });
    return {running, queued, waitMs, window: slots};
  }

  #insert(item: QueueItem): void {
    const items = this.#queued[item.tier];
    if (items === undefined) throw new Error(`no tier ${item.tier}`);
    const index = items.findIndex((other) => other.dueAtMs > item.dueAtMs);
    items.splice(index === -1 ? items.length : index, 0, item);
  }

  #takeFirst(): QueueItem | undefined {
    for (const items of this.#queued) {
      const item = items.shift();
      if (item !== undefined) return item;
    }
    return undefined;
  }
}
