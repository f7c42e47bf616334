/** Quantiles of small samples. */

/** Quantile for `share` from 0 to 1, without interpolation; undefined for an empty list. */
export function quantile(values: readonly number[], share: number): number | undefined {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(share * (sorted.length - 1))];
}

/** Median, or the lower of the two middle values, so that slow values stand out even if they are half of all. */
export function lowerMedian(values: readonly number[]): number | undefined {
  return quantile(values, 0.5);
}
