/** Checks that admissions respect a rate limit in every time window. */

const MS_PER_SECOND = 1000;

/** Rate limit with a burst. */
export interface RateLimit {
  /** Admitted requests per second. */
  rate: number;
  /** Requests that may be admitted at once. */
  burst: number;
}

/**
 * Computes by how much admissions exceed `rate x t + burst` in the worst time
 * window of any length `t`.
 *
 * @param timesMs - times of the admissions, milliseconds
 * @param limit - rate and burst that are allowed
 * @returns number of requests above the limit; 0 or less when no window exceeds
 *     it
 */
export function computeRateExcess(
  timesMs: readonly number[],
  limit: RateLimit,
): number {
  const ratePerMs = limit.rate / MS_PER_SECOND;
  const sorted = [...timesMs].sort((a, b) => a - b);
  let lowestLevel = Number.POSITIVE_INFINITY;
  let worstExcess = Number.NEGATIVE_INFINITY;
  for (const [index, timeMs] of sorted.entries()) {
    const level = index - ratePerMs * timeMs;
    lowestLevel = Math.min(lowestLevel, level);
    worstExcess = Math.max(worstExcess, level + 1 - lowestLevel);
  }
  return worstExcess - limit.burst;
}
