/** Quantiles of a few values. */

/** The value that a share of the values does not exceed; undefined when there are none. */
export function quantile(values: readonly number[], share: number): number | undefined {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(share * (sorted.length - 1))];
}

/** The middle value, of an even number the lower one: half of all may be slow without hiding it. */
export function lowerMedian(values: readonly number[]): number | undefined {
  return quantile(values, 0.5);
}
