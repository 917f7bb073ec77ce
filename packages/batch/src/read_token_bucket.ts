/** Rate limit on reads of chunk rows, shared evenly by all hosts. */
import type {Clock} from '@savoryspur/common';

/** Milliseconds in a second. */
const MS_PER_SECOND = 1000;

/** Capacity of the bucket: reads that a host may make in a burst. */
const MAX_TOKENS = 32;

/**
 * Token bucket of one host; its refill rate falls as the number of hosts grows.
 */
export class ReadTokenBucket {
  private tokens = MAX_TOKENS;
  private lastRefillMs: number;

  /**
   * @param clock - source of time
   * @param fleetReadsPerSecond - reads per second of all hosts together
   * @param countHosts - counts the hosts that are alive
   */
  constructor(
    private readonly clock: Clock,
    private readonly fleetReadsPerSecond: number,
    private readonly countHosts: () => number,
  ) {
    this.lastRefillMs = clock.now();
  }

  /** Tells whether a read is allowed now. */
  hasToken(): boolean {
    this.refill();
    return this.tokens >= 1;
  }

  /** Takes tokens for reads; the number of tokens may become negative. */
  spendTokens(reads: number): void {
    this.tokens -= reads;
  }

  private refill(): void {
    const nowMs = this.clock.now();
    const seconds = (nowMs - this.lastRefillMs) / MS_PER_SECOND;
    const rate = this.fleetReadsPerSecond / Math.max(this.countHosts(), 1);
    this.lastRefillMs = nowMs;
    this.tokens = Math.min(this.tokens + seconds * rate, MAX_TOKENS);
  }
}
