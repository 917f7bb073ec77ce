/** Checks admissions against a rate and a burst in every window of time. */

/** Milliseconds in a second. */
const MS_PER_SECOND = 1000;

/** A rate over time. */
export interface RateBound {
  /** Requests a second. */
  rate: number;
  /** Requests at once. */
  burst: number;
}

/**
 * Computes by how much admissions exceed `rate x t + burst` in the worst window
 * of any length.
 *
 * @param timesMs - times of the admissions, milliseconds
 * @param bound - rate and burst
 * @returns requests above the bound; 0 or less when it holds in every window
 */
export function computeRateExcess(
  timesMs: readonly number[],
  bound: RateBound,
): number {
  const ratePerMs = bound.rate / MS_PER_SECOND;
  const sorted = [...timesMs].sort((a, b) => a - b);
  let lowest = Number.POSITIVE_INFINITY;
  let worst = Number.NEGATIVE_INFINITY;
  for (const [index, timeMs] of sorted.entries()) {
    const level = index - ratePerMs * timeMs;
    lowest = Math.min(lowest, level);
    worst = Math.max(worst, level + 1 - lowest);
  }
  return worst - bound.burst;
}
