/** Averages times of calls, with their mean deviation. */

/** Mean deviations by which the bound exceeds the mean: about one call in ten takes longer. */
const BOUND_DEVIATIONS = 1.5;

/**
 * Moving average of times. While there are few times all of them have the same
 * weight, so that the average does not depend on its initial value for long.
 */
export class TimeAverage {
  private count = 0;
  private deviationMs = 0;

  /**
   * @param meanMs - mean before the first time, milliseconds
   * @param smoothingFactor - weight of the newest time once there are many
   */
  constructor(
    private meanMs: number,
    private readonly smoothingFactor: number,
  ) {}

  /** Adds a time, milliseconds. */
  record(timeMs: number): void {
    this.count += 1;
    const weight = Math.max(this.smoothingFactor, 1 / this.count);
    const errorMs = timeMs - this.meanMs;
    this.meanMs += weight * errorMs;
    if (this.count === 1) return;
    this.deviationMs += weight * (Math.abs(errorMs) - this.deviationMs);
  }

  /** Counts the times. */
  getCount(): number {
    return this.count;
  }

  /** Gets the mean, milliseconds. */
  getMeanMs(): number {
    return this.meanMs;
  }

  /** Gets the mean deviation from the mean, milliseconds. */
  getDeviationMs(): number {
    return this.deviationMs;
  }

  /** Gets the time that most calls stay within, milliseconds. */
  getBoundMs(): number {
    return this.meanMs + BOUND_DEVIATIONS * this.deviationMs;
  }
}
