/** Exchanges request counts with other instances, and tells when those of a window are complete. */
import type {Clock} from '@marigoldfold/runtime';
import {rankMembers} from '../rendezvous.js';
import type {FleetTime} from './fleetTime.js';
import type {UsageCounter, UsageCounts} from './usageCounter.js';
import {splitStatement, type UsageStatement} from './usageStatement.js';

/** Identity, neighbours and dependencies of a collector. */
export interface UsageCollectorOptions {
  readonly clock: Clock;
  readonly time: FleetTime;
  readonly counter: UsageCounter;
  readonly self: string;
  /** Identifies the lifetime of this process. */
  readonly lifetime: string;
  readonly windowMs: number;
  readonly keptWindows: number;
  /** Names of the other registered instances. */
  readonly peers: () => readonly string[];
  readonly holderName: () => string | undefined;
  readonly send: (peer: string, update: {readonly usage: readonly UsageStatement[]}) => void;
  /** Windows that this instance has seen in the record, each with a digest of its counts. */
  readonly recorded: () => ReadonlyMap<number, number>;
}

/** Time after its end until the counts of a window are final: clocks may differ by some of it. */
export const FINAL_DELAY_MS = 300;
const SEND_INTERVAL_MS = 500;
/** Interval while the last window is final and not recorded: a report waits for what was lost. */
const FINAL_INTERVAL_MS = 250;
/** The same in the first second after the end, since the report does not wait longer for a silent instance. */
const GRACE_INTERVAL_MS = 100;
/** An instance that was silent for this long, at least four intervals, does not delay a report. */
const SILENCE_MS = 2000;
/** Time after the end of a window in which a silent instance is waited for, as short outages may end. */
const SILENT_GRACE_MS = 1000;
/** Instances that get all counts besides the holder, so that its counts and those of killed instances survive it. */
const DEPUTIES = 2;

/** What is known of one process. */
interface Tally {
  readonly instance: string;
  readonly lifetime: string;
  since: number;
  finalThrough: number;
  /** Whether the process itself has stated it; others may do so before. */
  isHeard: boolean;
  readonly windows: Map<number, WindowTally>;
  changedAtMs: number;
}

interface WindowTally {
  total: number;
  readonly counts: Map<string, number>;
}

/** Counts of this and the other instances in the windows that are not yet recorded. */
export class UsageCollector {
  readonly #options: UsageCollectorOptions;
  /** By instance and lifetime. */
  readonly #tallies = new Map<string, Tally>();
  /** The lifetime that was heard for the first time last, by instance. */
  readonly #currentLifetimes = new Map<string, string>();
  /** When an instance was last heard, or when this instance learned of it. */
  readonly #heardAtMs = new Map<string, number>();
  /** Digests of the counts of windows that other instances have seen in the record. */
  readonly #recordedElsewhere = new Map<number, Set<number>>();
  /** When each instance last stated that it holds the duty. */
  readonly #claimedAtMs = new Map<string, number>();
  #isHolder = false;
  #holderSinceMs = Number.NEGATIVE_INFINITY;
  #sentAtMs = Number.NEGATIVE_INFINITY;
  #sentFinalThrough = Number.NEGATIVE_INFINITY;
  #hasLeft = false;

  constructor(options: UsageCollectorOptions) {
    this.#options = options;
  }

  /** Records a message of a peer; undefined or empty if it had no usage statements. */
  receive(from: string, statements: readonly UsageStatement[] = []): void {
    const {self, lifetime, time} = this.#options;
    if (from === self) return;
    this.#heardAtMs.set(from, this.#options.clock.now());
    for (const statement of statements) {
      if (statement.instance === self && statement.lifetime === lifetime) continue;
      if (statement.instance === from) {
        if (statement.time !== undefined) time.observe(from, statement.time);
        if (statement.isHolder) this.#claimedAtMs.set(from, this.#options.clock.now());
        if (this.#tallies.get(keyOf(statement))?.isHeard !== true)
          this.#currentLifetimes.set(from, statement.lifetime);
      }
      this.#merge(statement, statement.instance === from);
      for (const [window, digest] of statement.recorded) {
        if (!this.#isKept(window)) continue;
        const digests = this.#recordedElsewhere.get(window) ?? new Set();
        this.#recordedElsewhere.set(window, digests.add(digest));
      }
    }
  }

  /** Sends the counts if it is time to; to be called several times per second. */
  tick(): void {
    const {clock, self, peers, holderName} = this.#options;
    const isHolder = holderName() === self;
    if (isHolder && !this.#isHolder) this.#holderSinceMs = clock.now();
    this.#isHolder = isHolder;
    this.#prune();
    this.#merge(this.#ownStatement(), true);
    for (const peer of peers())
      if (!this.#heardAtMs.has(peer)) this.#heardAtMs.set(peer, clock.now());
    const isDue = clock.now() - this.#sentAtMs >= this.#intervalMs;
    if (isDue || this.#finalThrough > this.#sentFinalThrough) this.sendNow();
  }

  /** Sends the counts without waiting for the next interval. */
  sendNow(): void {
    const {clock, lifetime, peers} = this.#options;
    this.#sentAtMs = clock.now();
    this.#sentFinalThrough = this.#finalThrough;
    const own = this.#ownStatement();
    const holders = this.#holders();
    const recipients = [...holders, ...this.#deputies()];
    for (const peer of peers()) {
      if (recipients.includes(peer)) this.#send(peer, own);
      // The holder tells all instances the time and what is recorded.
      else if (own.isHolder) this.#send(peer, {...own, windows: []});
    }
    for (const tally of this.#tallies.values()) {
      if (tally.windows.size === 0 || tally.lifetime === lifetime) continue;
      if (!this.#isGone(tally.instance)) continue;
      for (const holder of holders) this.#send(holder, this.#statementOf(tally));
    }
  }

  /** Sends the counts for the last time, all of them final. */
  leave(): void {
    this.#hasLeft = true;
    this.sendNow();
  }

  /** The first window that any known instance has to report. */
  get firstWindow(): number {
    let first = this.#options.counter.firstWindow;
    for (const {since, windows} of this.#tallies.values())
      first = Math.min(first, since, ...windows.keys());
    return first;
  }

  /** Digests of the counts that other instances have seen recorded for a window. */
  recordedElsewhere(window: number): ReadonlySet<number> {
    return this.#recordedElsewhere.get(window) ?? new Set();
  }

  /** Names of the instances whose final counts of a window are missing. */
  missing(window: number): readonly string[] {
    const {self, peers} = this.#options;
    const isGraceOver = this.#isGraceOver(window);
    const names = new Set([...peers(), ...this.#currentLifetimes.keys()]);
    return [...names].filter((name) => {
      if (name === self || (isGraceOver && this.#isSilent(name))) return false;
      const tally = this.#tallies.get(keyOf({instance: name, lifetime: this.#lifetimeOf(name)}));
      return tally === undefined || !isFinal(tally, window);
    });
  }

  /** Sums of all instances in a window, in the order of the accounts' names. */
  counts(window: number): UsageCounts {
    this.#merge(this.#ownStatement(), true);
    const sums = new Map<string, number>();
    for (const {windows} of this.#tallies.values())
      for (const [account, count] of windows.get(window)?.counts ?? [])
        sums.set(account, (sums.get(account) ?? 0) + count);
    return Object.fromEntries([...sums].sort(([a], [b]) => (a < b ? -1 : 1)));
  }

  get #intervalMs(): number {
    if (this.#options.recorded().has(this.#finalThrough)) return SEND_INTERVAL_MS;
    return this.#isGraceOver(this.#finalThrough) ? FINAL_INTERVAL_MS : GRACE_INTERVAL_MS;
  }

  #isGraceOver(window: number): boolean {
    const {time, windowMs} = this.#options;
    return time.nowMs >= (window + 1) * windowMs + SILENT_GRACE_MS;
  }

  get #finalThrough(): number {
    const {time, windowMs, counter} = this.#options;
    if (this.#hasLeft) return counter.currentWindow;
    return Math.floor((time.nowMs - FINAL_DELAY_MS) / windowMs) - 1;
  }

  #ownStatement(): UsageStatement {
    const {counter, self, lifetime, time, holderName} = this.#options;
    const recorded = this.#recordedWindows();
    const isRecorded = new Set(recorded.map(([window]) => window));
    const windows = [...counter.windows].filter(
      ([window]) => !isRecorded.has(window) && this.#isKept(window),
    );
    return {
      instance: self,
      lifetime,
      time: time.statement,
      isHolder: holderName() === self,
      since: counter.firstWindow,
      finalThrough: this.#finalThrough,
      recorded,
      windows: windows.map(([window, counts]) => [window, sumOf(counts), [...counts]]),
    };
  }

  #statementOf({instance, lifetime, since, finalThrough, windows}: Tally): UsageStatement {
    const listed = [...windows].map(
      ([window, {total, counts}]): UsageStatement['windows'][number] => [
        window,
        total,
        [...counts],
      ],
    );
    const recorded = this.#recordedWindows();
    const isHolder = false;
    return {instance, lifetime, isHolder, since, finalThrough, recorded, windows: listed};
  }

  /** What this instance has seen itself, and what others state. */
  #recordedWindows(): UsageStatement['recorded'] {
    const recorded = [...this.#options.recorded()];
    for (const [window, digests] of this.#recordedElsewhere)
      for (const digest of digests)
        if (this.#options.recorded().get(window) !== digest) recorded.push([window, digest]);
    return recorded.filter(([window]) => this.#isKept(window));
  }

  #send(peer: string, statement: UsageStatement): void {
    for (const part of splitStatement(statement)) this.#options.send(peer, {usage: [part]});
  }

  /** Adds a statement; `isOwn` if it comes from the instance that has counted, so that it is not outdated. */
  #merge(statement: UsageStatement, isOwn: boolean): void {
    const {clock} = this.#options;
    const {instance, lifetime, since, finalThrough, windows} = statement;
    const key = keyOf(statement);
    const tally = this.#tallies.get(key) ?? {
      instance,
      lifetime,
      since,
      finalThrough,
      isHeard: false,
      windows: new Map<number, WindowTally>(),
      changedAtMs: 0,
    };
    this.#tallies.set(key, tally);
    if (isOwn) {
      // Not the maximum: an instance whose clock was ahead states a lower window once it is corrected.
      tally.since = since;
      tally.finalThrough = finalThrough;
      tally.isHeard = true;
    }
    tally.changedAtMs = clock.now();
    for (const [window, total, counts] of windows) {
      if (!this.#isKept(window)) continue;
      const kept = tally.windows.get(window) ?? {total, counts: new Map<string, number>()};
      tally.windows.set(window, kept);
      kept.total = Math.max(kept.total, total);
      for (const [account, count] of counts)
        kept.counts.set(account, Math.max(kept.counts.get(account) ?? 0, count));
    }
  }

  /** Whether a window is among those kept; the next one is too, since clocks may differ. */
  #isKept(window: number): boolean {
    const current = this.#options.counter.currentWindow;
    return window > current - this.#options.keptWindows && window <= current + 1;
  }

  #prune(): void {
    const {clock, windowMs, keptWindows, peers} = this.#options;
    const recorded = this.#options.recorded();
    const oldestMs = clock.now() - keptWindows * windowMs;
    for (const [key, {windows, changedAtMs}] of this.#tallies) {
      for (const window of windows.keys())
        if (!this.#isKept(window) || recorded.has(window)) windows.delete(window);
      if (changedAtMs < oldestMs) this.#tallies.delete(key);
    }
    for (const window of this.#recordedElsewhere.keys())
      if (!this.#isKept(window)) this.#recordedElsewhere.delete(window);
    const registered = new Set(peers());
    for (const [name, heardAtMs] of this.#heardAtMs) {
      if (registered.has(name) || heardAtMs >= oldestMs) continue;
      this.#heardAtMs.delete(name);
      this.#claimedAtMs.delete(name);
      this.#currentLifetimes.delete(name);
    }
  }

  #lifetimeOf(name: string): string {
    return this.#currentLifetimes.get(name) ?? '';
  }

  #isSilent(name: string): boolean {
    const now = this.#options.clock.now();
    // Instances that are not deputies begin to send to this one when it becomes the holder.
    const heardAtMs = Math.max(this.#heardAtMs.get(name) ?? now, this.#holderSinceMs);
    return now - heardAtMs >= SILENCE_MS;
  }

  /** Whether an instance cannot be expected to send its counts itself. */
  #isGone(name: string): boolean {
    if (name === this.#options.self) return true;
    return this.#isSilent(name) || !this.#options.peers().includes(name);
  }

  /** Other instances that hold the duty, according to the copy of the store, which may be outdated, or to themselves. */
  #holders(): readonly string[] {
    const {clock, self, holderName} = this.#options;
    const oldestMs = clock.now() - SILENCE_MS;
    const claiming = [...this.#claimedAtMs].filter(([, atMs]) => atMs >= oldestMs);
    const names = new Set([holderName(), ...claiming.map(([name]) => name)]);
    return [...names].filter((name): name is string => name !== undefined && name !== self);
  }

  #deputies(): readonly string[] {
    const {self, peers, holderName} = this.#options;
    const names = [...new Set([...peers(), self])].filter((name) => name !== holderName());
    return rankMembers('usage', names, (name) => name).slice(0, DEPUTIES);
  }
}

function keyOf({instance, lifetime}: {readonly instance: string; readonly lifetime: string}) {
  return `${instance}\n${lifetime}`;
}

function isFinal({since, finalThrough, windows}: Tally, window: number): boolean {
  if (since > window) return true;
  const tally = windows.get(window);
  return finalThrough >= window && (tally === undefined || sumOf(tally.counts) >= tally.total);
}

function sumOf(counts: ReadonlyMap<string, number>): number {
  let sum = 0;
  for (const count of counts.values()) sum += count;
  return sum;
}
