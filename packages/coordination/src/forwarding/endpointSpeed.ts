/** Estimates the lasting ratio of an endpoint's processing time to the usual time of its service. */
import {lowerMedian} from '../quantile.js';
import {RecentSamples} from '../recentSamples.js';

/** Low quantile of the samples, since disturbances only ever slow an endpoint down. */
const UNDISTURBED_QUANTILE = 0.3;
/**
 * Quantile that must be in the slow band for an endpoint to enter it. With the estimate itself, endpoints of a ratio of 1.3
 * entered by chance at some instances and not at others, and stayed there because of the lower limit for leaving.
 */
const ENTRY_QUANTILE = 0.1;
/** Divisor of a peer's estimate, which may be of few samples, for the entry into the slow band. */
const REPORT_MARGIN = 1.1;
/** Samples that make an estimate reliable. */
const MIN_SAMPLES = 12;
/** Newest samples that an estimate covers; fewer at first, so that it adapts quickly then. */
const MAX_SAMPLES = 32;
/**
 * Time between two samples, in milliseconds. Other load on the same machine lasts for about 600 ms, and many samples of
 * one such period would outweigh the undisturbed ones.
 */
const SAMPLE_INTERVAL_MS = 250;
/** Relative change since the last statement from which peers are told again. */
const MIN_STATED_CHANGE = 0.15;
/** Least time between two statements on one endpoint, in milliseconds. */
const STATEMENT_INTERVAL_MS = 1000;
/** Multiple of the median ratio from which an endpoint is slow; engines that are 1.3 times faster are common. */
const ENTER_SLOW_BAND = 1.35;
/** Multiple of the median ratio below which a slow endpoint is no longer slow. */
const LEAVE_SLOW_BAND = 1.2;

/** Lasting speed of one lifetime of an endpoint. */
export class EndpointSpeed {
  readonly #samples = new RecentSamples(MAX_SAMPLES);
  #sampledAtMs = Number.NEGATIVE_INFINITY;
  /** Ratio that a peer last stated; used until there are enough samples. */
  #reported: number | undefined;
  #stated: {readonly ratio: number; readonly atMs: number} | undefined;
  #slowRatio: number | undefined;

  /** Records the ratio of the time that events took to the usual time. */
  recordSample(ratio: number, nowMs: number): void {
    if (nowMs - this.#sampledAtMs < SAMPLE_INTERVAL_MS) return;
    this.#sampledAtMs = nowMs;
    this.#samples.add(ratio);
  }

  /** Records the ratio that a peer stated. */
  recordReport(ratio: number): void {
    this.#reported = ratio;
  }

  /** Estimate from the samples, or else the report of a peer; undefined with neither. */
  get ratio(): number | undefined {
    return this.#ownRatio ?? this.#reported;
  }

  get #ownRatio(): number | undefined {
    if (this.#samples.count < MIN_SAMPLES) return undefined;
    return this.#samples.quantile(UNDISTURBED_QUANTILE);
  }

  /** Ratio that is almost certainly reached; undefined if nothing is known. */
  get #certainRatio(): number | undefined {
    if (this.#samples.count >= MIN_SAMPLES) return this.#samples.quantile(ENTRY_QUANTILE);
    return this.#reported === undefined ? undefined : this.#reported / REPORT_MARGIN;
  }

  /** Whether the endpoint is in the slow band of its service. */
  get isSlow(): boolean {
    return this.#slowRatio !== undefined;
  }

  /**
   * Factor by which expected times at the endpoint are multiplied: its ratio in the slow band, otherwise 1, so that
   * inaccuracies of the estimate do not affect endpoints of equal speed.
   */
  get slowness(): number {
    return this.#slowRatio ?? 1;
  }

  /** Updates the slow band from the median ratio of the service; returns whether it was entered or left. */
  classify(medianRatio: number): boolean {
    const {ratio, isSlow} = this;
    // The usual time is a low quantile itself, so a lower median comes from inaccurate samples.
    const base = Math.max(1, medianRatio);
    const isInBand = isSlow
      ? (ratio ?? 0) >= base * LEAVE_SLOW_BAND
      : (this.#certainRatio ?? 0) >= base * ENTER_SLOW_BAND;
    this.#slowRatio = isInBand ? ratio : undefined;
    return this.isSlow !== isSlow;
  }

  /** Returns the ratio that is to be stated to peers now, if any, and counts it as stated. */
  takeStatement(nowMs: number): number | undefined {
    const stated = this.#stated;
    if (stated !== undefined && nowMs - stated.atMs < STATEMENT_INTERVAL_MS) return undefined;
    const ratio = this.#ownRatio;
    if (ratio === undefined) return undefined;
    if (stated !== undefined && Math.abs(ratio / stated.ratio - 1) <= MIN_STATED_CHANGE)
      return undefined;
    this.#stated = {ratio, atMs: nowMs};
    return ratio;
  }
}

/** Median ratio of a service; undefined unless the ratios of at least half of its endpoints are known. */
export function findMedianRatio(speeds: readonly EndpointSpeed[]): number | undefined {
  const ratios = speeds.flatMap(({ratio}) => ratio ?? []);
  return ratios.length * 2 < speeds.length ? undefined : lowerMedian(ratios);
}

/**
 * Number of endpoints, in the given order, that have a share of the speed of all; with a fraction for the part of the
 * last one.
 */
export function countForShare(
  endpoints: readonly {readonly speed: EndpointSpeed}[],
  share: number,
): number {
  let left = 0;
  for (const {speed} of endpoints) left += share / speed.slowness;
  let count = 0;
  for (const {speed} of endpoints) {
    const fraction = left * speed.slowness;
    if (fraction <= 1) return count + fraction;
    left -= 1 / speed.slowness;
    count += 1;
  }
  return count;
}
