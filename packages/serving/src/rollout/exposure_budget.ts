/**
 * Bounds the requests that the target of a rollout gets. The store contains a
 * limit that the decider reserves before it grants up to it. A decider that takes
 * over counts the whole limit as granted, so the bound also holds while a former
 * decider still grants, however late it learns that it was replaced.
 */
import type {RolloutRow} from '@savoryspur/schema';
import type {RolloutBounds} from './rollout_types.js';

/** Part of the bounds that new requests use while the target is observed; the rest is for stream continuations and for `finishing`. */
const WATCHING_SHARE_PART = 0.5;
const WATCHING_SLACK_PART = 0.2;

/** Part of the bounds that is used at all: requests that callers abandon before they are counted, and retries, make the count of requests too high. */
const USED_SHARE_PART = 0.9;
const USED_SLACK_PART = 0.6;

/** Time for which requests are reserved with one write while the target is observed, seconds: three periods of the writes. */
const WATCHING_RESERVED_S = 3;

/** The same in `finishing`, when a new decider would otherwise find the whole bound reserved. */
const FINISHING_RESERVED_S = 1;

/** Part of the reservation that is left when it is renewed before its time. */
const LOW_RESERVATION_PART = 0.5;

/** Smallest reservation, requests. */
const MIN_RESERVATION = 8;

/** Counts of one rollout, as the store has them. */
export type StoredCounts = Pick<
  RolloutRow,
  'requests' | 'targetRequests' | 'targetLimit'
>;

/** Counts of a decider that takes over: all that its predecessor may have granted counts as granted. */
export function createTakeoverCounts(row: StoredCounts): StoredCounts {
  const granted = Math.max(row.targetRequests, row.targetLimit);
  return {
    requests: row.requests,
    targetRequests: granted,
    targetLimit: granted,
  };
}

/** Requests of one rollout that a decider has granted, and what it may still grant. */
export class ExposureBudget {
  private requests: number;
  private targetRequests: number;
  /** Limit that the store is known to have. */
  private targetLimit: number;
  private measuredRequests = 0;
  private measuredMs: number | undefined;
  /** Requests a second in the latest period between two writes. */
  private requestsPerSecond = 0;
  /** Requests on the target that the latest write reserved. */
  private reservation = MIN_RESERVATION;

  /**
   * @param counts - counts to go on from
   * @param bounds - bounds of the deployment
   */
  constructor(
    counts: StoredCounts,
    private readonly bounds: RolloutBounds,
  ) {
    this.requests = counts.requests;
    this.targetRequests = counts.targetRequests;
    this.targetLimit = counts.targetLimit;
    this.measuredRequests = counts.requests;
  }

  /** Counts a granted request. */
  recordGrant(isTarget: boolean): void {
    this.requests += 1;
    if (isTarget) this.targetRequests += 1;
  }

  /** Whether one more new request may go to the target while it is observed. */
  hasWatchingBudget(): boolean {
    const {exposureShare, exposureSlack} = this.bounds;
    return this.hasBudget(
      exposureShare * WATCHING_SHARE_PART,
      exposureSlack * WATCHING_SLACK_PART,
    );
  }

  /** Whether one more request may go to the target within the whole bound. */
  hasFullBudget(): boolean {
    const {exposureShare, exposureSlack} = this.bounds;
    return this.hasBudget(
      exposureShare * USED_SHARE_PART,
      exposureSlack * USED_SLACK_PART,
    );
  }

  /** Whether so much of the reservation is used that it has to be renewed before its time. */
  isReservationLow(): boolean {
    const left = this.targetLimit - this.targetRequests;
    return left < this.reservation * LOW_RESERVATION_PART;
  }

  /**
   * Gets the counts to store, with a reservation for the next requests.
   *
   * @param isFinishing - whether all new requests go to the target
   * @param nowMs - current time, monotonic milliseconds
   */
  createCounts(isFinishing: boolean, nowMs: number): StoredCounts {
    this.measureRate(nowMs);
    this.reservation = Math.max(
      MIN_RESERVATION,
      Math.ceil(
        isFinishing
          ? this.requestsPerSecond * FINISHING_RESERVED_S
          : this.computeWatchingReservation(),
      ),
    );
    const {requests, targetRequests} = this;
    const targetLimit = Math.max(
      this.targetLimit,
      targetRequests + this.reservation,
    );
    return {requests, targetRequests, targetLimit};
  }

  /** Records a limit that the store has accepted. */
  acceptLimit(targetLimit: number): void {
    this.targetLimit = targetLimit;
  }

  /** Gets the requests granted so far, and those of the target. */
  getCounts(): {requests: number; targetRequests: number} {
    const {requests, targetRequests} = this;
    return {requests, targetRequests};
  }

  /**
   * Computes the requests on the target in the time between two writes, at most
   * those that the observation allows: a decider that takes over counts the whole
   * reservation as granted, and may grant nothing until the bound exceeds it.
   */
  private computeWatchingReservation(): number {
    const {exposureShare, exposureSlack} = this.bounds;
    const requests = this.requestsPerSecond * WATCHING_RESERVED_S;
    const bound =
      exposureShare * WATCHING_SHARE_PART * (this.requests + requests) +
      exposureSlack * WATCHING_SLACK_PART;
    return Math.min(requests * exposureShare, bound - this.targetRequests);
  }

  private measureRate(nowMs: number): void {
    const elapsedMs = nowMs - (this.measuredMs ?? nowMs);
    if (this.measuredMs !== undefined && elapsedMs < 500) return;
    if (elapsedMs > 0) {
      this.requestsPerSecond =
        ((this.requests - this.measuredRequests) * 1000) / elapsedMs;
    }
    this.measuredRequests = this.requests;
    this.measuredMs = nowMs;
  }

  private hasBudget(share: number, slack: number): boolean {
    if (this.targetRequests >= this.targetLimit) return false;
    return this.targetRequests + 1 <= this.computeBound(share, slack);
  }

  private computeBound(share: number, slack: number): number {
    return share * this.requests + slack;
  }
}
