/** Bounds the requests a second to a server that has just started. */

/** Window in which requests to a cold server are counted, milliseconds. */
export const COLD_WINDOW_MS = 1000;

/** Sliding window over the requests to one server. */
export class ColdServerLimiter {
  private sent: number[] = [];
  /** From when a fraction of a request a second is spent, monotonic milliseconds. */
  private firstMs: number | undefined;

  /**
   * @param random - gives a number from 0 up to 1; spreads the first requests of
   *     many daemons that may each send a fraction of a request a second
   */
  constructor(private readonly random: () => number) {}

  /**
   * Tells whether a cold server bears one more request.
   *
   * @param limit - requests a second; a fraction allows one in a longer time,
   *     infinity any number
   * @param nowMs - monotonic milliseconds
   */
  hasBudget(limit: number, nowMs: number): boolean {
    if (limit === Number.POSITIVE_INFINITY) return true;
    if (limit <= 0) return false;
    if (limit < 1) return this.hasFraction(COLD_WINDOW_MS / limit, nowMs);
    const recent = this.sent.filter(
      (sentMs) => nowMs - sentMs < COLD_WINDOW_MS,
    );
    return recent.length + 1 <= limit;
  }

  private hasFraction(spacingMs: number, nowMs: number): boolean {
    this.firstMs ??= nowMs + this.random() * spacingMs;
    if (nowMs < this.firstMs) return false;
    const lastMs = this.sent.at(-1) ?? Number.NEGATIVE_INFINITY;
    return nowMs - lastMs >= spacingMs;
  }

  /** Counts one request. */
  spend(nowMs: number): void {
    this.sent = this.sent.filter((sentMs) => nowMs - sentMs < COLD_WINDOW_MS);
    this.sent.push(nowMs);
  }
}
