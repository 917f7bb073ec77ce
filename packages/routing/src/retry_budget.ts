/** Bounds retries by a part of the first attempts. */

/** Retries that may be saved up. */
const MAX_SAVED_RETRIES = 100;

/** Token bucket that earns with each first attempt. */
export class RetryBudget {
  private tokens: number;

  /**
   * @param retriesPerAttempt - retries earned by each first attempt
   * @param maxSaved - retries that may be saved up
   */
  constructor(
    private readonly retriesPerAttempt: number,
    private readonly maxSaved = MAX_SAVED_RETRIES,
  ) {
    this.tokens = Math.min(1, maxSaved);
  }

  /** Earns a part of a retry for a first attempt. */
  recordFirstAttempt(): void {
    this.tokens = Math.min(this.tokens + this.retriesPerAttempt, this.maxSaved);
  }

  /**
   * Spends one retry.
   *
   * @returns whether the budget allows it
   */
  trySpendRetry(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
