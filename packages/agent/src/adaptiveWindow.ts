/** Finds how many requests may run at once so that the time between tokens stays within its target. */
import type {Clock} from '@marigoldfold/runtime';
import {RecentSamples} from '@marigoldfold/coordination';

/** What a window needs. */
export interface AdaptiveWindowOptions {
  readonly clock: Clock;
  /** Requests that the endpoint can run at once. */
  readonly slots: number;
  readonly isAdaptive: boolean;
}

/** How often the window is judged. */
const ADJUST_INTERVAL_MS = 250;
const MIN_SAMPLES = 16;
const MAX_SAMPLES = 1024;
/** The part of the gaps that is to be within the target. */
const GAP_QUANTILE = 0.95;
const SHRINK_FACTOR = 0.9;
/** The window stays at least this part of the slots, however slow the endpoint is. */
const MIN_SIZE_FRACTION = 0.25;
/** A target is kept up for this long after its class was last seen. */
const TARGET_RETENTION_MS = 60_000;
/** How long a size that was too large is not tried again. */
const CEILING_HOLD_MS = 20_000;
/** Below this part of the target, a size that was too large is tried again at once. */
const EARLY_RETRY_FACTOR = 0.8;

/** Grows by one while the gaps are within the tightest target, and shrinks in proportion beyond it. */
export class AdaptiveWindow {
  readonly #options: AdaptiveWindowOptions;
  readonly #gaps = new RecentSamples(MAX_SAMPLES);
  readonly #seenAtMsByTarget = new Map<number, number>();
  #size: number;
  #ceiling = Number.POSITIVE_INFINITY;
  #ceilingUntilMs = 0;
  #adjustedAtMs: number;
  #isTargetUnreachable = false;

  constructor(options: AdaptiveWindowOptions) {
    this.#options = options;
    this.#size = options.slots;
    this.#adjustedAtMs = options.clock.now();
  }

  /** Number of requests that may run at once. */
  get size(): number {
    return this.#size;
  }

  /**
   * Number of requests that may run at once when an urgent one would miss its deadline otherwise.
   * It is larger where even the smallest window does not meet the target between tokens.
   */
  get urgentSize(): number {
    return this.#isTargetUnreachable ? this.#options.slots : this.#size;
  }

  get #minSize(): number {
    return Math.max(1, Math.ceil(this.#options.slots * MIN_SIZE_FRACTION));
  }

  /** Takes a measured gap between two tokens; true when the window's size has changed. */
  observe(gapMs: number, targetMs: number | undefined, runningCount: number): boolean {
    const {clock, isAdaptive} = this.#options;
    if (!isAdaptive) return false;
    const now = clock.now();
    if (targetMs !== undefined) this.#seenAtMsByTarget.set(targetMs, now);
    this.#gaps.add(gapMs);
    if (now - this.#adjustedAtMs < ADJUST_INTERVAL_MS || this.#gaps.count < MIN_SAMPLES)
      return false;
    this.#adjustedAtMs = now;
    const before = this.#size;
    this.#adjust(now, runningCount);
    this.#gaps.clear();
    return this.#size !== before;
  }

  #adjust(now: number, runningCount: number): void {
    const targetMs = this.#tightestTarget(now);
    if (targetMs === undefined) {
      this.#grow();
      return;
    }
    const gapMs = this.#gaps.quantile(GAP_QUANTILE);
    this.#isTargetUnreachable = gapMs > targetMs && runningCount <= this.#minSize;
    if (gapMs > targetMs) this.#shrink(now, runningCount);
    else if (runningCount >= this.#size && this.#mayGrow(now, gapMs, targetMs)) this.#grow();
  }

  #mayGrow(now: number, gapMs: number, targetMs: number): boolean {
    if (this.#size + 1 < this.#ceiling || now >= this.#ceilingUntilMs) return true;
    return gapMs < EARLY_RETRY_FACTOR * targetMs;
  }

  #grow(): void {
    this.#size = Math.min(this.#options.slots, this.#size + 1);
  }

  #shrink(now: number, runningCount: number): void {
    const floor = this.#minSize;
    // Requests that were started under a larger window may still run.
    const tooLarge = Math.min(this.#size, runningCount);
    if (tooLarge <= floor) return;
    this.#ceiling = tooLarge;
    this.#ceilingUntilMs = now + CEILING_HOLD_MS;
    this.#size = Math.max(floor, Math.min(tooLarge - 1, Math.floor(tooLarge * SHRINK_FACTOR)));
  }

  #tightestTarget(now: number): number | undefined {
    let tightest: number | undefined;
    for (const [targetMs, seenAtMs] of this.#seenAtMsByTarget) {
      if (now - seenAtMs > TARGET_RETENTION_MS) this.#seenAtMsByTarget.delete(targetMs);
      else tightest = Math.min(tightest ?? targetMs, targetMs);
    }
    return tightest;
  }
}
