/** Fits a straight line to measured points by the method of least squares. */

/** One measured point. */
export interface Point {
  x: number;
  y: number;
}

/** A straight line. */
export interface Line {
  /** Change of y for each unit of x. */
  slope: number;
  /** Value of y at x = 0 (the intercept). */
  base: number;
}

/**
 * Computes the line with the smallest sum of squared differences in y.
 *
 * @param points - measured points, at least two of them with different x
 * @throws RangeError when all points have the same x
 */
export function computeLine(points: readonly Point[]): Line {
  const meanX = computeMean(points.map((point) => point.x));
  const meanY = computeMean(points.map((point) => point.y));
  let productSum = 0;
  let squareSum = 0;
  for (const {x, y} of points) {
    productSum += (x - meanX) * (y - meanY);
    squareSum += (x - meanX) ** 2;
  }
  if (squareSum === 0) throw new RangeError('all points have the same x');
  const slope = productSum / squareSum;
  return {slope, base: meanY - slope * meanX};
}

function computeMean(values: readonly number[]): number {
  let sum = 0;
  for (const value of values) sum += value;
  return sum / values.length;
}
