/** Checks admissions against rate x t + burst in every time window. */

/** Rate that is allowed from a point in time on. */
export interface AllowedRate {
  fromMs: number;
  rate: number;
}

/** Records the tokens admitted on all hosts. */
export class WindowChecker {
  private readonly admissions: Array<{atMs: number; tokens: number}> = [];

  record(atMs: number, tokens: number): void {
    this.admissions.push({atMs, tokens});
  }

  count(): number {
    return this.admissions.reduce((sum, {tokens}) => sum + tokens, 0);
  }

  /**
   * Computes the excess of the worst window.
   *
   * @param rates - allowed rates, ordered by time
   * @param burst - allowed burst
   * @returns tokens admitted beyond rate x t + burst; 0 or less when there are
   *     none
   */
  computeExcess(rates: AllowedRate[], burst: number): number {
    let sum = 0;
    let lowestBalance = Number.POSITIVE_INFINITY;
    let worstSum = Number.NEGATIVE_INFINITY;
    for (const {atMs, tokens} of this.admissions) {
      const allowed = computeAllowed(rates, atMs);
      lowestBalance = Math.min(lowestBalance, sum - allowed);
      sum += tokens;
      worstSum = Math.max(worstSum, sum - allowed - lowestBalance);
    }
    return worstSum - burst;
  }
}

function computeAllowed(rates: AllowedRate[], atMs: number): number {
  let tokens = 0;
  for (const [index, {fromMs, rate}] of rates.entries()) {
    const toMs = Math.min(atMs, rates[index + 1]?.fromMs ?? atMs);
    if (toMs > fromMs) tokens += (rate * (toMs - fromMs)) / 1000;
  }
  return tokens;
}
