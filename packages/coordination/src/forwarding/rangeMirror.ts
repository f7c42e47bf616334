/** Keeps a copy of a key range of the key-value service and tracks its age. */
import {type Clock, isAborted, type Logger, type Random, sleep} from '@marigoldfold/runtime';
import {
  isLater,
  type KeyValue,
  type KeyValueEntry,
  type Revision,
  type StoreError,
} from '@marigoldfold/state';

/** Key range, timing and callbacks of a mirror. */
export interface RangeMirrorOptions {
  readonly clock: Clock;
  /** Wall clock time in milliseconds; unlike a monotonic clock, it advances while the machine is suspended. */
  readonly wallTimeMs: () => number;
  readonly random: Random;
  readonly logger: Logger;
  readonly store: Pick<KeyValue, 'list' | 'watch'>;
  readonly prefix: string;
  /** Timeout of a watch, in milliseconds; if no change arrives before, the copy is confirmed as current. */
  readonly watchMs: number;
  /** Age of the copy, in milliseconds, that a watch must not let it exceed; watches are shortened for it. */
  readonly maxAgeMs: number;
  /** Delay after a change, in milliseconds, so that one call reads a burst of changes. */
  readonly batchMs: number;
  /**
   * Receives the changed entries; removed ones have an empty value. After a restore of the service, the changes are all
   * entries of the copy that it was restored from: each may be older than what is known, and any may be missing.
   */
  readonly onChange: (changes: readonly KeyValueEntry[], origin: ChangeOrigin) => void;
  /** Called after each successful response, also when nothing has changed. */
  readonly onConfirmed?: () => void;
  /**
   * Called when the service responds again after an outage, before `onChange` is called for that response. A single call
   * that fails without a timeout is no outage if the next one is answered: watches that wait may be closed at any time.
   */
  readonly onReconnected?: () => void;
}

/** Whether changes were made after those known before, or come from an older copy of the service. */
export type ChangeOrigin = 'history' | 'restore';

/** Initial retry delay, in milliseconds: a few round trips within a region. */
const MIN_BACKOFF_MS = 50;
/** Maximum retry delay, in milliseconds: a third of the shortest maximum age in the configuration. */
const MAX_BACKOFF_MS = 600;
/** Timeout of the first watch after a failure, in milliseconds. */
const RECOVERY_WATCH_TIMEOUT_MS = 10;
/** Difference between the clocks, in milliseconds, from which the machine may have been suspended. */
const MIN_SUSPENSION_MS = 250;

/** One moment on both clocks, in milliseconds. */
interface Moment {
  readonly steadyMs: number;
  readonly wallMs: number;
}

/** How the last call ended. */
interface WatchResult {
  /** Time without changes that the service stated, in milliseconds; 0 for any other call. */
  readonly quietMs: number;
  readonly hasChange: boolean;
}

const noWatch: WatchResult = {quietMs: 0, hasChange: false};

/** Local copy of a key range, kept current by watches until it is disposed of. */
export class RangeMirror implements Disposable {
  readonly #options: RangeMirrorOptions;
  readonly #controller = new AbortController();
  readonly #revisions = new Map<string, Revision>();
  /** Revision as of which the copy is current; undefined while the range has to be read. */
  #revision: Revision | undefined;
  /** Era of the service that the copy was read from; undefined before the first read. */
  #era: number | undefined;
  #confirmedAt: Moment | undefined;
  /** Aborted to confirm the copy at once instead of at the end of the watch in progress. */
  #watchController = new AbortController();
  #isConfirming = false;
  #lastWatch = noWatch;
  #failures = 0;
  #failingSinceMs = 0;
  /** Whether the calls that have failed since the last response amount to an outage. */
  #isUnavailable = false;

  constructor(options: RangeMirrorOptions) {
    this.#options = options;
    void this.#synchronize();
  }

  /**
   * Milliseconds since the copy was last confirmed as current; infinite before the first read. The longer of the
   * times on both clocks counts: a monotonic clock omits a suspension, and the wall clock may be set back.
   */
  get ageMs(): number {
    if (this.#confirmedAt === undefined) return Number.POSITIVE_INFINITY;
    const {steadyMs, wallMs} = this.#now();
    const steadyAgeMs = steadyMs - this.#confirmedAt.steadyMs;
    const wallAgeMs = wallMs - this.#confirmedAt.wallMs;
    if (wallAgeMs - steadyAgeMs >= MIN_SUSPENSION_MS) this.#confirmNow(wallAgeMs - steadyAgeMs);
    return Math.max(steadyAgeMs, wallAgeMs);
  }

  [Symbol.dispose](): void {
    this.#controller.abort();
    this.#watchController.abort();
  }

  #now(): Moment {
    return {steadyMs: this.#options.clock.now(), wallMs: this.#options.wallTimeMs()};
  }

  /** Ends the watch in progress, so that a short one confirms the copy after a suspension or a clock step. */
  #confirmNow(differenceMs: number): void {
    if (this.#isConfirming) return;
    this.#isConfirming = true;
    const {logger, prefix} = this.#options;
    logger.warn('clocks differ; confirming the key-value copy', {prefix, differenceMs});
    this.#watchController.abort();
  }

  async #synchronize(): Promise<void> {
    const {clock, batchMs} = this.#options;
    const {signal} = this.#controller;
    while (!signal.aborted) {
      // The age is measured from the start of the call, since the response may lack changes made during the call.
      const startedAt = this.#now();
      this.#watchController = new AbortController();
      this.#lastWatch = noWatch;
      const error = await (this.#revision === undefined
        ? this.#reload()
        : this.#watchChanges(this.#revision));
      if (isAborted(signal)) return;
      if (isAborted(this.#watchController.signal)) continue;
      if (error !== undefined) {
        await this.#handleFailure(error);
        continue;
      }
      this.#confirmedAt = this.#confirmedMoment(startedAt);
      this.#isConfirming = false;
      this.#options.onConfirmed?.();
      if (this.#lastWatch.hasChange) await sleep(clock, batchMs, signal);
    }
  }

  /**
   * The moment as of which a call that started at `startedAt` confirms the copy. A watch that ends without changes
   * confirms it as of its end at the service, which is not before the wait that was asked for.
   */
  #confirmedMoment(startedAt: Moment): Moment {
    const now = this.#now();
    const {quietMs} = this.#lastWatch;
    // A response that came sooner has not waited.
    const hasWaited =
      now.steadyMs - startedAt.steadyMs >= quietMs && now.wallMs - startedAt.wallMs >= quietMs;
    if (!hasWaited) return startedAt;
    return {steadyMs: startedAt.steadyMs + quietMs, wallMs: startedAt.wallMs + quietMs};
  }

  async #reload(): Promise<StoreError | undefined> {
    const {store, prefix} = this.#options;
    const listing = await store.list(prefix);
    if (listing.isErr()) return listing.error;
    this.#recordAvailable();
    const {entries, revision} = listing.value;
    const isRestored = this.#era !== undefined && this.#era !== revision.era;
    const present = new Set(entries.map(({key}) => key));
    const changes = isRestored ? [...entries] : entries.filter((entry) => this.#isNewer(entry));
    this.#options.logger.info('key-value range read', {
      prefix,
      era: revision.era,
      previousEra: this.#era,
      revision: revision.number,
      entries: entries.length,
      unchanged: entries.length - changes.length,
    });
    for (const key of this.#revisions.keys()) {
      if (!present.has(key)) changes.push({key, value: '', revision});
    }
    this.#era = revision.era;
    this.#apply(changes, revision, isRestored ? 'restore' : 'history');
    return undefined;
  }

  async #watchChanges(afterRevision: Revision): Promise<StoreError | undefined> {
    const {store, prefix, watchMs, maxAgeMs} = this.#options;
    const {signal} = this.#watchController;
    // After a failure or a suspension, a watch with a short timeout confirms the copy sooner than one with the usual timeout.
    const isRecovering = this.#failures > 0 || this.#isConfirming;
    const timeoutMs = isRecovering
      ? RECOVERY_WATCH_TIMEOUT_MS
      : Math.max(RECOVERY_WATCH_TIMEOUT_MS, Math.min(watchMs, maxAgeMs - this.ageMs));
    const changes = await store.watch(prefix, {afterRevision, timeoutMs, signal});
    if (changes.isErr()) return changes.error;
    this.#recordAvailable();
    const {entries, revision, quietMs = 0} = changes.value;
    if (entries.length > 0)
      this.#options.logger.debug('key-value changes', {
        prefix,
        era: revision.era,
        revision: revision.number,
        entries: entries.length,
        unchanged: entries.filter((entry) => !this.#isNewer(entry)).length,
      });
    this.#lastWatch = {quietMs, hasChange: entries.length > 0};
    this.#apply(
      entries.filter((entry) => this.#isNewer(entry)),
      isLater(revision, afterRevision) ? revision : afterRevision,
      'history',
    );
    return undefined;
  }

  #isNewer({key, revision}: KeyValueEntry): boolean {
    const known = this.#revisions.get(key);
    return known === undefined || isLater(revision, known);
  }

  #apply(changes: readonly KeyValueEntry[], revision: Revision, origin: ChangeOrigin): void {
    this.#revision = revision;
    for (const {key, value, revision: entryRevision} of changes) {
      if (value === '') this.#revisions.delete(key);
      else this.#revisions.set(key, entryRevision);
    }
    if (changes.length > 0) this.#options.onChange(changes, origin);
  }

  async #handleFailure(error: StoreError): Promise<void> {
    const {clock, random, logger, prefix} = this.#options;
    if (error.code === 'history_lost' || error.code === 'restored') {
      this.#revision = undefined;
      const {code, message: reason} = error;
      logger.warn('key-value history lost; reading the range again', {prefix, code, reason});
      return;
    }
    const fields = {prefix, ageMs: Math.round(this.ageMs), reason: error.message};
    if (this.#failures === 0) this.#failingSinceMs = clock.now();
    const isOutage = this.#failures > 0 || error.code === 'timed_out';
    if (this.#isUnavailable) {
      logger.debug('key-value service still lost', {...fields, failures: this.#failures});
    } else if (isOutage) {
      this.#isUnavailable = true;
      logger.warn('key-value service lost', fields);
    } else {
      logger.info('key-value call cut off', fields);
    }
    const limitMs = Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** this.#failures);
    this.#failures += 1;
    await sleep(clock, limitMs * (0.5 + random() / 2), this.#controller.signal);
  }

  #recordAvailable(): void {
    this.#failures = 0;
    if (!this.#isUnavailable) return;
    const {clock, logger, prefix, onReconnected} = this.#options;
    logger.info('key-value service regained', {
      prefix,
      outageMs: clock.now() - this.#failingSinceMs,
    });
    this.#isUnavailable = false;
    onReconnected?.();
  }
}
