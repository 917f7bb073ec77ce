/** Counts the calls and bytes of one service of the platform. */
import type {Clock} from '@savoryspur/common';
import type {PlatformServiceStats} from '@savoryspur/schema';

const MS_PER_SECOND = 1000;

/** Counts events, in total and in the busiest second of the clock. */
class PeakCounter {
  total = 0;
  peakPerSecond = 0;
  private currentSecond = -1;
  private countInSecond = 0;

  constructor(private readonly clock: Clock) {}

  add(): void {
    const second = Math.floor(this.clock.now() / MS_PER_SECOND);
    if (second !== this.currentSecond) this.countInSecond = 0;
    this.currentSecond = second;
    this.countInSecond += 1;
    this.total += 1;
    this.peakPerSecond = Math.max(this.peakPerSecond, this.countInSecond);
  }
}

/** Reported counters of calls and bytes. */
export type CallCounts = Omit<PlatformServiceStats, 'lostReplies' | 'waiting'>;

/** Counters of the calls and bytes of one service. */
export class ServiceCounters {
  private readonly reads: PeakCounter;
  private readonly writes: PeakCounter;
  private bytesIn = 0;
  private bytesOut = 0;
  private refused = 0;

  /** @param clock - clock that divides the calls into seconds */
  constructor(clock: Clock) {
    this.reads = new PeakCounter(clock);
    this.writes = new PeakCounter(clock);
  }

  /**
   * Adds one call.
   *
   * @param isWrite - whether the call changes stored data
   * @param bytesIn - bytes of the request body
   */
  add(isWrite: boolean, bytesIn: number): void {
    (isWrite ? this.writes : this.reads).add();
    this.bytesIn += bytesIn;
  }

  /** Adds the bytes of one answer body. */
  addAnswer(bytesOut: number): void {
    this.bytesOut += bytesOut;
  }

  /** Adds one refused call. */
  addRefusal(): void {
    this.refused += 1;
  }

  /** Reports the counters. */
  report(): CallCounts {
    return {
      reads: this.reads.total,
      writes: this.writes.total,
      bytesIn: this.bytesIn,
      bytesOut: this.bytesOut,
      peakReadsPerSecond: this.reads.peakPerSecond,
      peakWritesPerSecond: this.writes.peakPerSecond,
      refused: this.refused,
    };
  }
}
