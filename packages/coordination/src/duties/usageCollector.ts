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
  /** Windows that this instance knows to be in the record. */
  readonly recorded: () => Iterable<number>;
}

/** Time after its end until the counts of a window are final: clocks may differ by some of it. */
export const FINAL_DELAY_MS = 300;
const SEND_INTERVAL_MS = 500;
/** An instance that was silent for this long, four intervals, does not delay a report. */
const SILENCE_MS = 2000;
/** Instances that get all counts besides the holder, so that its counts and those of killed instances survive it. */
const DEPUTIES = 2;

/** What is known of one process. */
interface Tally {
  readonly instance: string;
  readonly lifetime: string;
  since: number;
  finalThrough: number;
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
  /** Lifetime that last sent a first message, by instance. */
  readonly #currentLifetimes = new Map<string, string>();
  /** When an instance was last heard, or when this instance learned of it. */
  readonly #heardAtMs = new Map<string, number>();
  readonly #recordedElsewhere = new Set<number>();
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
        if (!this.#tallies.has(keyOf(statement)))
          this.#currentLifetimes.set(from, statement.lifetime);
      }
      this.#merge(statement);
    }
  }

  /** Sends the counts if it is time to; to be called several times per second. */
  tick(): void {
    const {clock, peers} = this.#options;
    this.#prune();
    this.#merge(this.#ownStatement());
    for (const peer of peers())
      if (!this.#heardAtMs.has(peer)) this.#heardAtMs.set(peer, clock.now());
    const isDue = clock.now() - this.#sentAtMs >= SEND_INTERVAL_MS;
    if (isDue || this.#finalThrough > this.#sentFinalThrough) this.sendNow();
  }

  /** Sends the counts without waiting for the next interval. */
  sendNow(): void {
    const {clock, self, lifetime, peers, holderName} = this.#options;
    this.#sentAtMs = clock.now();
    this.#sentFinalThrough = this.#finalThrough;
    const own = this.#ownStatement();
    const holder = holderName();
    const deputies = this.#deputies(holder);
    for (const peer of peers()) {
      if (peer === self) continue;
      if (peer === holder || deputies.includes(peer)) this.#send(peer, own);
      // The holder tells all instances the time and what is recorded.
      else if (holder === self) this.#send(peer, {...own, windows: []});
    }
    if (holder === undefined || holder === self) return;
    for (const tally of this.#tallies.values())
      if (tally.windows.size > 0 && tally.lifetime !== lifetime && this.#isGone(tally.instance))
        this.#send(holder, this.#statementOf(tally));
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

  /** Whether another instance knows the window to be recorded. */
  isRecordedElsewhere(window: number): boolean {
    return this.#recordedElsewhere.has(window);
  }

  /** Names of the instances whose final counts of a window are missing. */
  missing(window: number): readonly string[] {
    const {self, peers} = this.#options;
    const names = new Set([...peers(), ...this.#currentLifetimes.keys()]);
    return [...names].filter((name) => {
      if (name === self || this.#isSilent(name)) return false;
      const tally = this.#tallies.get(keyOf({instance: name, lifetime: this.#lifetimeOf(name)}));
      return tally === undefined || !isFinal(tally, window);
    });
  }

  /** Sums of all instances in a window, in the order of the accounts' names. */
  counts(window: number): UsageCounts {
    this.#merge(this.#ownStatement());
    const sums = new Map<string, number>();
    for (const {windows} of this.#tallies.values())
      for (const [account, count] of windows.get(window)?.counts ?? [])
        sums.set(account, (sums.get(account) ?? 0) + count);
    return Object.fromEntries([...sums].sort(([a], [b]) => (a < b ? -1 : 1)));
  }

  get #finalThrough(): number {
    const {time, windowMs, counter} = this.#options;
    if (this.#hasLeft) return counter.currentWindow;
    return Math.floor((time.nowMs - FINAL_DELAY_MS) / windowMs) - 1;
  }

  #ownStatement(): UsageStatement {
    const {counter, self, lifetime, time} = this.#options;
    const recorded = this.#recordedWindows();
    const windows = [...counter.windows].filter(([window]) => !recorded.includes(window));
    return {
      instance: self,
      lifetime,
      time: time.statement,
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
    return {instance, lifetime, since, finalThrough, recorded, windows: listed};
  }

  #recordedWindows(): readonly number[] {
    const known = new Set([...this.#options.recorded(), ...this.#recordedElsewhere]);
    return [...known].filter((window) => this.#isKept(window));
  }

  #send(peer: string, statement: UsageStatement): void {
    for (const part of splitStatement(statement)) this.#options.send(peer, {usage: [part]});
  }

  #merge(statement: UsageStatement): void {
    const {clock} = this.#options;
    const {instance, lifetime, since, finalThrough, recorded, windows} = statement;
    const key = keyOf(statement);
    const tally = this.#tallies.get(key) ?? {
      instance,
      lifetime,
      since,
      finalThrough,
      windows: new Map<number, WindowTally>(),
      changedAtMs: 0,
    };
    this.#tallies.set(key, tally);
    tally.since = since;
    tally.finalThrough = Math.max(tally.finalThrough, finalThrough);
    tally.changedAtMs = clock.now();
    for (const window of recorded)
      if (this.#isKept(window) && instance !== this.#options.self)
        this.#recordedElsewhere.add(window);
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
    const recorded = new Set(this.#options.recorded());
    const oldestMs = clock.now() - keptWindows * windowMs;
    for (const [key, {windows, changedAtMs}] of this.#tallies) {
      for (const window of windows.keys())
        if (!this.#isKept(window) || recorded.has(window)) windows.delete(window);
      if (changedAtMs < oldestMs) this.#tallies.delete(key);
    }
    for (const window of this.#recordedElsewhere)
      if (!this.#isKept(window)) this.#recordedElsewhere.delete(window);
    const registered = new Set(peers());
    for (const [name, heardAtMs] of this.#heardAtMs) {
      if (registered.has(name) || heardAtMs >= oldestMs) continue;
      this.#heardAtMs.delete(name);
      this.#currentLifetimes.delete(name);
    }
  }

  #lifetimeOf(name: string): string {
    return this.#currentLifetimes.get(name) ?? '';
  }

  #isSilent(name: string): boolean {
    const heardAtMs = this.#heardAtMs.get(name) ?? this.#options.clock.now();
    return this.#options.clock.now() - heardAtMs >= SILENCE_MS;
  }

  /** Whether an instance cannot be expected to send its counts itself. */
  #isGone(name: string): boolean {
    if (name === this.#options.self) return true;
    return this.#isSilent(name) || !this.#options.peers().includes(name);
  }

  #deputies(holder: string | undefined): readonly string[] {
    const {self, peers} = this.#options;
    const names = [...new Set([...peers(), self])].filter((name) => name !== holder);
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
