/**
 * Tracks how long periods of overload last, so that refused callers are told to
 * retry after the current one.
 */

/** Time without a refusal after which a period of overload has ended, milliseconds. */
const OVERLOAD_END_AFTER_MS = 500;

/** Length of an overload period assumed before the first one has ended, milliseconds. */
const INITIAL_OVERLOAD_LENGTH_MS = 1000;

/** Upper bound on the expected length of an overload period, milliseconds: callers don't wait longer. */
const MAX_OVERLOAD_LENGTH_MS = 4000;

/** Smoothing factor of the moving average: share of the newest overload period. */
const OVERLOAD_LENGTH_SMOOTHING_FACTOR = 0.4;

/** Exponential moving average of the lengths of the periods in which requests were refused. */
export class OverloadTracker {
  private averageLengthMs = INITIAL_OVERLOAD_LENGTH_MS;
  /** Start of the current or latest overload period, monotonic milliseconds. */
  private startedMs: number | undefined;
  /** Time of the latest refusal, monotonic milliseconds. */
  private lastRefusalMs = Number.NEGATIVE_INFINITY;

  /**
   * Records that a request was refused for overload. The first refusal after
   * {@link OVERLOAD_END_AFTER_MS} without any starts a new overload period.
   *
   * @param nowMs - current time, monotonic milliseconds
   */
  recordRefusal(nowMs: number): void {
    if (nowMs - this.lastRefusalMs > OVERLOAD_END_AFTER_MS)
      this.startPeriod(nowMs);
    this.lastRefusalMs = nowMs;
  }

  /**
   * Estimates how long the current overload period will still last.
   *
   * @param nowMs - current time, monotonic milliseconds
   * @returns milliseconds; 0 before the first period, or when the current one
   *     already lasts longer than the average
   */
  estimateRemainingMs(nowMs: number): number {
    if (this.startedMs === undefined) return 0;
    const elapsedMs = nowMs - this.startedMs;
    return Math.max(
      0,
      Math.min(this.averageLengthMs, MAX_OVERLOAD_LENGTH_MS) - elapsedMs,
    );
  }

  private startPeriod(nowMs: number): void {
    if (this.startedMs !== undefined) {
      const lengthMs = this.lastRefusalMs - this.startedMs;
      this.averageLengthMs +=
        OVERLOAD_LENGTH_SMOOTHING_FACTOR * (lengthMs - this.averageLengthMs);
    }
    this.startedMs = nowMs;
  }
}
