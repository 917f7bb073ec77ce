/** Measures the token latencies of one answer. */
import type {Clock} from '@savoryspur/common';

/** Records when the tokens of an answer arrive. */
export class TokenTimer {
  private firstMs: number | undefined;
  private lastMs = 0;
  private count = 0;

  /**
   * @param clock - source of time
   * @param startMs - monotonic time from which the time to the first token is
   *     measured, milliseconds
   */
  constructor(
    private readonly clock: Clock,
    private readonly startMs: number,
  ) {}

  /** Records that a token has arrived now. */
  record(): void {
    this.lastMs = this.clock.now();
    this.firstMs ??= this.lastMs;
    this.count += 1;
  }

  /**
   * Gets the time to the first token, milliseconds; undefined when no token has
   * arrived.
   */
  getFirstTokenMs(): number | undefined {
    return this.firstMs === undefined ? undefined : this.firstMs - this.startMs;
  }

  /**
   * Gets the mean time between tokens, milliseconds; undefined when fewer than
   * two tokens have arrived.
   */
  getBetweenTokensMs(): number | undefined {
    if (this.firstMs === undefined || this.count < 2) return undefined;
    return (this.lastMs - this.firstMs) / (this.count - 1);
  }
}
