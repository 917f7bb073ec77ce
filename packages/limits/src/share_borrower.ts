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

/** What a borrower needs. */
export interface ShareBorrowerOptions {
  clock: Clock;
  book: WorkspaceBuckets;
  view: MembershipView;
  /** Asks an owner in another zone; undefined when it does not answer. */
  requestLoan: (
    owner: PeerInfo,
    request: LoanRequest,
  ) => Promise<LoanAnswer | undefined>;
  /** Called when a workspace has got more share. */
  onLoan: (owned: OwnedWorkspace) => void;
}

/** Owners in other zones that are asked at once. */
const FANOUT = 3;

/** Share wanted for each share in demand. */
const DEMAND_MARGIN = 1.5;

/** Time between rounds while share is held, milliseconds. */
const RENEW_MS = 800;

/** Wait after a round that brought nothing, milliseconds. */
const FIRST_RETRY_MS = 100;

/** Longest wait after rounds that brought nothing, milliseconds. */
const MAX_RETRY_MS = 1600;

/** Asks for share while a workspace needs more than its own. */
export class ShareBorrower {
  /**
   * @param options - buckets, fleet and the call
   */
  constructor(private readonly options: ShareBorrowerOptions) {}

  /**
   * Starts borrowing for a workspace, unless it is under way.
   *
   * @param owned - workspace that has too few tokens
   */
  start(owned: OwnedWorkspace): void {
    if (owned.isBorrowing || !this.isOwner(owned.name)) return;
    if (this.listLenders(owned).length === 0) return;
    owned.isBorrowing = true;
    void this.runRounds(owned).finally(() => (owned.isBorrowing = false));
  }

  private async runRounds(owned: OwnedWorkspace): Promise<void> {
    const {clock, onLoan} = this.options;
    let retryMs = FIRST_RETRY_MS;
    while (this.isOwner(owned.name) && this.computeWant(owned) > 0) {
      owned.isAskingLoans = true;
      const gained = await this.runRound(owned);
      owned.isAskingLoans = false;
      onLoan(owned);
      const isEnough = this.computeMissing(owned) <= 0;
      if (gained || isEnough) retryMs = FIRST_RETRY_MS;
      await clock.sleep(isEnough ? RENEW_MS : retryMs);
      if (!gained) retryMs = Math.min(MAX_RETRY_MS, 2 * retryMs);
    }
  }

  /** Asks until the want is met or every lender was asked. */
  private async runRound(owned: OwnedWorkspace): Promise<boolean> {
    const lenders = this.listLenders(owned);
    let gained = false;
    while (lenders.length > 0) {
      const asked = lenders.splice(0, FANOUT);
      const shares = this.splitWant(owned, asked);
      const answers = asked.map((lender, index) =>
        this.requestFrom(owned, lender, shares[index] ?? 0),
      );
      const results = await Promise.all(answers);
      gained ||= results.includes(true);
      if (this.computeMissing(owned) <= 0) break;
    }
    return gained;
  }

  /** Splits what is missing evenly, and what is too much as it is held. */
  private splitWant(owned: OwnedWorkspace, lenders: PeerInfo[]): number[] {
    const nowMs = this.options.clock.now();
    const {borrowed} = owned.bucket.loans;
    const missing = this.computeMissing(owned);
    const total = borrowed.sumShares(nowMs);
    return lenders.map((lender) => {
      const held = borrowed.getShare(lender.host, nowMs);
      if (missing > 0) return Math.min(1, held + missing / lenders.length);
      return total > 0 ? held + (missing * held) / total : 0;
    });
  }

  private async requestFrom(
    owned: OwnedWorkspace,
    lender: PeerInfo,
    share: number,
  ): Promise<boolean> {
    const {clock, book, requestLoan} = this.options;
    const name = lender.host;
    const askedMs = clock.now();
    const {borrowed} = owned.bucket.loans;
    const held = borrowed.getShare(name, askedMs);
    if (share <= 0) return false;
    const workspace = owned.name;
    const answer = await requestLoan(lender, {workspace, share});
    if (answer === undefined || answer.share <= 0) return false;
    book.refill(owned);
    const nowMs = clock.now();
    const toMs = askedMs + answer.termMs;
    if (toMs <= nowMs) return false;
    borrowed.add(name, {share: answer.share, fromMs: nowMs, toMs});
    owned.bucket.addBorrowed(answer.tokens);
    book.refill(owned);
    return answer.share > held;
  }

  /** Share beyond the own one that demand asks for. */
  private computeWant(owned: OwnedWorkspace): number {
    const {bucket, demand, limits, waiters} = owned;
    const nowMs = this.options.clock.now();
    let queued = 0;
    for (const waiter of waiters[TrafficClass.ONLINE]) {
      queued += waiter.request.least;
    }
    const batchFirst = waiters[TrafficClass.BATCH][0]?.request.least ?? 0;
    const batchTokens = batchFirst / Math.max(limits.batchShare, 0.01);
    const rateShare = (DEMAND_MARGIN * demand.getRate(nowMs)) / limits.rate;
    const burstShare = (queued + batchTokens) / limits.burst;
    const lent = bucket.loans.lent.sumShares(nowMs);
    const own = Math.max(0, bucket.getBaseShare() - lent);
    return Math.min(1, Math.max(rateShare, burstShare)) - own;
  }

  private computeMissing(owned: OwnedWorkspace): number {
    const nowMs = this.options.clock.now();
    const held = owned.bucket.loans.borrowed.sumShares(nowMs);
    return this.computeWant(owned) - held;
  }

  private isOwner(workspace: string): boolean {
    const {view} = this.options;
    const key = formatRateKey(workspace);
    return view.computeOwner(key, view.self.zone)?.host === view.self.host;
  }

  /** Lists the owners in other zones, those with loans to this one first. */
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
      const isHeld = borrowed.getShare(owner.host, nowMs) > 0;
      if (isHeld || owner.region === view.self.region) lenders.unshift(owner);
      else lenders.push(owner);
    }
    return lenders;
  }
}
