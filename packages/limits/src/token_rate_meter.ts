/** Exponential moving average of a token rate. */

/** Time constant of the exponential moving average, milliseconds. */
const AVERAGING_MS = 1000;

const MS_PER_SECOND = 1000;

/** Measures tokens per second as an exponential moving average. */
export class TokenRateMeter {
  private tokensPerMs = 0;
  private lastMs = Number.NEGATIVE_INFINITY;

  /**
   * Adds tokens to the average.
   *
   * @param tokens - tokens requested or granted
   * @param nowMs - monotonic milliseconds
   */
  record(tokens: number, nowMs: number): void {
    this.tokensPerMs = this.computeTokensPerMs(nowMs) + tokens / AVERAGING_MS;
    this.lastMs = nowMs;
  }

  /**
   * Computes the average rate.
   *
   * @param nowMs - monotonic milliseconds
   * @returns tokens per second
   */
  getTokensPerSecond(nowMs: number): number {
    return this.computeTokensPerMs(nowMs) * MS_PER_SECOND;
  }

  private computeTokensPerMs(nowMs: number): number {
    if (this.tokensPerMs === 0) return 0;
    return this.tokensPerMs * Math.exp((this.lastMs - nowMs) / AVERAGING_MS);
  }
}
