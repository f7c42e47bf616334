/** Quantiles of small samples. */

/** Lower quantile for a share from 0 to 1; undefined for an empty list. */
export function quantile(values: readonly number[], share: number): number | undefined {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(share * (sorted.length - 1))];
}

/** Median, the lower one for an even count: slow values are detected even when they are half of all. */
export function lowerMedian(values: readonly number[]): number | undefined {
  return quantile(values, 0.5);
}
