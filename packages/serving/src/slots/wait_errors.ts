/**
 * Learns by how much requests wait longer or shorter than was expected when they were
 * queued, in proportion to the expected wait. During overload the queue is as long as
 * the admission allows, so that any bias of the expected wait makes nearly every queued
 * request miss its deadline.
 */

/** Smoothing factor of the moving averages. */
const SMOOTHING_FACTOR = 0.02;

/** Mean deviations from the mean error to the longest likely wait: about one request in ten waits longer. */
const LONGEST_DEVIATIONS = 1.5;

/** Mean deviations from the mean error to the shortest likely wait: it is estimated many times while a request waits, and each time could refuse it. */
const SHORTEST_DEVIATIONS = -4;

/** Expected waits of queued requests, compared with the actual ones. */
export class WaitErrors {
  private readonly expected = new Map<
    string,
    {queuedMs: number; waitMs: number}
  >();
  private meanWaitMs = 0;
  private meanErrorMs = 0;
  private deviationMs = 0;

  /**
   * Records the expected wait of a request that is queued.
   *
   * @param grantId - id of the request
   * @param waitMs - expected wait, milliseconds
   * @param nowMs - current time, monotonic milliseconds
   */
  recordQueued(grantId: string, waitMs: number, nowMs: number): void {
    this.expected.set(grantId, {queuedMs: nowMs, waitMs});
  }

  /** Records that a queued request has got its slot. */
  recordGranted(grantId: string, nowMs: number): void {
    const expected = this.expected.get(grantId);
    if (!expected) return;
    this.expected.delete(grantId);
    const {queuedMs, waitMs} = expected;
    const errorMs = nowMs - queuedMs - waitMs;
    const expectedErrorMs = this.getMeanFraction() * waitMs;
    const differenceMs = Math.abs(errorMs - expectedErrorMs);
    this.meanWaitMs += SMOOTHING_FACTOR * (waitMs - this.meanWaitMs);
    this.meanErrorMs += SMOOTHING_FACTOR * (errorMs - this.meanErrorMs);
    this.deviationMs += SMOOTHING_FACTOR * (differenceMs - this.deviationMs);
  }

  /** Forgets a request that has left the queue without a slot. */
  drop(grantId: string): void {
    this.expected.delete(grantId);
  }

  /** Gets the wait that few requests exceed, milliseconds: at most twice the expected one. */
  getLongestMs(expectedMs: number): number {
    return (
      expectedMs * (1 + adjustFraction(this.getFraction(LONGEST_DEVIATIONS)))
    );
  }

  /** Gets the wait that few requests stay below, milliseconds. */
  getShortestMs(expectedMs: number): number {
    return (
      expectedMs * (1 + adjustFraction(this.getFraction(SHORTEST_DEVIATIONS)))
    );
  }

  /** Gets the error of a wait as a fraction of it, some deviations above or below the mean. */
  private getFraction(deviations: number): number {
    if (this.meanWaitMs <= 0) return 0;
    return (
      this.getMeanFraction() + (deviations * this.deviationMs) / this.meanWaitMs
    );
  }

  private getMeanFraction(): number {
    return this.meanWaitMs <= 0 ? 0 : this.meanErrorMs / this.meanWaitMs;
  }
}

/** Limits an error to the wait itself. */
function adjustFraction(fraction: number): number {
  return Math.max(-1, Math.min(1, fraction));
}
