/** Averages how long online requests hold a slot. */

/** Hold time assumed before the first one is recorded, milliseconds. */
const INITIAL_HOLD_TIME_MS = 500;

/** Smoothing factor of the moving average: share of the newest hold time. */
const HOLD_TIME_SMOOTHING_FACTOR = 0.1;

/** Exponential moving average of the hold times of online requests. */
export class HoldTimeAverage {
  /**
   * @param averageMs - average before the first hold time, milliseconds
   */
  constructor(private averageMs = INITIAL_HOLD_TIME_MS) {}

  /**
   * Adds the hold time of one online request to the average.
   *
   * @param holdMs - hold time, milliseconds
   */
  record(holdMs: number): void {
    this.averageMs += HOLD_TIME_SMOOTHING_FACTOR * (holdMs - this.averageMs);
  }

  /** Gets the average hold time, milliseconds. */
  getAverageMs(): number {
    return this.averageMs;
  }
}
