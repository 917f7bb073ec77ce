/**
 * Spreads the times at which refused callers return: each one is told to return
 * after those that were refused before it, and no later than it honors a Retry-After.
 */

/** Fraction of its remaining time for which a caller waits at most before it retries: the users' protocol page says so in its section on answers. */
const PATIENCE_FRACTION = 1 / 3;

/** Fraction of the shortest patience that return times use: a caller that has waited for all of its patience has this fraction of it left, and must still be able to return after the others. */
const HORIZON_FRACTION = 1 - PATIENCE_FRACTION;

/** A caller that is to return. */
interface ReturningCaller {
  /** When it and all before it have returned. */
  returnMs: number;
  patienceMs: number;
}

/** Return times of refused callers. Times are monotonic milliseconds. */
export class ReturnTimes {
  private latestMs = Number.NEGATIVE_INFINITY;
  /** Callers that are to return, without those before one with less patience, by their return. */
  private readonly returning: ReturningCaller[] = [];

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
    const shortestMs = Math.min(patienceMs, this.findShortestPatience(nowMs));
    const wantedMs = Math.max(capacityMs, this.latestMs + spacingMs);
    // Behind the others as long as the caller's patience allows, also beyond the horizon.
    const limitMs = Math.max(
      nowMs + shortestMs * HORIZON_FRACTION,
      this.latestMs,
    );
    const returnMs = Math.min(wantedMs, limitMs, nowMs + patienceMs);
    this.latestMs = Math.max(this.latestMs, returnMs);
    this.add({returnMs: this.latestMs, patienceMs});
    return returnMs;
  }

  /** Finds the shortest patience of the callers that are to return, milliseconds; infinity without any. */
  private findShortestPatience(nowMs: number): number {
    while ((this.returning[0]?.returnMs ?? Infinity) <= nowMs) {
      this.returning.shift();
    }
    return this.returning[0]?.patienceMs ?? Infinity;
  }

  private add(caller: ReturningCaller): void {
    let last = this.returning.at(-1);
    while (last && last.patienceMs >= caller.patienceMs) {
      this.returning.pop();
      last = this.returning.at(-1);
    }
    this.returning.push(caller);
  }
}
