/** Share of one host in the reads that all hosts spend on looking for work. */
import type {Clock} from '@savoryspur/common';

/** Milliseconds in a second. */
const MS_PER_SECOND = 1000;

/** Reads that a host may save up. */
const MAX_SAVED_READS = 32;

/** Token bucket whose rate falls as the fleet grows. */
export class ReadTokenBucket {
  private tokens = MAX_SAVED_READS;
  private refilledMs: number;

  /**
   * @param clock - source of time
   * @param fleetReadsPerSecond - reads of all hosts together
   * @param countHosts - number of hosts
   */
  constructor(
    private readonly clock: Clock,
    private readonly fleetReadsPerSecond: number,
    private readonly countHosts: () => number,
  ) {
    this.refilledMs = clock.now();
  }

  /** Tells whether a read may be made now. */
  hasToken(): boolean {
    this.refill();
    return this.tokens >= 1;
  }

  /** Counts reads that were made. */
  spend(reads: number): void {
    this.tokens -= reads;
  }

  private refill(): void {
    const nowMs = this.clock.now();
    const seconds = (nowMs - this.refilledMs) / MS_PER_SECOND;
    const rate = this.fleetReadsPerSecond / Math.max(this.countHosts(), 1);
    this.refilledMs = nowMs;
    this.tokens = Math.min(this.tokens + seconds * rate, MAX_SAVED_READS);
  }
}
