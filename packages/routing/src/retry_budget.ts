/** Limits retries to a fraction of the first attempts. */

/** Default for the most retries that may accumulate. */
const DEFAULT_MAX_SAVED_RETRIES = 100;

/** Token bucket that each first attempt refills by a fraction of a retry. */
export class RetryBudget {
  private tokens: number;

  /**
   * @param retriesPerAttempt - retries earned by each first attempt
   * @param maxSavedRetries - most retries that may accumulate
   */
  constructor(
    private readonly retriesPerAttempt: number,
    private readonly maxSavedRetries = DEFAULT_MAX_SAVED_RETRIES,
  ) {
    this.tokens = Math.min(1, maxSavedRetries);
  }

  /** Adds the fraction of a retry that a first attempt earns. */
  recordFirstAttempt(): void {
    this.tokens = Math.min(
      this.tokens + this.retriesPerAttempt,
      this.maxSavedRetries,
    );
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
