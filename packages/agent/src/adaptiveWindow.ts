/** Adapts the concurrency limit of an endpoint to keep inter-token latency within its target. */
import type {Clock} from '@marigoldfold/runtime';
import {RecentSamples} from '@marigoldfold/coordination';

/** Slot count, clock and mode of an {@link AdaptiveWindow}. */
export interface AdaptiveWindowOptions {
  readonly clock: Clock;
  /** Maximum number of concurrent requests of the endpoint. */
  readonly slots: number;
  readonly isAdaptive: boolean;
}

/** Minimum time between two adjustments of the window. */
const ADJUST_INTERVAL_MS = 250;
const MIN_SAMPLES = 16;
const MAX_SAMPLES = 1024;
/** Quantile of the gaps between tokens that is compared with the inter-token latency target. */
const GAP_QUANTILE = 0.95;
const SHRINK_FACTOR = 0.9;
/** Lower bound of the window as a fraction of the slots. */
const MIN_SIZE_FRACTION = 0.25;
/** An inter-token target is dropped when no request with this target produced a token for this long. */
const TARGET_RETENTION_MS = 60_000;
/** How long the window stays below a size at which token gaps exceeded the target. */
const CEILING_HOLD_MS = 20_000;
/** If gaps are below this fraction of the target, the window may grow before `CEILING_HOLD_MS` has passed. */
const EARLY_RETRY_FACTOR = 0.8;

/** Additive increase while gaps meet the tightest target, multiplicative decrease when they exceed it. */
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

  /** Current concurrency limit. */
  get size(): number {
    return this.#size;
  }

  /**
   * Concurrency limit for an urgent request that would otherwise miss its deadline. Exceeds `size` only
   * while even the smallest window misses the inter-token target.
   */
  get urgentSize(): number {
    return this.#isTargetUnreachable ? this.#options.slots : this.#size;
  }

  get #minSize(): number {
    return Math.max(1, Math.ceil(this.#options.slots * MIN_SIZE_FRACTION));
  }

  /** Records the gap between two tokens; returns whether the window size changed. */
  observe(gapMs: number, targetMs: number | undefined, runningCount: number): boolean {
    const {clock, isAdaptive} = this.#options;
    if (!isAdaptive) return false;
    const now = clock.now();
    if (targetMs !== undefined) this.#seenAtMsByTarget.set(targetMs, now);
    this.#gaps.add(gapMs);
    if (now - this.#adjustedAtMs < ADJUST_INTERVAL_MS || this.#gaps.count < MIN_SAMPLES)
      return false;
    this.#adjustedAtMs = now;
    const sizeBefore = this.#size;
    this.#adjust(now, runningCount);
    this.#gaps.clear();
    return this.#size !== sizeBefore;
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
    const minSize = this.#minSize;
    // Requests started under a larger window may still run, so the count may exceed the size.
    const exceededSize = Math.min(this.#size, runningCount);
    if (exceededSize <= minSize) return;
    this.#ceiling = exceededSize;
    this.#ceilingUntilMs = now + CEILING_HOLD_MS;
    this.#size = Math.max(
      minSize,
      Math.min(exceededSize - 1, Math.floor(exceededSize * SHRINK_FACTOR)),
    );
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
