/** Exponential backoff. */

/**
 * Computes the exponential backoff after a number of consecutive failures.
 *
 * @param firstMs - delay after the first failure, milliseconds; it doubles with
 *     each further failure
 * @param maxMs - maximum delay, milliseconds
 * @param failures - consecutive failures, 1 or more
 * @returns delay before the next attempt, milliseconds
 */
export function computeBackoffMs(
  firstMs: number,
  maxMs: number,
  failures: number,
): number {
  return Math.min(maxMs, firstMs * 2 ** (failures - 1));
}
