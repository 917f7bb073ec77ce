/** Token bucket of one workspace at the daemon that owns its key in a zone. */
import type {ShareHistory} from '@savoryspur/fleet';
import {TrafficClass} from '@savoryspur/schema';
import {isDeepStrictEqual} from 'node:util';
import {ShareLoans} from './share_loans.js';

const MS_PER_SECOND = 1000;

/** Tolerance for rounding errors in sums of fractional tokens. */
const ROUNDING_TOLERANCE_TOKENS = 1e-9;

/** Fleet-wide limits of a workspace. */
export interface BucketLimits {
  /** Tokens per second. */
  rate: number;
  /** Maximum number of tokens in the bucket. */
  burst: number;
  /** Largest fraction of rate and burst that batch items may use. */
  batchShare: number;
  /** Quota slots of all zones. */
  fleetSlots: number;
}

/** Tokens that were granted to another daemon and may still be unused. */
interface Reservation {
  tokens: number;
  expiresAtMs: number;
}

/**
 * Token bucket that is limited to this daemon's share of the fleet-wide limits.
 * The level never exceeds the share of the burst less the tokens that other
 * daemons hold, and it is refilled at the share of the rate. The levels of all
 * owners together with the tokens held therefore never exceed the burst, and
 * their refills never exceed the rate.
 */
export class OwnerBucket {
  private level = 0;
  /** Level of a second bucket, which limits batch work to its fraction. */
  private batchLevel = 0;
  private refilledUntilMs: number | undefined;
  private readonly reservations = new Map<number, Reservation>();
  private effectiveShare = 0;
  private delegatedShare = 0;
  /** Loans between this owner and owners in other zones. */
  readonly loans = new ShareLoans();

  /**
   * @param limits - limits of the workspace
   */
  constructor(private limits: BucketLimits) {}

  /**
   * Gets the time up to which the bucket is refilled, monotonic milliseconds;
   * undefined before the first refill.
   */
  getRefilledUntilMs(): number | undefined {
    return this.refilledUntilMs;
  }

  /** Gets the share of the rate that may be used here, loans included. */
  getEffectiveShare(): number {
    return this.effectiveShare;
  }

  /** Gets the share of the rate that is delegated to this daemon. */
  getDelegatedShare(): number {
    return this.delegatedShare;
  }

  /**
   * Removes the tokens that go with a newly lent share: the same fraction of
   * the level as the loan is of this daemon's share.
   *
   * @param share - newly lent share of the rate
   * @returns the tokens removed
   */
  takeForLoan(share: number): number {
    if (this.effectiveShare <= 0) return 0;
    const tokens = this.level * Math.min(1, share / this.effectiveShare);
    this.batchLevel -=
      this.batchLevel * Math.min(1, share / this.effectiveShare);
    this.level -= tokens;
    return tokens;
  }

  /**
   * Empties the bucket for a handover.
   *
   * @returns the tokens that go with the delegated share; tokens beyond its
   *     part of the burst, as of borrowed share, are dropped
   */
  takeForRelease(): number {
    const tokens = Math.min(
      this.level,
      this.limits.burst * this.delegatedShare,
    );
    this.level = 0;
    this.batchLevel = 0;
    return Math.max(0, tokens);
  }

  /**
   * Adds tokens that a stopping owner released with a delegated share. Batch
   * work may use none of them. The next refill limits the level to the
   * capacity.
   *
   * @param tokens - tokens that were released with the share
   */
  addReleasedTokens(tokens: number): void {
    this.level += tokens;
  }

  /**
   * Adds the tokens of a borrowed share. The next refill limits the level to
   * the capacity.
   *
   * @param tokens - tokens that came with the share
   */
  addBorrowedTokens(tokens: number): void {
    this.level += tokens;
    this.batchLevel += tokens * this.limits.batchShare;
  }

  /**
   * Replaces the limits. The time since the last refill is refilled at the
   * lower of the old and the new values, so a change never adds tokens for the
   * past.
   *
   * @param limits - new limits
   * @param getHistory - gets the delegated share since
   *     {@link getRefilledUntilMs}
   */
  setLimits(limits: BucketLimits, getHistory: () => ShareHistory): void {
    const previous = this.limits;
    if (isDeepStrictEqual(previous, limits)) return;
    this.limits = {
      rate: Math.min(previous.rate, limits.rate),
      burst: Math.min(previous.burst, limits.burst),
      batchShare: Math.min(previous.batchShare, limits.batchShare),
      fleetSlots: Math.max(previous.fleetSlots, limits.fleetSlots),
    };
    this.refill(getHistory());
    this.limits = limits;
  }

  /**
   * Refills the bucket up to the end of a history.
   *
   * @param history - delegated share since {@link getRefilledUntilMs}
   */
  refill(history: ShareHistory): void {
    for (const {fromMs, toMs, slots} of history.segments) {
      this.delegatedShare = slots / this.limits.fleetSlots;
      let startMs = fromMs;
      for (const changeMs of this.loans.listChangeTimes(fromMs, toMs)) {
        this.refillSegment(startMs, changeMs);
        startMs = changeMs;
      }
      this.refillSegment(startMs, toMs);
      this.refilledUntilMs = toMs;
    }
    if (this.refilledUntilMs !== undefined)
      this.loans.dropExpired(this.refilledUntilMs);
  }

  /**
   * Takes tokens.
   *
   * @param trafficClass - online work may use all tokens, batch work only its
   *     fraction
   * @param count - tokens requested
   * @param minCount - minimum number of tokens that the requester can use
   * @returns the tokens taken; 0 when fewer than `minCount` are available
   */
  takeTokens(
    trafficClass: TrafficClass,
    count: number,
    minCount: number,
  ): number {
    const available = Math.floor(
      this.getAvailable(trafficClass) + ROUNDING_TOLERANCE_TOKENS,
    );
    const taken = Math.min(count, available);
    if (taken < minCount) return 0;
    this.level -= taken;
    if (trafficClass === TrafficClass.BATCH) this.batchLevel -= taken;
    return taken;
  }

  /**
   * Computes how many tokens one of several waiting requests may take.
   *
   * @param trafficClass - traffic class of the request
   * @param count - tokens that the request asks for
   * @param minCount - minimum number of tokens that the requester can use
   * @param waiterCount - waiting requests, this one included
   * @returns an even portion of the available tokens, at least `minCount` and
   *     at most `count`
   */
  computeFairPortion(
    trafficClass: TrafficClass,
    count: number,
    minCount: number,
    waiterCount: number,
  ): number {
    const evenPortion = Math.ceil(
      this.getAvailable(trafficClass) / waiterCount,
    );
    return Math.min(count, Math.max(minCount, evenPortion));
  }

  /**
   * Computes the time until enough tokens are available, provided that no other
   * request takes any.
   *
   * @param trafficClass - traffic class of the request
   * @param count - tokens requested
   * @returns milliseconds; infinite when the share is too small for that many
   *     tokens
   */
  computeWaitMs(trafficClass: TrafficClass, count: number): number {
    const missing = count - this.getAvailable(trafficClass);
    if (missing <= ROUNDING_TOLERANCE_TOKENS) return 0;
    const isBatch = trafficClass === TrafficClass.BATCH;
    const fraction = isBatch ? this.limits.batchShare : 1;
    const tokensPerMs =
      (this.limits.rate * this.effectiveShare * fraction) / MS_PER_SECOND;
    if (
      tokensPerMs <= 0 ||
      count > this.getCapacity() * fraction + ROUNDING_TOLERANCE_TOKENS
    ) {
      return Number.POSITIVE_INFINITY;
    }
    return missing / tokensPerMs;
  }

  /**
   * Computes the time in which one token is refilled.
   *
   * @param trafficClass - traffic class that may use the token
   * @returns milliseconds; infinite when the share is empty
   */
  computeTokenIntervalMs(trafficClass: TrafficClass): number {
    const isBatch = trafficClass === TrafficClass.BATCH;
    const fraction = isBatch ? this.limits.batchShare : 1;
    return MS_PER_SECOND / (this.limits.rate * this.effectiveShare * fraction);
  }

  /**
   * Reserves capacity for tokens that another daemon holds, so that the bucket
   * is not refilled in their place.
   *
   * @param grant - number of the grant
   * @param tokens - tokens granted
   * @param expiresAtMs - when the grant expires, monotonic milliseconds
   */
  addReservation(grant: number, tokens: number, expiresAtMs: number): void {
    this.reservations.set(grant, {tokens, expiresAtMs});
  }

  /**
   * Removes the reservation of a grant whose tokens were used or dropped.
   *
   * @param grant - number of the grant
   */
  releaseReservation(grant: number): void {
    this.reservations.delete(grant);
  }

  /**
   * Gets the tokens that other daemons hold by unexpired grants.
   *
   * @param nowMs - monotonic milliseconds
   */
  getReservedTokens(nowMs: number): number {
    return this.sumReservedTokens(nowMs);
  }

  /** Gets the tokens in the bucket and those that other daemons hold. */
  getTotalTokens(): number {
    return this.level + this.sumReservedTokens(this.refilledUntilMs ?? 0);
  }

  /**
   * Tells whether the bucket is full and other daemons hold none of its tokens.
   */
  isFull(): boolean {
    return this.reservations.size === 0 && this.level >= this.getCapacity();
  }

  private refillSegment(fromMs: number, toMs: number): void {
    const {rate, batchShare} = this.limits;
    this.effectiveShare = this.loans.computeEffectiveShare(
      this.delegatedShare,
      fromMs,
    );
    const capacity = this.getCapacity();
    const unreservedCapacity = Math.max(
      0,
      capacity - this.sumReservedTokens(fromMs),
    );
    const added = computeRefillTokens(
      rate * this.effectiveShare,
      toMs - fromMs,
    );
    this.level = Math.min(
      unreservedCapacity,
      Math.min(unreservedCapacity, this.level) + added,
    );
    const batchCapacity = capacity * batchShare;
    this.batchLevel = Math.min(
      batchCapacity,
      Math.min(batchCapacity, this.batchLevel) +
        computeRefillTokens(
          rate * this.effectiveShare * batchShare,
          toMs - fromMs,
        ),
    );
  }

  private getCapacity(): number {
    return this.limits.burst * this.effectiveShare;
  }

  /**
   * Gets the tokens that a traffic class may use; batch work leaves the part of
   * the capacity that is reserved for online work.
   */
  private getAvailable(trafficClass: TrafficClass): number {
    if (trafficClass === TrafficClass.ONLINE) return this.level;
    const onlineReserve = this.getCapacity() * (1 - this.limits.batchShare);
    return Math.min(this.batchLevel, this.level - onlineReserve);
  }

  private sumReservedTokens(nowMs: number): number {
    let tokens = 0;
    for (const [grant, reservation] of this.reservations) {
      if (reservation.expiresAtMs <= nowMs) this.reservations.delete(grant);
      else tokens += reservation.tokens;
    }
    return tokens;
  }
}

function computeRefillTokens(
  tokensPerSecond: number,
  elapsedMs: number,
): number {
  return tokensPerSecond <= 0
    ? 0
    : (tokensPerSecond * elapsedMs) / MS_PER_SECOND;
}
