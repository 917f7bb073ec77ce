/**
 * Limits the concurrency slots that batch work uses on one server, by
 * multiplicative decrease and additive increase. Each maintenance period in
 * which too many online requests miss their latency objectives while batch work
 * is running halves the limit. Otherwise the limit doubles up to half of its
 * value before the decrease, and above that grows by one slot at a time.
 */
import type {Pool} from '@savoryspur/schema';
import type {SlotUsageReport} from './slot_allocator.js';

/**
 * Ratio of online requests that may miss an objective in one period without a
 * decrease.
 */
const MAX_OBJECTIVE_MISS_RATIO = 0.05;

/** Factor by which a decrease multiplies the limit. */
const LIMIT_DECREASE_FACTOR = 0.5;

/**
 * Factor by which an increase below the doubling threshold multiplies the
 * limit.
 */
const LIMIT_INCREASE_FACTOR = 2;

/** Slots that an increase above the doubling threshold adds to the limit. */
const LIMIT_INCREASE_SLOTS = 1;

/** Time after a decrease in which the limit is not increased, milliseconds. */
const NO_INCREASE_AFTER_DECREASE_MS = 300;

/** Controls the limit on the batch slots of one server. */
export class BatchController {
  private limit = 1;
  private doublingThreshold = 0;
  private hasDecreased = false;
  private samples = 0;
  private misses = 0;
  private noIncreaseUntilMs = 0;

  /** Gets the number of slots that batch work may use on the server. */
  getLimit(): number {
    return Math.floor(this.limit);
  }

  /**
   * Records whether an online request met its latency objectives.
   *
   * @param pool - pool with the objectives
   * @param report - latencies of the request
   * @param batchSlots - slots that batch work uses on the server
   */
  observe(pool: Pool, report: SlotUsageReport, batchSlots: number): void {
    const {firstTokenMs, betweenTokensMs} = report;
    if (firstTokenMs === undefined && betweenTokensMs === undefined) return;
    const isMissed =
      (firstTokenMs ?? 0) > pool.firstTokenMs ||
      (betweenTokensMs ?? 0) > pool.betweenTokensMs;
    this.samples += 1;
    if (isMissed && batchSlots > 0) this.misses += 1;
  }

  /**
   * Adjusts the limit to the online requests since the last adjustment.
   *
   * @param nowMs - monotonic time, milliseconds
   * @param batchSlots - slots that batch work uses on the server
   * @param maxBatchSlots - upper bound of the limit
   */
  adjust(nowMs: number, batchSlots: number, maxBatchSlots: number): void {
    const isObjectiveMissed =
      this.misses > this.samples * MAX_OBJECTIVE_MISS_RATIO;
    this.samples = 0;
    this.misses = 0;
    if (isObjectiveMissed) this.adjustDown(nowMs, batchSlots);
    else if (nowMs >= this.noIncreaseUntilMs) this.adjustUp(batchSlots);
    this.limit = Math.min(this.limit, Math.max(maxBatchSlots, 0));
  }

  /**
   * Raises the limit to the batch slots that are in use, so that a change of
   * owner alone does not preempt batch work.
   */
  acceptRecoveredGrants(batchSlots: number): void {
    this.limit = Math.max(this.limit, batchSlots);
  }

  /** Resets the limit to 1, as for a server that has become cold. */
  reset(): void {
    this.limit = 1;
    this.doublingThreshold = 0;
    this.samples = 0;
    this.misses = 0;
  }

  private adjustDown(nowMs: number, batchSlots: number): void {
    if (!this.hasDecreased)
      this.doublingThreshold = this.limit * LIMIT_DECREASE_FACTOR;
    this.hasDecreased = true;
    this.limit = Math.min(this.limit, batchSlots) * LIMIT_DECREASE_FACTOR;
    this.noIncreaseUntilMs = nowMs + NO_INCREASE_AFTER_DECREASE_MS;
  }

  private adjustUp(batchSlots: number): void {
    if (this.limit >= batchSlots + LIMIT_INCREASE_SLOTS) return;
    this.hasDecreased = false;
    const doubled = Math.max(this.limit, 1) * LIMIT_INCREASE_FACTOR;
    const isBelowThreshold = doubled <= this.doublingThreshold;
    this.limit = isBelowThreshold ? doubled : this.limit + LIMIT_INCREASE_SLOTS;
  }
}
