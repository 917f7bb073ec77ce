/** Estimates how long a request waits for a concurrency slot. */

/**
 * Weight of a new sample in the exponential moving average of the time that
 * slots are in use.
 */
const SLOT_USE_SAMPLE_WEIGHT = 0.05;

/**
 * Exponential moving average of the time that slots are in use, and the
 * expected wait derived from it.
 */
export class WaitEstimate {
  private meanSlotUseMs: number | undefined;

  /** Records for how long a slot was in use, milliseconds. */
  recordSlotUse(slotUseMs: number): void {
    const meanMs = this.meanSlotUseMs ?? slotUseMs;
    this.meanSlotUseMs = meanMs + (slotUseMs - meanMs) * SLOT_USE_SAMPLE_WEIGHT;
  }

  /**
   * Computes the expected wait of a queued request.
   *
   * @param requestsAhead - queued requests that get a slot before this request
   * @param slots - slots that serve the queue
   * @returns milliseconds; 0 while no use of a slot has been recorded, or
   *     without slots
   */
  computeWaitMs(requestsAhead: number, slots: number): number {
    if (slots === 0) return 0;
    return ((this.meanSlotUseMs ?? 0) * requestsAhead) / slots;
  }
}
