/** Bounds the requests a second to a server that has just started. */

/** Window in which requests to a cold server are counted, milliseconds. */
const WINDOW_MS = 1000;

/** Sliding window over the requests to one server. */
export class ColdGate {
  private sent: number[] = [];

  /**
   * Tells whether a cold server bears one more request.
   *
   * @param limit - requests a second; 0 for no limit
   * @param nowMs - monotonic milliseconds
   */
  hasBudget(limit: number, nowMs: number): boolean {
    if (limit <= 0) return true;
    this.sent = this.sent.filter((sentMs) => nowMs - sentMs < WINDOW_MS);
    return this.sent.length < limit;
  }

  /** Counts one request. */
  spend(nowMs: number): void {
    this.sent.push(nowMs);
    if (this.sent.length > 1 && nowMs - (this.sent[0] ?? 0) >= WINDOW_MS) {
      this.sent = this.sent.filter((sentMs) => nowMs - sentMs < WINDOW_MS);
    }
  }
}
