/** Borrows share from the owners of the same workspace in other zones. */
import type {Clock} from '@savoryspur/common';
import type {MembershipView} from '@savoryspur/fleet';
import {
  type LoanAnswer,
  type LoanRequest,
  type PeerInfo,
  TrafficClass,
} from '@savoryspur/schema';
import {
  formatRateKey,
  type OwnedWorkspace,
  type WorkspaceBuckets,
} from './workspace_buckets.js';

/** Dependencies of {@link ShareBorrower}. */
export interface ShareBorrowerOptions {
  clock: Clock;
  buckets: WorkspaceBuckets;
  view: MembershipView;
  /** Sends a loan request to an owner; undefined when there is no answer. */
  requestLoan: (
    owner: PeerInfo,
    request: LoanRequest,
  ) => Promise<LoanAnswer | undefined>;
  /** Called after each round of loan requests of a workspace. */
  onRoundFinished: (owned: OwnedWorkspace) => void;
}

/** Maximum number of lenders that are asked for loans at the same time. */
const MAX_CONCURRENT_LENDERS = 3;

/** Share that the borrower requests, as a multiple of the share in demand. */
const DEMAND_HEADROOM_FACTOR = 1.5;

/**
 * Smallest batch share that is assumed when the share for waiting batch items
 * is computed; prevents a division by zero.
 */
const MIN_BATCH_SHARE = 0.01;

/** Time between rounds of requests while the share suffices, milliseconds. */
const RENEW_INTERVAL_MS = 800;

/** First delay of the backoff after a round without a loan, milliseconds. */
const MIN_RETRY_DELAY_MS = 100;

/** Longest delay of the backoff after rounds without a loan, milliseconds. */
const MAX_RETRY_DELAY_MS = 1600;

/** Requests loans while a workspace needs more than its delegated share. */
export class ShareBorrower {
  /**
   * @param options - buckets, membership view and the call to lenders
   */
  constructor(private readonly options: ShareBorrowerOptions) {}

  /**
   * Starts borrowing for a workspace, unless a borrowing task is running.
   *
   * @param owned - workspace whose requests wait for tokens
   */
  start(owned: OwnedWorkspace): void {
    if (owned.isBorrowing || !this.isOwner(owned.name)) return;
    if (this.listLenders(owned).length === 0) return;
    owned.isBorrowing = true;
    void this.runRounds(owned).finally(() => (owned.isBorrowing = false));
  }

  private async runRounds(owned: OwnedWorkspace): Promise<void> {
    const {clock, onRoundFinished} = this.options;
    let retryDelayMs = MIN_RETRY_DELAY_MS;
    while (this.isOwner(owned.name) && this.computeWantedShare(owned) > 0) {
      owned.isRequestingLoans = true;
      const hasGained = await this.runRound(owned);
      owned.isRequestingLoans = false;
      onRoundFinished(owned);
      const isEnough = this.computeMissingShare(owned) <= 0;
      if (hasGained || isEnough) retryDelayMs = MIN_RETRY_DELAY_MS;
      await clock.sleep(isEnough ? RENEW_INTERVAL_MS : retryDelayMs);
      if (!hasGained)
        retryDelayMs = Math.min(MAX_RETRY_DELAY_MS, 2 * retryDelayMs);
    }
  }

  /**
   * Requests loans until the wanted share is reached or every lender was asked.
   *
   * @returns whether any lender lent more than before
   */
  private async runRound(owned: OwnedWorkspace): Promise<boolean> {
    const lenders = this.listLenders(owned);
    let hasGained = false;
    while (lenders.length > 0) {
      const nextLenders = lenders.splice(0, MAX_CONCURRENT_LENDERS);
      const shares = this.splitMissingShare(owned, nextLenders);
      const requests = nextLenders.map((lender, index) =>
        this.requestFromLender(owned, lender, shares[index] ?? 0),
      );
      const results = await Promise.all(requests);
      hasGained ||= results.includes(true);
      if (this.computeMissingShare(owned) <= 0) break;
    }
    return hasGained;
  }

  /**
   * Computes the share to request from each lender, the share that it has lent
   * already included. Missing share is split evenly among the lenders; surplus
   * share is reduced in proportion to what each of them has lent.
   */
  private splitMissingShare(
    owned: OwnedWorkspace,
    lenders: PeerInfo[],
  ): number[] {
    const nowMs = this.options.clock.now();
    const {borrowed} = owned.bucket.loans;
    const missingShare = this.computeMissingShare(owned);
    const totalShare = borrowed.sumShares(nowMs);
    return lenders.map((lender) => {
      const heldShare = borrowed.getShare(lender.host, nowMs);
      if (missingShare > 0)
        return Math.min(1, heldShare + missingShare / lenders.length);
      return totalShare > 0
        ? heldShare + (missingShare * heldShare) / totalShare
        : 0;
    });
  }

  private async requestFromLender(
    owned: OwnedWorkspace,
    lender: PeerInfo,
    share: number,
  ): Promise<boolean> {
    const {clock, buckets, requestLoan} = this.options;
    const lenderHost = lender.host;
    const sentAtMs = clock.now();
    const {borrowed} = owned.bucket.loans;
    const heldShare = borrowed.getShare(lenderHost, sentAtMs);
    if (share <= 0) return false;
    const workspace = owned.name;
    const answer = await requestLoan(lender, {workspace, share});
    if (answer === undefined || answer.share <= 0) return false;
    buckets.refill(owned);
    const nowMs = clock.now();
    const expiresAtMs = sentAtMs + answer.termMs;
    if (expiresAtMs <= nowMs) return false;
    borrowed.add(lenderHost, {
      share: answer.share,
      fromMs: nowMs,
      toMs: expiresAtMs,
    });
    owned.bucket.addBorrowedTokens(answer.tokens);
    buckets.refill(owned);
    return answer.share > heldShare;
  }

  /**
   * Computes the share that demand needs beyond this owner's own one, which is
   * its delegated share less its loans to others.
   */
  private computeWantedShare(owned: OwnedWorkspace): number {
    const {bucket, demand, limits, waiters} = owned;
    const nowMs = this.options.clock.now();
    let queuedTokens = 0;
    for (const waiter of waiters[TrafficClass.ONLINE]) {
      queuedTokens += waiter.request.least;
    }
    const firstBatchTokens = waiters[TrafficClass.BATCH][0]?.request.least ?? 0;
    const batchTokens =
      firstBatchTokens / Math.max(limits.batchShare, MIN_BATCH_SHARE);
    const shareOfRate =
      (DEMAND_HEADROOM_FACTOR * demand.getTokensPerSecond(nowMs)) / limits.rate;
    const shareOfBurst = (queuedTokens + batchTokens) / limits.burst;
    const lentShare = bucket.loans.lent.sumShares(nowMs);
    const ownShare = Math.max(0, bucket.getDelegatedShare() - lentShare);
    return Math.min(1, Math.max(shareOfRate, shareOfBurst)) - ownShare;
  }

  private computeMissingShare(owned: OwnedWorkspace): number {
    const nowMs = this.options.clock.now();
    const heldShare = owned.bucket.loans.borrowed.sumShares(nowMs);
    return this.computeWantedShare(owned) - heldShare;
  }

  private isOwner(workspace: string): boolean {
    const {view} = this.options;
    const key = formatRateKey(workspace);
    return view.computeOwner(key, view.self.zone)?.host === view.self.host;
  }

  /**
   * Lists the owners in other zones; those that lend to this owner already and
   * those of the same region come first.
   */
  private listLenders(owned: OwnedWorkspace): PeerInfo[] {
    const {view, clock} = this.options;
    const key = formatRateKey(owned.name);
    const nowMs = clock.now();
    const {borrowed} = owned.bucket.loans;
    const lenders: PeerInfo[] = [];
    for (const zone of view.listZones()) {
      if (zone === view.self.zone) continue;
      const owner = view.computeOwner(key, zone);
      if (owner === undefined) continue;
      const isLending = borrowed.getShare(owner.host, nowMs) > 0;
      if (isLending || owner.region === view.self.region)
        lenders.unshift(owner);
      else lenders.push(owner);
    }
    return lenders;
  }
}
