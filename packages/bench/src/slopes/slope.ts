/** Straight lines through measured points. */

/** One measurement. */
export interface Point {
  /** The size that was varied. */
  readonly x: number;
  /** What was measured. */
  readonly y: number;
}

/** How a cost grows with a size. */
export interface Slope {
  /** `role.cost/size`, such as `entry.heapBytes/accounts`. */
  readonly id: string;
  /** Unit of the cost. */
  readonly unit: string;
  readonly points: readonly Point[];
  /** Cost at size zero. */
  readonly intercept: number;
  /** Cost of one more. */
  readonly slope: number;
}

/** Fits a line by least squares; points of one size give a level line. */
export function fitSlope(id: string, unit: string, points: readonly Point[]): Slope {
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

/** All slopes of a run, with the machine that they were taken on. */
export interface SlopeReport {
  readonly node: string;
  readonly cores: number;
  /** Bytes that the process held in memory when only an idle entry ran. */
  readonly idleResidentBytes: number;
  /** Mean of the machine's load during the run, in cores. */
  readonly loadAverage: number;
  readonly slopes: readonly Slope[];
}
