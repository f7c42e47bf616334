/** Quantiles of measured times. */

/** Two quantiles of a sample. */
export interface Spread {
  readonly p50: number;
  readonly p99: number;
}

const MEDIAN = 0.5;
const TAIL = 0.99;

/** Median and 99th percentile; a sample without values has none. */
export function spread(values: readonly number[]): Spread {
  const sorted = [...values].sort((a, b) => a - b);
  const at = (part: number) =>
    sorted[Math.min(sorted.length - 1, Math.floor(part * sorted.length))] ?? Number.NaN;
  return {p50: at(MEDIAN), p99: at(TAIL)};
}
