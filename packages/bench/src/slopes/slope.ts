/** Fits straight lines to measured points. */

/** A measured cost at one size. */
export interface CostPoint {
  /** The size that the measurement varies, such as a number of accounts. */
  readonly x: number;
  /** The cost at this size, in the unit of the slope. */
  readonly y: number;
}

/** A fitted line that gives a cost, such as heap bytes, as a function of a size, such as the number of accounts. */
export interface Slope {
  /** `role.cost/size`, such as `entry.heapBytes/accounts`. */
  readonly id: string;
  /** Unit of the cost. */
  readonly unit: string;
  readonly points: readonly CostPoint[];
  /** Cost at size zero. */
  readonly intercept: number;
  /** Cost per additional unit of size. */
  readonly slope: number;
}

/** Fits a line by least squares; the slope is 0 when all points have the same size. */
export function fitSlope(id: string, unit: string, points: readonly CostPoint[]): Slope {
  const count = points.length;
  const meanX = points.reduce((sum, {x}) => sum + x, 0) / count;
  const meanY = points.reduce((sum, {y}) => sum + y, 0) / count;
  let covariance = 0;
  let variance = 0;
  for (const {x, y} of points) {
    covariance += (x - meanX) * (y - meanY);
    variance += (x - meanX) ** 2;
  }
  const slope = variance === 0 ? 0 : covariance / variance;
  return {id, unit, points, intercept: meanY - slope * meanX, slope};
}

/** All slopes of a run, with the machine on which they were measured. */
export interface SlopeReport {
  readonly node: string;
  readonly cores: number;
  /** Resident memory of the process while it ran only an idle entry. */
  readonly idleResidentBytes: number;
  /** One-minute load average of the machine during the run, in cores. */
  readonly loadAverage: number;
  readonly slopes: readonly Slope[];
}
