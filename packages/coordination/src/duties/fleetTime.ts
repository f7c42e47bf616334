/** Estimates the true time from the clocks of this machine and the statements of other instances. */
import type {Clock} from '@marigoldfold/runtime';

/** Clocks of this machine. */
export interface FleetTimeOptions {
  /** Monotonic clock. */
  readonly clock: Clock;
  /** Wall-clock time in milliseconds since the start of 1970. */
  readonly wallTimeMs: () => number;
}

/** Times of one instance at the moment of a message, in milliseconds since the start of 1970. */
export interface TimeStatement {
  /** The instance's own estimate, uncorrected, so that errors of others cannot feed back. */
  readonly ownMs: number;
  /** Its corrected time, if it is based on enough instances. */
  readonly agreedMs?: number | undefined;
}

/** A step of the wall clock is followed after this time, if no peer contradicts it. */
const FOLLOW_AFTER_MS = 60_000;
/** Smaller differences may be the delay of messages in a busy process; they are not corrected. */
const MIN_CORRECTION_MS = 100;
/** Statements older than this are not used; instances send at least two per second. */
const STATEMENT_LIFE_MS = 5000;
/** With fewer clocks, a median cannot tell which one is wrong. */
const MIN_CLOCKS = 3;
/** Statements kept of each peer. A delayed message makes its sender seem slow, so that the largest difference counts. */
const KEPT_STATEMENTS = 8;
/** A peer that seems slower by less than this is not believed before that many statements. */
const MAX_DELAY_MS = 500;

interface Differences {
  /** Stated times less this instance's own estimate on arrival, in milliseconds, oldest first. */
  readonly valuesMs: readonly number[];
  readonly atMs: number;
}

/** The corrected wall clock of one instance. */
export class FleetTime {
  readonly #options: FleetTimeOptions;
  readonly #startMs: number;
  /** Own estimate less the monotonic clock. */
  #offsetMs: number;
  #correctionMs = 0;
  /** Since when the wall clock has differed from the own estimate. */
  #differsSinceMs: number | undefined;
  readonly #own = new Map<string, Differences>();
  readonly #agreed = new Map<string, Differences>();

  constructor(options: FleetTimeOptions) {
    this.#options = options;
    this.#startMs = options.clock.now();
    this.#offsetMs = options.wallTimeMs() - this.#startMs;
  }

  /** Corrected time. */
  get nowMs(): number {
    return this.#ownMs + this.#appliedCorrectionMs;
  }

  /** Corrected time of this instance's start. */
  get startedMs(): number {
    return this.#startMs + this.#offsetMs + this.#appliedCorrectionMs;
  }

  /** What this instance states to others now. */
  get statement(): TimeStatement {
    return {ownMs: this.#ownMs, ...(this.#hasMedian ? {agreedMs: this.nowMs} : {})};
  }

  /** Records what a peer stated in a message that has just arrived. */
  observe(peer: string, {ownMs, agreedMs}: TimeStatement): void {
    this.#record(this.#own, peer, ownMs);
    if (agreedMs !== undefined) this.#record(this.#agreed, peer, agreedMs);
    if (this.#hasMedian) {
      const differences = this.#fresh(this.#own).map(estimateDifference);
      this.#correctionMs = median([0, ...differences]);
      return;
    }
    const newest = this.#fresh(this.#agreed).sort((a, b) => b.atMs - a.atMs)[0];
    if (newest !== undefined) this.#correctionMs = estimateDifference(newest);
  }

  /** Compares the own estimate with the wall clock; to be called several times per second. */
  followWallClock(): void {
    const now = this.#options.clock.now();
    const differenceMs = this.#options.wallTimeMs() - this.#ownMs;
    if (Math.abs(differenceMs) < MIN_CORRECTION_MS) {
      this.#differsSinceMs = undefined;
      return;
    }
    this.#differsSinceMs ??= now;
    if (now - this.#differsSinceMs < FOLLOW_AFTER_MS) return;
    this.#differsSinceMs = undefined;
    // What enough clocks agree on goes before the wall clock; the corrected time does not change then.
    const isAgreed = this.#hasMedian || this.#fresh(this.#agreed).length > 0;
    this.#correctionMs = isAgreed ? this.#correctionMs - differenceMs : 0;
    this.#offsetMs += differenceMs;
    this.#own.clear();
    this.#agreed.clear();
  }

  get #hasMedian(): boolean {
    return this.#fresh(this.#own).length + 1 >= MIN_CLOCKS;
  }

  get #ownMs(): number {
    return this.#options.clock.now() + this.#offsetMs;
  }

  get #appliedCorrectionMs(): number {
    return Math.abs(this.#correctionMs) < MIN_CORRECTION_MS ? 0 : this.#correctionMs;
  }

  #record(statements: Map<string, Differences>, peer: string, statedMs: number): void {
    const former = statements.get(peer)?.valuesMs.slice(1 - KEPT_STATEMENTS) ?? [];
    const valuesMs = [...former, statedMs - this.#ownMs];
    statements.set(peer, {valuesMs, atMs: this.#options.clock.now()});
  }

  #fresh(statements: Map<string, Differences>): Differences[] {
    const oldestMs = this.#options.clock.now() - STATEMENT_LIFE_MS;
    for (const [peer, {atMs}] of statements) if (atMs < oldestMs) statements.delete(peer);
    return [...statements.values()];
  }
}

function estimateDifference({valuesMs}: Differences): number {
  const differenceMs = Math.max(...valuesMs);
  const mayBeDelay = differenceMs < 0 && differenceMs > -MAX_DELAY_MS;
  return mayBeDelay && valuesMs.length < KEPT_STATEMENTS ? 0 : differenceMs;
}

function median(values: readonly number[]): number {
  const sorted = values.toSorted((a, b) => a - b);
  const middle = sorted.length / 2;
  const lower = sorted[Math.ceil(middle) - 1] ?? 0;
  const upper = sorted[Math.floor(middle)] ?? 0;
  return (lower + upper) / 2;
}
