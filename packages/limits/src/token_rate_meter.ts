/** Mean number of tokens a second over the last seconds. */

/** Time over which demand is averaged, milliseconds. */
const AVERAGING_MS = 1000;

/** Milliseconds of a second. */
const SECOND_MS = 1000;

/** Exponentially weighted rate. */
export class TokenRateMeter {
  private perMs = 0;
  private lastMs = Number.NEGATIVE_INFINITY;

  /**
   * Counts tokens.
   *
   * @param tokens - tokens wanted or used
   * @param nowMs - monotonic milliseconds
   */
  record(tokens: number, nowMs: number): void {
    this.perMs = this.getPerMs(nowMs) + tokens / AVERAGING_MS;
    this.lastMs = nowMs;
  }

  /**
   * Gets the rate.
   *
   * @param nowMs - monotonic milliseconds
   * @returns tokens a second
   */
  getRate(nowMs: number): number {
    return this.getPerMs(nowMs) * SECOND_MS;
  }

  private getPerMs(nowMs: number): number {
    if (this.perMs === 0) return 0;
    return this.perMs * Math.exp((this.lastMs - nowMs) / AVERAGING_MS);
  }
}
