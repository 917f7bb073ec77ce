/**
 * Shares of a workspace's rate that owners in different zones lend each other.
 */

/**
 * One loan, in force from `fromMs` to `toMs`; its renewals overlap it in time.
 */
interface Loan {
  share: number;
  fromMs: number;
  toMs: number;
}

/** Loans in one direction, grouped by the peer that lends or borrows. */
class LoanSet {
  private readonly loans = new Map<string, Loan[]>();

  /** Adds a loan or a renewal. */
  add(peer: string, loan: Loan): void {
    const current = this.loans.get(peer) ?? [];
    this.loans.set(peer, [...current, loan]);
  }

  /**
   * Gets the share in force with one peer. Overlapping loans are renewals of
   * the same share, so the largest one counts.
   */
  getShare(peer: string, nowMs: number): number {
    let share = 0;
    for (const loan of this.loans.get(peer) ?? []) {
      if (loan.fromMs <= nowMs && loan.toMs > nowMs) {
        share = Math.max(share, loan.share);
      }
    }
    return share;
  }

  /** Sums the shares in force with all peers. */
  sumShares(nowMs: number): number {
    let share = 0;
    for (const peer of this.loans.keys()) share += this.getShare(peer, nowMs);
    return share;
  }

  /** Lists the times at which the sum of the shares may change. */
  listChangeTimes(): number[] {
    const times: number[] = [];
    for (const loan of [...this.loans.values()].flat()) {
      times.push(loan.fromMs, loan.toMs);
    }
    return times;
  }

  /**
   * Gets the time at which the first of the peers' loans expires, renewals
   * included; infinite when none is in force.
   */
  getFirstExpiryMs(nowMs: number): number {
    let firstExpiryMs = Number.POSITIVE_INFINITY;
    for (const loans of this.loans.values()) {
      const expiryMs = Math.max(0, ...loans.map((loan) => loan.toMs));
      if (expiryMs > nowMs) firstExpiryMs = Math.min(firstExpiryMs, expiryMs);
    }
    return firstExpiryMs;
  }

  /** Gets the time at which the last loan expires; 0 when there is none. */
  getLastExpiryMs(): number {
    const loans = [...this.loans.values()].flat();
    return Math.max(0, ...loans.map((loan) => loan.toMs));
  }

  /** Drops the loans that expired by the given time. */
  dropExpired(beforeMs: number): void {
    for (const [peer, loans] of this.loans) {
      const current = loans.filter((loan) => loan.toMs > beforeMs);
      if (current.length === loans.length) continue;
      if (current.length > 0) this.loans.set(peer, current);
      else this.loans.delete(peer);
    }
  }
}

/** Loans that one owner has lent and borrowed for one workspace. */
export class ShareLoans {
  /**
   * Loans to other owners. Their term starts when this owner answers the
   * request.
   */
  readonly lent = new LoanSet();
  /**
   * Loans from other owners. Their term starts when this owner sends the
   * request, so they expire here before they expire at the lender.
   */
  readonly borrowed = new LoanSet();

  /**
   * Computes the share that this owner may use.
   *
   * @param delegatedShare - share of the rate that is delegated to this daemon
   * @param nowMs - monotonic milliseconds
   * @returns the delegated share less the lent shares plus the borrowed ones
   */
  computeEffectiveShare(delegatedShare: number, nowMs: number): number {
    const ownShare = Math.max(0, delegatedShare - this.lent.sumShares(nowMs));
    return ownShare + this.borrowed.sumShares(nowMs);
  }

  /**
   * Lists the times within a span at which the share may change.
   *
   * @param fromMs - start, monotonic milliseconds
   * @param toMs - end, monotonic milliseconds
   */
  listChangeTimes(fromMs: number, toMs: number): number[] {
    const times = [
      ...this.lent.listChangeTimes(),
      ...this.borrowed.listChangeTimes(),
    ];
    return [...new Set(times)]
      .filter((time) => time > fromMs && time < toMs)
      .sort((a, b) => a - b);
  }

  /** Drops the loans that expired by the given time. */
  dropExpired(beforeMs: number): void {
    this.lent.dropExpired(beforeMs);
    this.borrowed.dropExpired(beforeMs);
  }
}
