/** Lends idle share to the owners of the same workspace in other zones. */
import type {Clock} from '@savoryspur/common';
import type {LoanAnswer, LoanRequest} from '@savoryspur/schema';
import {
  countWaiters,
  type OwnedWorkspace,
  type WorkspaceBuckets,
} from './workspace_buckets.js';

/** Longest term of a loan, milliseconds. */
const MAX_LOAN_TERM_MS = 2000;

/** Shortest term of a loan, milliseconds; nothing is lent for less. */
const MIN_LOAN_TERM_MS = 50;

/** Share that the lender keeps, as a multiple of the share in use. */
const USAGE_HEADROOM_FACTOR = 1.25;

/** Largest fraction of the idle share that a new or larger loan may take. */
const MAX_LOAN_FRACTION = 0.75;

/** Answer when nothing is lent. */
const NO_LOAN: LoanAnswer = {share: 0, tokens: 0, termMs: 0};

/** Answers the loan requests of owners in other zones. */
export class ShareLender {
  /**
   * @param clock - source of time
   * @param buckets - buckets of the workspaces that this daemon owns
   */
  constructor(
    private readonly clock: Clock,
    private readonly buckets: WorkspaceBuckets,
  ) {}

  /**
   * Lends idle share. The loan is subtracted before the answer is sent, so when
   * the answer is lost, nobody uses that share for one term, but no two owners
   * ever use it at the same time.
   *
   * @param borrower - requesting owner, as `host:incarnation`
   * @param request - share requested
   */
  lendShare(borrower: string, request: LoanRequest): LoanAnswer {
    const owned = this.buckets.findOrCreate(request.workspace);
    if (owned === undefined) return NO_LOAN;
    const leasedUntilMs = this.buckets.refill(owned);
    const nowMs = this.clock.now();
    const termMs = Math.floor(
      Math.min(MAX_LOAN_TERM_MS, leasedUntilMs - nowMs),
    );
    if (termMs < MIN_LOAN_TERM_MS) return NO_LOAN;
    const {loans} = owned.bucket;
    const lentShare = loans.lent.getShare(borrower, nowMs);
    const idleShare = this.computeIdleShare(owned, lentShare, nowMs);
    const offeredShare = Math.max(
      MAX_LOAN_FRACTION * idleShare,
      Math.min(lentShare, idleShare),
    );
    const share = Math.min(request.share, offeredShare);
    if (share <= 0) return NO_LOAN;
    const tokens = owned.bucket.takeForLoan(Math.max(0, share - lentShare));
    loans.lent.add(borrower, {share, fromMs: nowMs, toMs: nowMs + termMs});
    this.buckets.refill(owned);
    return {share, tokens, termMs};
  }

  /**
   * Computes the share that is neither in use here nor lent to other owners.
   * The share behind tokens that other daemons hold is not lent, because the
   * borrower would refill its bucket in their place.
   */
  private computeIdleShare(
    owned: OwnedWorkspace,
    lentShare: number,
    nowMs: number,
  ): number {
    if (countWaiters(owned) > 0) return 0;
    const {bucket, usage, limits} = owned;
    const lentToOthers = bucket.loans.lent.sumShares(nowMs) - lentShare;
    const ownShare = bucket.getDelegatedShare() - lentToOthers;
    const usedShare =
      (USAGE_HEADROOM_FACTOR * usage.getTokensPerSecond(nowMs)) / limits.rate;
    const reservedShare = bucket.getReservedTokens(nowMs) / limits.burst;
    return Math.max(0, ownShare - Math.max(usedShare, reservedShare));
  }
}
