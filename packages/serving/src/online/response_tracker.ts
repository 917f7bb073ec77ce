/** Calls that are open without a sign of the other side. Does no input or output. */

/** Calls to one server or to the servers of one zone. */
export class ResponseTracker {
  /** Calls in progress. */
  private active = 0;
  /** Calls that were begun or in progress since the last byte, and not given up by this side. */
  private open = 0;
  /** Since when nothing was heard although calls were open, monotonic milliseconds. */
  private sinceMs = Number.POSITIVE_INFINITY;

  /** Counts the calls of which nothing was heard. */
  countOpen(): number {
    return this.open;
  }

  /** Gets since when nothing was heard, monotonic milliseconds; infinity when nothing is expected. */
  getSilentSinceMs(): number {
    return this.open > 0 ? this.sinceMs : Number.POSITIVE_INFINITY;
  }

  /** Whether no call is in progress. */
  isIdle(): boolean {
    return this.active === 0;
  }

  /** Notes that a call begins. */
  begin(nowMs: number): void {
    if (this.open === 0) this.sinceMs = nowMs;
    this.active += 1;
    this.open += 1;
  }

  /** Notes that a byte came. */
  recordHeard(nowMs: number): void {
    this.open = this.active;
    this.sinceMs = nowMs;
  }

  /** Notes that a connect succeeded: calls that ended without a sign tell nothing any more. */
  recordConnected(): void {
    this.open = this.active;
  }

  /**
   * Notes that a call ended.
   *
   * @param isOpen - whether it ended without a sign of the other side
   */
  finish(isOpen: boolean): void {
    this.active -= 1;
    if (!isOpen) this.open = Math.max(0, this.open - 1);
  }
}
