/** Simple, slow implementation of the work queue against which tests compare the real one. */
import type {QueueItem} from '../index.js';

interface Waiting {
  readonly item: QueueItem;
  readonly tokens: number;
  /** Sequence number of the latest insertion into the queue. */
  readonly order: number;
  readonly preemptions: number;
}

interface Running extends Waiting {
  readonly startedAtMs: number;
  readonly isStopping: boolean;
}

/** Stores requests in plain arrays and schedules them by sorting and filtering. */
export class ReferenceQueue {
  waiting: Waiting[] = [];
  running: Running[] = [];
  #order = 0;

  constructor(
    private readonly slots: number,
    private readonly capacity: number,
    private readonly urgentTierCount: number,
    private readonly now: () => number,
  ) {}

  /** Returns `taken`, `refused`, or `shed ID` when a request was shed for this one. */
  offer(item: QueueItem): string {
    let outcome = 'taken';
    const neverRun = this.waiting.filter(({preemptions}) => preemptions === 0);
    const servesBelow = this.running.some((candidate) => candidate.item.tier > item.tier);
    if (neverRun.length >= this.capacity) {
      const lower = neverRun
        .filter((candidate) => candidate.item.tier > item.tier)
        .sort(compareByRank);
      const last = lower.at(-1);
      const isUrgent = item.tier < this.urgentTierCount;
      if (last === undefined && !(isUrgent && servesBelow)) return 'refused';
      if (last !== undefined) {
        this.waiting = this.waiting.filter((candidate) => candidate !== last);
        outcome = `shed ${last.item.id}`;
      }
    }
    this.waiting.push({item, order: this.#order++, preemptions: 0, tokens: 0});
    return outcome;
  }

  remove(id: string): boolean {
    const before = this.waiting.length;
    this.waiting = this.waiting.filter(({item}) => item.id !== id);
    return this.waiting.length < before;
  }

  /** Returns the actions to take now as strings, such as `start ID`. */
  next(): readonly string[] {
    const done: string[] = [];
    while (this.running.length < this.slots && this.waiting.length > 0) {
      const [first] = [...this.waiting].sort(compareByRank);
      if (first === undefined) break;
      this.waiting = this.waiting.filter((candidate) => candidate !== first);
      this.running.push({...first, startedAtMs: this.now(), isStopping: false});
      done.push(`start ${first.item.id}`);
    }
    let free = this.slots - this.running.length;
    free += this.running.filter(({isStopping}) => isStopping).length;
    const urgent = this.waiting
      .filter(({item}) => item.tier < this.urgentTierCount)
      .sort(compareByRank);
    for (const {item} of urgent.slice(Math.max(0, free))) {
      const victim = this.running
        .filter((candidate) => !candidate.isStopping && candidate.item.tier > item.tier)
        .filter((candidate) => candidate.preemptions === 0 || this.now() > candidate.startedAtMs)
        .sort((a, b) => b.item.tier - a.item.tier || a.tokens - b.tokens)[0];
      if (victim === undefined) continue;
      this.running = this.running.map((run) => (run === victim ? {...run, isStopping: true} : run));
      done.push(`preempt ${victim.item.id} for ${item.id}`);
    }
    return done;
  }

  requeue(id: string): void {
    for (const candidate of this.running.filter(({item}) => item.id === id)) {
      const {item, preemptions, tokens} = candidate;
      this.waiting.push({item, tokens, preemptions: preemptions + 1, order: this.#order++});
    }
    this.finish(id);
  }

  generate(id: string): void {
    this.running = this.running.map((candidate) =>
      candidate.item.id === id ? {...candidate, tokens: candidate.tokens + 1} : candidate,
    );
  }

  finish(id: string): void {
    this.running = this.running.filter(({item}) => item.id !== id);
  }
}

function compareByRank(a: Waiting, b: Waiting): number {
  return a.item.tier - b.item.tier || a.item.dueAtMs - b.item.dueAtMs || a.order - b.order;
}
