/**
 * Tracks for how long calls have gone without a response. Performs no
 * I/O; the current time is an argument of each call.
 */

/** Response state of the calls to one server or to the servers of one zone. */
export class ResponseTracker {
  /** Number of calls in progress. */
  private activeCalls = 0;
  /**
   * Number of calls that were in progress at some time since the last response
   * and have not been answered. Includes calls that ended because the server did
   * not respond; excludes calls that this daemon gave up.
   */
  private unansweredCalls = 0;
  /** When a response last arrived, monotonic milliseconds. */
  private lastResponseMs = Number.NEGATIVE_INFINITY;
  /** Since when calls have been waiting without any response, monotonic milliseconds. */
  private unresponsiveSinceMs = Number.POSITIVE_INFINITY;

  /** Counts the calls without a response since the last response to any call. */
  countUnansweredCalls(): number {
    return this.unansweredCalls;
  }

  /** Gets since when calls have been waiting without any response, monotonic milliseconds; infinity when no call is unanswered. */
  getUnresponsiveSinceMs(): number {
    return this.unansweredCalls > 0
      ? this.unresponsiveSinceMs
      : Number.POSITIVE_INFINITY;
  }

  /** Gets when a response last arrived, monotonic milliseconds; negative infinity when none has. */
  getLastResponseMs(): number {
    return this.lastResponseMs;
  }

  /** Whether no call is in progress. */
  isIdle(): boolean {
    return this.activeCalls === 0;
  }

  /** Records that a call begins. */
  beginCall(nowMs: number): void {
    if (this.unansweredCalls === 0) this.unresponsiveSinceMs = nowMs;
    this.activeCalls += 1;
    this.unansweredCalls += 1;
  }

  /** Records that bytes of a response arrived. */
  recordResponse(nowMs: number): void {
    this.unansweredCalls = this.activeCalls;
    this.unresponsiveSinceMs = nowMs;
    this.lastResponseMs = nowMs;
  }

  /**
   * Records that a connect probe succeeded. Calls that ended without a response
   * before the probe are no longer evidence that the target is unreachable.
   */
  recordProbeSuccess(): void {
    this.unansweredCalls = this.activeCalls;
  }

  /**
   * Records that a call ended.
   *
   * @param isUnanswered - whether the call ended because the server did not
   *     respond
   */
  finishCall(isUnanswered: boolean): void {
    this.activeCalls -= 1;
    if (!isUnanswered)
      this.unansweredCalls = Math.max(0, this.unansweredCalls - 1);
  }
}
