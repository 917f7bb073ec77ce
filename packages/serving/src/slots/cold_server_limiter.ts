/**
 * Limits the request rate of a backend server that has just started and is
 * still warming up.
 */

/** Length of the sliding window over which requests to a cold server are counted, milliseconds. */
export const COLD_SERVER_WINDOW_MS = 1000;

/** Warm-up rate limit of one cold server, as a sliding window over its requests. */
export class ColdServerLimiter {
  /** Times of the requests in the window, monotonic milliseconds. */
  private sentTimesMs: number[] = [];
  /** Earliest time of the first request under a limit below 1 request a second, monotonic milliseconds. */
  private firstRequestMs: number | undefined;

  /**
   * @param random - returns a number in [0, 1); spreads the first requests of
   *     many daemons that may each send less than one request a second
   */
  constructor(private readonly random: () => number) {}

  /**
   * Checks whether the limit allows one more request now.
   *
   * @param limit - requests a second; a limit below 1 allows one request every
   *     `1 / limit` seconds, infinity allows any number
   * @param nowMs - current time, monotonic milliseconds
   */
  hasBudget(limit: number, nowMs: number): boolean {
    if (limit === Number.POSITIVE_INFINITY) return true;
    if (limit <= 0) return false;
    if (limit < 1)
      return this.isSpacingElapsed(COLD_SERVER_WINDOW_MS / limit, nowMs);
    const recent = this.sentTimesMs.filter(
      (sentMs) => nowMs - sentMs < COLD_SERVER_WINDOW_MS,
    );
    return recent.length + 1 <= limit;
  }

  private isSpacingElapsed(spacingMs: number, nowMs: number): boolean {
    this.firstRequestMs ??= nowMs + this.random() * spacingMs;
    if (nowMs < this.firstRequestMs) return false;
    const lastMs = this.sentTimesMs.at(-1) ?? Number.NEGATIVE_INFINITY;
    return nowMs - lastMs >= spacingMs;
  }

  /**
   * Counts one request that is sent to the server.
   *
   * @param nowMs - current time, monotonic milliseconds
   */
  recordRequest(nowMs: number): void {
    this.sentTimesMs = this.sentTimesMs.filter(
      (sentMs) => nowMs - sentMs < COLD_SERVER_WINDOW_MS,
    );
    this.sentTimesMs.push(nowMs);
  }
}
