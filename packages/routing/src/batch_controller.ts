/**
 * Bounds the batch places of one server. Each period in which online requests
 * miss their objectives beside batch work halves the bound. Otherwise it
 * doubles up to half of what it was before, and grows by single places beyond.
 */
import type {Pool} from '@savoryspur/schema';
import type {SlotUsageReport} from './slot_allocator.js';

/** Part of the online requests that may miss an objective. */
const MAX_MISS_SHARE = 0.05;

/** Factor of a decrease. */
const DECREASE_FACTOR = 0.5;

/** Factor of an increase below the threshold. */
const INCREASE_FACTOR = 2;

/** Places added in one period above the threshold. */
const INCREASE_PLACES = 1;

/** Time without an increase after a decrease, milliseconds. */
const HOLD_MS = 300;

/** Controller of the batch places of one server. */
export class BatchController {
  private limit = 1;
  private threshold = 0;
  private isReduced = false;
  private samples = 0;
  private misses = 0;
  private holdUntilMs = 0;

  /** Gets the batch places that the controller allows. */
  getLimit(): number {
    return Math.floor(this.limit);
  }

  /**
   * Records what an online request saw.
   *
   * @param pool - objectives
   * @param report - what was observed
   * @param inUse - batch places in use on the server
   */
  observe(pool: Pool, report: SlotUsageReport, inUse: number): void {
    const {firstTokenMs, betweenTokensMs} = report;
    if (firstTokenMs === undefined && betweenTokensMs === undefined) return;
    const isMissed =
      (firstTokenMs ?? 0) > pool.firstTokenMs ||
      (betweenTokensMs ?? 0) > pool.betweenTokensMs;
    this.samples += 1;
    if (isMissed && inUse > 0) this.misses += 1;
  }

  /**
   * Adjusts the limit to the samples since the last adjustment.
   *
   * @param nowMs - monotonic time
   * @param inUse - batch places in use
   * @param max - most batch places of the server
   */
  adjust(nowMs: number, inUse: number, max: number): void {
    const isHarmed = this.misses > this.samples * MAX_MISS_SHARE;
    this.samples = 0;
    this.misses = 0;
    if (isHarmed) this.adjustDown(nowMs, inUse);
    else if (nowMs >= this.holdUntilMs) this.adjustUp(inUse);
    this.limit = Math.min(this.limit, Math.max(max, 0));
  }

  /** Allows the batch places that another owner granted. */
  resume(inUse: number): void {
    this.limit = Math.max(this.limit, inUse);
  }

  /** Starts anew, as for a server that turned cold. */
  reset(): void {
    this.limit = 1;
    this.threshold = 0;
    this.samples = 0;
    this.misses = 0;
  }

  private adjustDown(nowMs: number, inUse: number): void {
    if (!this.isReduced) this.threshold = this.limit * DECREASE_FACTOR;
    this.isReduced = true;
    this.limit = Math.min(this.limit, inUse) * DECREASE_FACTOR;
    this.holdUntilMs = nowMs + HOLD_MS;
  }

  private adjustUp(inUse: number): void {
    if (this.limit >= inUse + INCREASE_PLACES) return;
    this.isReduced = false;
    const doubled = Math.max(this.limit, 1) * INCREASE_FACTOR;
    const isBelow = doubled <= this.threshold;
    this.limit = isBelow ? doubled : this.limit + INCREASE_PLACES;
  }
}
