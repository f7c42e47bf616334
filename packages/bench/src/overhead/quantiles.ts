/** Computes the median and 99th percentile of measured values. */

/** Median and 99th percentile of a sample. */
export interface SampleQuantiles {
  readonly p50: number;
  readonly p99: number;
}

const MEDIAN_FRACTION = 0.5;
const TAIL_FRACTION = 0.99;

/** Computes the quantiles; both are NaN for an empty sample. */
export function computeSampleQuantiles(values: readonly number[]): SampleQuantiles {
  const sorted = [...values].sort((a, b) => a - b);
  const at = (fraction: number) =>
    sorted[Math.min(sorted.length - 1, Math.floor(fraction * sorted.length))] ?? Number.NaN;
  return {p50: at(MEDIAN_FRACTION), p99: at(TAIL_FRACTION)};
}
