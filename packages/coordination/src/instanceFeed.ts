/** The newest list of instances that this process knows, from the platform or from its peers. */
import type {Instance, InstanceList, ListDelta} from '@marigoldfold/protocol';
import {type Clock, DisposableStore, type Logger, repeat} from '@marigoldfold/runtime';
import {BehaviorSubject, type Observable} from 'rxjs';
import {applyDelta, diffInstances, digestInstances} from './instanceList.js';
import type {InstanceSource} from './instanceSource.js';

/** What a feed of instances needs. */
export interface InstanceFeedOptions {
  readonly source: InstanceSource;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Milliseconds between reads. */
  readonly intervalMs: number;
  /** Age in milliseconds from which this process reads the list itself; always when absent. */
  readonly maxAgeMs?: () => number;
}

interface RetainedList {
  readonly instances: readonly Instance[];
  readonly digest: string;
}

/** Earlier lists that differences are given from. */
const RETAINED_LISTS = 16;
const emptyList: RetainedList = {instances: [], digest: digestInstances([])};

/** The newest list; an unreadable answer leaves the last one in place. */
export class InstanceFeed implements Disposable {
  readonly #options: InstanceFeedOptions;
  readonly #lists = new BehaviorSubject<InstanceList>({version: 0, instances: []});
  readonly #disposables = new DisposableStore();
  /** Lists held lately, the newest last. */
  readonly #retained: RetainedList[] = [emptyList];
  #readAtMs: number | undefined;
  #attemptedAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: InstanceFeedOptions) {
    this.#options = options;
  }

  /** The newest list. */
  get list(): InstanceList {
    return this.#lists.value;
  }

  /** Each list, beginning with the newest. */
  get lists(): Observable<InstanceList> {
    return this.#lists;
  }

  /** Digest of the newest list. */
  get digest(): string {
    return this.#newest.digest;
  }

  /** Milliseconds since the list was read from the platform by whoever read it. */
  get ageMs(): number | undefined {
    if (this.#readAtMs === undefined) return undefined;
    return Math.max(0, this.#options.clock.now() - this.#readAtMs);
  }

  /** Reads the list now, and from then on whenever it is due here. */
  async start(): Promise<void> {
    const {clock, intervalMs} = this.#options;
    await this.refresh();
    this.#disposables.add(
      repeat(
        clock,
        () => intervalMs,
        () => (this.#isDue() ? this.refresh() : undefined),
      ),
    );
  }

  /** Reads the list once. */
  async refresh(): Promise<void> {
    const {clock, source, logger} = this.#options;
    const startedAtMs = clock.now();
    this.#attemptedAtMs = startedAtMs;
    const answer = await source();
    if (answer.isErr()) {
      logger.warn('instance list not readable', {reason: answer.error});
      return;
    }
    this.#replace(answer.value, startedAtMs);
  }

  /** The newest list as a difference from an earlier one, or whole when that one is not known. */
  deltaFrom(digest: string): ListDelta {
    const {instances, digest: newest} = this.#newest;
    const ageMs = this.ageMs ?? null;
    const earlier = this.#retained.find((list) => list.digest === digest);
    if (earlier === undefined) {
      return {from: null, digest: newest, ageMs, removed: [], changed: [...instances]};
    }
    return {from: digest, digest: newest, ageMs, ...diffInstances(earlier.instances, instances)};
  }

  /** Takes a list from a peer if it was read later than the one here; false when it does not fit. */
  applyDelta({from, digest, ageMs, removed, changed}: ListDelta): boolean {
    if (ageMs === null || ageMs >= (this.ageMs ?? Number.POSITIVE_INFINITY)) return true;
    const base = from === null ? emptyList : this.#retained.find((list) => list.digest === from);
    if (base === undefined) return false;
    const instances = applyDelta(base.instances, {removed, changed});
    if (digestInstances(instances) !== digest) return false;
    this.#replace(instances, this.#options.clock.now() - ageMs);
    return true;
  }

  /** Notes that a peer read the same list some time ago. */
  confirm(digest: string, ageMs: number): void {
    if (digest !== this.digest) return;
    const readAtMs = this.#options.clock.now() - ageMs;
    this.#readAtMs = Math.max(this.#readAtMs ?? readAtMs, readAtMs);
  }

  [Symbol.dispose](): void {
    this.#disposables[Symbol.dispose]();
    this.#lists.complete();
  }

  get #newest(): RetainedList {
    return this.#retained.at(-1) ?? emptyList;
  }

  #isDue(): boolean {
    const {clock, maxAgeMs = () => 0} = this.#options;
    const limitMs = maxAgeMs();
    const sinceTryMs = clock.now() - this.#attemptedAtMs;
    return (this.ageMs ?? Number.POSITIVE_INFINITY) >= limitMs && sinceTryMs >= limitMs;
  }

  #replace(instances: readonly Instance[], readAtMs: number): void {
    if (this.#disposables.isDisposed) return;
    if (this.#readAtMs !== undefined && readAtMs < this.#readAtMs) return;
    this.#readAtMs = readAtMs;
    const digest = digestInstances(instances);
    if (digest === this.digest) return;
    this.#retained.push({instances, digest});
    if (this.#retained.length > RETAINED_LISTS) this.#retained.shift();
    this.#lists.next({version: this.list.version + 1, instances});
  }
}
