/** Pauses that grow with each failure. */

/**
 * Computes the pause after a number of failures in a row.
 *
 * @param firstMs - pause after the first failure, milliseconds; doubles
 * @param maxMs - longest pause, milliseconds
 * @param failures - failures in a row, 1 or more
 * @returns milliseconds
 */
export function computeBackoff(
  firstMs: number,
  maxMs: number,
  failures: number,
): number {
  return Math.min(maxMs, firstMs * 2 ** (failures - 1));
}
