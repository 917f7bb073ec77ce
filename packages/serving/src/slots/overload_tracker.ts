/** How long periods of overload last, so that refused callers come back after them. */

/** Time without a refusal after which a period of overload has ended, milliseconds. */
const CALM_MS = 500;

/** Length of a period assumed before any was seen, milliseconds. */
const INITIAL_LENGTH_MS = 1000;

/** Longest period that is expected, milliseconds: callers do not wait longer. */
const MAX_LENGTH_MS = 4000;

/** Weight of the newest period in the average length. */
const WEIGHT = 0.4;

/** Lengths of the periods in which requests were refused. */
export class OverloadTracker {
  private lengthMs = INITIAL_LENGTH_MS;
  private startedMs: number | undefined;
  private lastMs = Number.NEGATIVE_INFINITY;

  /** Notes a refusal. */
  record(nowMs: number): void {
    if (nowMs - this.lastMs > CALM_MS) this.finishPeriod(nowMs);
    this.lastMs = nowMs;
  }

  /**
   * Estimates how long the present period still lasts.
   *
   * @returns milliseconds; 0 when there is none or it is longer than usual
   */
  estimateLeft(nowMs: number): number {
    if (this.startedMs === undefined) return 0;
    const agedMs = nowMs - this.startedMs;
    return Math.max(0, Math.min(this.lengthMs, MAX_LENGTH_MS) - agedMs);
  }

  private finishPeriod(nowMs: number): void {
    if (this.startedMs !== undefined) {
      const length = this.lastMs - this.startedMs;
      this.lengthMs += WEIGHT * (length - this.lengthMs);
    }
    this.startedMs = nowMs;
  }
}
