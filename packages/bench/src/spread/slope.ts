/** Fits lines to measurements by least squares. */

/** A measurement `y` at size `x`. */
export interface Point {
  readonly x: number;
  readonly y: number;
}

/** `y = intercept + slope * x`. */
export interface Line {
  readonly intercept: number;
  readonly slope: number;
}

/** Fits a line by least squares; the line is constant if all points have the same `x`. */
export function fitLine(points: readonly Point[]): Line {
  const meanX = mean(points.map(({x}) => x));
  const meanY = mean(points.map(({y}) => y));
  let covariance = 0;
  let variance = 0;
  for (const {x, y} of points) {
    covariance += (x - meanX) * (y - meanY);
    variance += (x - meanX) ** 2;
  }
  const slope = variance === 0 ? 0 : covariance / variance;
  return {intercept: meanY - slope * meanX, slope};
}

/** Evaluates a line at `x`. */
export function evaluateLine({intercept, slope}: Line, x: number): number {
  return intercept + slope * x;
}

/** Arithmetic mean; 0 if there are no values. */
export function mean(values: readonly number[]): number {
  if (values.length === 0) return 0;
  return values.reduce((total, value) => total + value, 0) / values.length;
}
