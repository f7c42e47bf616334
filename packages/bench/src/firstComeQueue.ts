/** First-come, first-served queue without a capacity limit, used by the naive policy. */
import type {SchedulingDirective, QueueItem, QueueLoad, WorkQueue} from '@marigoldfold/agent';
import type {Failure} from '@marigoldfold/protocol';
import {ok, type Result} from 'neverthrow';

/** The part of the product's work queue that an agent model uses. */
export type RequestQueue = Pick<
  WorkQueue,
  'offer' | 'remove' | 'next' | 'requeue' | 'finish' | 'observeToken' | 'load'
>;

/** Starts requests in order of arrival while slots are free; never refuses or preempts. */
export class FirstComeQueue implements RequestQueue {
  readonly #slots: number;
  readonly #queued = new Set<string>();
  readonly #running = new Set<string>();

  constructor(slots: number) {
    this.#slots = slots;
  }

  offer({id}: QueueItem): Result<void, Failure> {
    this.#queued.add(id);
    return ok(undefined);
  }

  remove(id: string): boolean {
    return this.#queued.delete(id);
  }

  next(): readonly SchedulingDirective[] {
    const directives: SchedulingDirective[] = [];
    for (const id of this.#queued) {
      if (this.#running.size >= this.#slots) break;
      this.#queued.delete(id);
      this.#running.add(id);
      directives.push({kind: 'start', id});
    }
    return directives;
  }

  requeue(id: string): void {
    throw new Error(`request ${id} was requeued, but this queue does not preempt`);
  }

  finish(id: string): void {
    this.#running.delete(id);
  }

  observeToken(): boolean {
    return false;
  }

  load(): QueueLoad {
    const counts = {running: [], queued: [], waitMs: []};
    return {...counts, window: this.#slots, interTokenMs: 0, firstTokenMs: 0};
  }
}
