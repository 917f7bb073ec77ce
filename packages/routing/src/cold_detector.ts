/**
 * Cold detection: recognizes from the answers of a backend server that it has
 * become cold, also when its boot marker has not changed.
 */
import {SlotUsageEnd, type Pool} from '@savoryspur/schema';
import type {SlotUsageReport} from './slot_allocator.js';
import type {TokenIntervalBaseline} from './token_interval_baseline.js';

/**
 * Different requests that fail without a completed one in between before a
 * server is treated as cold.
 */
const COLD_FAILURE_COUNT = 3;

/**
 * Ratio of an answer's token interval to the baseline up to which the answer
 * indicates a warm server.
 */
const WARM_TOKEN_INTERVAL_RATIO = 1.35;

/**
 * Sum of the answers' excesses over WARM_TOKEN_INTERVAL_RATIO at which a server
 * is treated as cold: three answers at twice the token interval of a warm
 * server reach this sum.
 */
const COLD_SLOWNESS_SUM = 1.5;

/**
 * Amount that an answer with a late first token adds to the sum: three such
 * answers in a row reach COLD_SLOWNESS_SUM.
 */
const LATE_FIRST_TOKEN_SLOWNESS = 0.5;

/**
 * Most that one answer adds to the sum, so that a single pause alone does not
 * make a server count as cold.
 */
const MAX_ANSWER_SLOWNESS = 0.65;

/**
 * Ratio of the time to the first token to the pool's objective above which a
 * first token counts as late.
 */
const COLD_FIRST_TOKEN_RATIO = 4;

/** State of a server when one of its answers ended. */
export interface ServerSnapshot {
  serverId: string;
  pool: Pool;
  isWarm: boolean;
  /** Concurrency slots in use. */
  usedSlots: number;
}

/** Cold detection for one server. */
export class ColdDetector {
  private readonly failedFingerprints = new Set<string>();
  /**
   * Cumulative sum (CUSUM) of how much slower answers were than those of warm
   * servers; never below 0.
   */
  private slownessSum = 0;

  /**
   * @param baseline - token intervals of the pool's warm servers
   */
  constructor(private readonly baseline: TokenIntervalBaseline) {}

  /** Clears the failures and the sum. */
  reset(): void {
    this.failedFingerprints.clear();
    this.slownessSum = 0;
  }

  /**
   * Records how a request on the server ended. A request that fails repeatedly
   * counts once, because the fault may lie in the request.
   *
   * @param fingerprint - fingerprint of the request
   * @param report - how the request ended, and its latencies
   * @param server - state of the server when the request ended
   * @returns whether the server is to be treated as cold
   */
  observe(
    fingerprint: string,
    report: SlotUsageReport,
    server: ServerSnapshot,
  ): boolean {
    if (report.end === SlotUsageEnd.FAILED) {
      this.failedFingerprints.add(fingerprint);
      return this.failedFingerprints.size >= COLD_FAILURE_COUNT;
    }
    if (report.end !== SlotUsageEnd.COMPLETED) return false;
    this.failedFingerprints.clear();
    const slowness = this.computeSlowness(report, server);
    this.slownessSum = Math.max(0, this.slownessSum + slowness);
    return this.slownessSum >= COLD_SLOWNESS_SUM;
  }

  /**
   * Computes how much slower an answer was than a warm server's answer;
   * negative for a fast answer.
   */
  private computeSlowness(
    report: SlotUsageReport,
    server: ServerSnapshot,
  ): number {
    const {firstTokenMs = 0, betweenTokensMs = 0} = report;
    const {serverId, pool, isWarm, usedSlots} = server;
    if (firstTokenMs > pool.firstTokenMs * COLD_FIRST_TOKEN_RATIO) {
      return LATE_FIRST_TOKEN_SLOWNESS;
    }
    if (!isWarm) return -LATE_FIRST_TOKEN_SLOWNESS;
    const load = usedSlots / Math.max(pool.warmCapacity, 1);
    const ratio = this.baseline.compare(serverId, load, betweenTokensMs);
    return Math.min(ratio - WARM_TOKEN_INTERVAL_RATIO, MAX_ANSWER_SLOWNESS);
  }
}
