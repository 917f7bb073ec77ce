/** Lends idle share to the owners of the same workspace in other zones. */
import type {Clock} from '@savoryspur/common';
import type {LoanAnswer, LoanRequest} from '@savoryspur/schema';
import {
  countWaiters,
  type OwnedWorkspace,
  type WorkspaceBuckets,
} from './workspace_buckets.js';

/** Longest term of a loan, milliseconds. */
const LOAN_TERM_MS = 2000;

/** Shortest term that is worth a loan, milliseconds. */
const MIN_TERM_MS = 50;

/** Share kept for each share in use here. */
const USAGE_MARGIN = 1.25;

/** Part of the idle share that one new loan may take. */
const LOAN_PART = 0.75;

/** Nothing is lent. */
const NO_LOAN: LoanAnswer = {share: 0, tokens: 0, termMs: 0};

/** Answers borrowers. */
export class ShareLender {
  /**
   * @param clock - source of time
   * @param book - buckets of this daemon
   */
  constructor(
    private readonly clock: Clock,
    private readonly book: WorkspaceBuckets,
  ) {}

  /**
   * Lends idle share. It is subtracted before the answer is sent, so a lost
   * answer loses share for a term and never doubles it.
   *
   * @param borrower - host and incarnation of the asking owner
   * @param request - what it wants
   */
  lendShare(borrower: string, request: LoanRequest): LoanAnswer {
    const owned = this.book.find(request.workspace);
    if (owned === undefined) return NO_LOAN;
    const backedUntilMs = this.book.refill(owned);
    const nowMs = this.clock.now();
    const termMs = Math.floor(Math.min(LOAN_TERM_MS, backedUntilMs - nowMs));
    if (termMs < MIN_TERM_MS) return NO_LOAN;
    const {loans} = owned.bucket;
    const held = loans.lent.getShare(borrower, nowMs);
    const spare = this.computeSpare(owned, held, nowMs);
    const offered = Math.max(LOAN_PART * spare, Math.min(held, spare));
    const share = Math.min(request.share, offered);
    if (share <= 0) return NO_LOAN;
    const tokens = owned.bucket.takeForLoan(Math.max(0, share - held));
    loans.lent.add(borrower, {share, fromMs: nowMs, toMs: nowMs + termMs});
    this.book.refill(owned);
    return {share, tokens, termMs};
  }

  /**
   * Share that is neither in use here nor lent to others. The share of tokens
   * that askers hold must stay, or borrowers would fill up in their place.
   */
  private computeSpare(
    owned: OwnedWorkspace,
    held: number,
    nowMs: number,
  ): number {
    if (countWaiters(owned) > 0) return 0;
    const {bucket, usage, limits} = owned;
    const lentToOthers = bucket.loans.lent.sumShares(nowMs) - held;
    const own = bucket.getBaseShare() - lentToOthers;
    const used = (USAGE_MARGIN * usage.getRate(nowMs)) / limits.rate;
    const reserved = bucket.getReservedTokens(nowMs) / limits.burst;
    return Math.max(0, own - Math.max(used, reserved));
  }
}
