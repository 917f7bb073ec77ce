/**
 * Spreads the times at which refused callers return: each one is told to return
 * after those that were refused before it, and no later than it honors a Retry-After.
 */

/** Fraction of its remaining time for which a caller waits at most before it retries. */
const PATIENCE_FRACTION = 1 / 3;

/** Fraction of the shortest patience that return times use: a caller that was told to return has less time left, and must still be able to return after the others. */
const HORIZON_FRACTION = 2 / 3;

/** Period after which a shorter patience of former callers no longer counts, milliseconds. */
const PATIENCE_PERIOD_MS = 2000;

/** Return times of refused callers. Times are monotonic milliseconds. */
export class ReturnTimes {
  private latestMs = Number.NEGATIVE_INFINITY;
  private periodStartMs = Number.NEGATIVE_INFINITY;
  /** Shortest patience of the callers refused in this period, and in the one before it, milliseconds. */
  private shortestMs = Number.POSITIVE_INFINITY;
  private formerShortestMs = Number.POSITIVE_INFINITY;

  /**
   * Computes when a refused caller shall return. The order of the callers holds
   * unless one has much less time left than those before it; its limit comes first.
   *
   * @param capacityMs - when capacity is expected
   * @param spacingMs - time between two callers, milliseconds
   * @param deadlineMs - when the caller stops waiting
   * @param nowMs - current time
   */
  scheduleReturn(
    capacityMs: number,
    spacingMs: number,
    deadlineMs: number,
    nowMs: number,
  ): number {
    const patienceMs = Math.max(0, deadlineMs - nowMs) * PATIENCE_FRACTION;
    this.recordPatience(patienceMs, nowMs);
    const horizonMs =
      Math.min(this.shortestMs, this.formerShortestMs) * HORIZON_FRACTION;
    const wantedMs = Math.max(capacityMs, this.latestMs + spacingMs);
    // Behind the others as long as the caller's patience allows, also beyond the horizon.
    const limitMs = Math.max(nowMs + horizonMs, this.latestMs);
    const returnMs = Math.min(wantedMs, limitMs, nowMs + patienceMs);
    this.latestMs = Math.max(this.latestMs, returnMs);
    return returnMs;
  }

  private recordPatience(patienceMs: number, nowMs: number): void {
    const elapsedMs = nowMs - this.periodStartMs;
    if (elapsedMs > PATIENCE_PERIOD_MS) {
      this.formerShortestMs =
        elapsedMs > 2 * PATIENCE_PERIOD_MS
          ? Number.POSITIVE_INFINITY
          : this.shortestMs;
      this.shortestMs = Number.POSITIVE_INFINITY;
      this.periodStartMs = nowMs;
    }
    this.shortestMs = Math.min(this.shortestMs, patienceMs);
  }
}
