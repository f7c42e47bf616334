/** Newest list of instances, read from the platform or received from peers. */
import type {Instance, InstanceList, InstanceListDelta} from '@marigoldfold/protocol';
import {type Clock, DisposableStore, type Logger, repeat} from '@marigoldfold/runtime';
import {BehaviorSubject, type Observable} from 'rxjs';
import {applyDelta, diffInstances, digestInstances} from './instanceList.js';
import type {InstanceSource} from './instanceSource.js';

/** Source, intervals and logger of an instance feed. */
export interface InstanceFeedOptions {
  readonly source: InstanceSource;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Milliseconds between checks of the list's age against `maxAgeMs`. */
  readonly intervalMs: number;
  /** Age of the list, in milliseconds, from which this process reads it from the platform; 0 if absent. */
  readonly maxAgeMs?: () => number;
}

interface RetainedList {
  readonly instances: readonly Instance[];
  readonly digest: string;
}

/** Number of recent lists that deltas can be computed from. */
const RETAINED_LISTS = 16;
const emptyList: RetainedList = {instances: [], digest: digestInstances([])};

/** Holds the newest list; a failed read keeps the previous one. */
export class InstanceFeed implements Disposable {
  readonly #options: InstanceFeedOptions;
  readonly #lists = new BehaviorSubject<InstanceList>({version: 0, instances: []});
  readonly #disposables = new DisposableStore();
  /** Recent lists, newest last. */
  readonly #retained: RetainedList[] = [emptyList];
  #readAtMs: number | undefined;
  #attemptedAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: InstanceFeedOptions) {
    this.#options = options;
  }

  /** Newest list of instances; empty until one was read or received. */
  get list(): InstanceList {
    return this.#lists.value;
  }

  /** Emits the newest list on subscription and every later one. */
  get lists(): Observable<InstanceList> {
    return this.#lists;
  }

  /** Digest of the newest list, independent of its order. */
  get digest(): string {
    return this.#newest.digest;
  }

  /**
   * Milliseconds since this process or a peer read the list from
   * the platform; undefined before the first read.
   */
  get ageMs(): number | undefined {
    if (this.#readAtMs === undefined) return undefined;
    return Math.max(0, this.#options.clock.now() - this.#readAtMs);
  }

  /** Reads the list now, and then whenever its age reaches `maxAgeMs`. */
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

  /** Reads the list from the platform once. */
  async refresh(): Promise<void> {
    const {clock, source, logger} = this.#options;
    const startedAtMs = clock.now();
    this.#attemptedAtMs = startedAtMs;
    const response = await source();
    if (response.isErr()) {
      logger.warn('reading the instance list failed', {reason: response.error});
      return;
    }
    this.#replace(response.value, startedAtMs);
  }

  /** Delta from the list with this digest to the newest list; the whole list if the digest is not retained. */
  deltaFrom(digest: string): InstanceListDelta {
    const {instances, digest: newest} = this.#newest;
    const ageMs = this.ageMs ?? null;
    const earlier = this.#retained.find((list) => list.digest === digest);
    if (earlier === undefined) {
      return {from: null, digest: newest, ageMs, removed: [], changed: [...instances]};
    }
    return {from: digest, digest: newest, ageMs, ...diffInstances(earlier.instances, instances)};
  }

  /**
   * Applies a peer's delta if its list was read later; false
   * when the base is missing or the digest differs.
   */
  applyDelta({from, digest, ageMs, removed, changed}: InstanceListDelta): boolean {
    if (ageMs === null || ageMs >= (this.ageMs ?? Number.POSITIVE_INFINITY)) return true;
    const base = from === null ? emptyList : this.#retained.find((list) => list.digest === from);
    if (base === undefined) return false;
    const instances = applyDelta(base.instances, {removed, changed});
    if (digestInstances(instances) !== digest) return false;
    this.#replace(instances, this.#options.clock.now() - ageMs);
    return true;
  }

  /** Records that a peer read the list with this digest `ageMs` milliseconds ago. */
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
    const sinceAttemptMs = clock.now() - this.#attemptedAtMs;
    return (this.ageMs ?? Number.POSITIVE_INFINITY) >= limitMs && sinceAttemptMs >= limitMs;
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
