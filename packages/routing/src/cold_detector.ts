/** Signs in the answers of a server that it has turned cold. */
import {SlotUsageEnd, type Pool} from '@savoryspur/schema';
import type {SlotUsageReport} from './slot_allocator.js';
import type {TokenIntervalBaseline} from './token_interval_baseline.js';

/** Requests that failed in a row after which a server is treated as cold. */
const MAX_FAILURES = 3;

/** Time between tokens over that of other servers up to which an answer tells of a warm one. */
const WARM_PACE_FACTOR = 1.35;

/** Sum of what answers took beyond that factor from which a server is treated as cold: three answers at twice the time of a warm server. */
const MAX_SLOWNESS = 1.5;

/** What a late first token adds to the sum: three in a row tell of a cold server. */
const LATE_FIRST_TOKEN_SLOWNESS = 0.5;

/** Most that one answer adds to the sum, so that no single pause tells of a cold server. */
const MAX_ANSWER_SLOWNESS = 0.65;

/** First-token time over the objective that tells of a cold server. */
const COLD_LATENCY_FACTOR = 4;

/** The server at the end of an answer. */
export interface ServerMoment {
  serverId: string;
  pool: Pool;
  isWarm: boolean;
  /** Places in use. */
  inUse: number;
}

/** Signs of one server. */
export class ColdDetector {
  private readonly failed = new Set<string>();
  /** Cumulative sum of how much slower answers were than those of other servers. */
  private slowness = 0;

  /**
   * @param pace - time between tokens of the pool's warm servers
   */
  constructor(private readonly pace: TokenIntervalBaseline) {}

  /** Forgets all signs. */
  reset(): void {
    this.failed.clear();
    this.slowness = 0;
  }

  /**
   * Observes how the use of a place ended. A request that fails again and again
   * counts once, as the fault may be its own.
   *
   * @param fingerprint - the request
   * @param report - how it ended
   * @param moment - the server at the end
   * @returns whether the server is to be treated as cold
   */
  observe(
    fingerprint: string,
    report: SlotUsageReport,
    moment: ServerMoment,
  ): boolean {
    if (report.end === SlotUsageEnd.FAILED) {
      this.failed.add(fingerprint);
      return this.failed.size >= MAX_FAILURES;
    }
    if (report.end !== SlotUsageEnd.COMPLETED) return false;
    this.failed.clear();
    const slowness = this.computeSlowness(report, moment);
    this.slowness = Math.max(0, this.slowness + slowness);
    return this.slowness >= MAX_SLOWNESS;
  }

  /** Computes how much slower an answer was than a warm server's; negative for a fast one. */
  private computeSlowness(
    report: SlotUsageReport,
    moment: ServerMoment,
  ): number {
    const {firstTokenMs = 0, betweenTokensMs = 0} = report;
    const {serverId, pool, isWarm, inUse} = moment;
    if (firstTokenMs > pool.firstTokenMs * COLD_LATENCY_FACTOR) {
      return LATE_FIRST_TOKEN_SLOWNESS;
    }
    if (!isWarm) return -LATE_FIRST_TOKEN_SLOWNESS;
    const load = inUse / Math.max(pool.warmCapacity, 1);
    const ratio = this.pace.compare(serverId, load, betweenTokensMs);
    return Math.min(ratio - WARM_PACE_FACTOR, MAX_ANSWER_SLOWNESS);
  }
}
