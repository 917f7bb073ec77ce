/** State of a daemon that decides on a rollout: its row, the granted requests and the evidence. */
import {RolloutPhase, type RolloutRow} from '@savoryspur/schema';
import {ExposureBudget, type StoredCounts} from './exposure_budget.js';
import {decideRollout, type RolloutDecision} from './rollout_decision.js';
import {type CallEvidence, RolloutEvidence} from './rollout_evidence.js';
import {computeRolloutSchedule} from './rollout_schedule.js';
import type {RolloutBounds} from './rollout_types.js';
import {isInProgress} from './version_use.js';

/** Time between two writes while a rollout is in progress, milliseconds. */
const WRITE_PERIOD_MS = 1000;

/** Shortest time between two writes because the reservation is low, milliseconds. */
const MIN_WRITE_PERIOD_MS = 250;

/** Time for which a decision on the evidence is used again, milliseconds: one takes 15 ms for 400 servers and 5 routes at 700 requests/s. */
const DECISION_PERIOD_MS = 500;

/** Claim of one rollout. */
export class RolloutClaim {
  /** Requests granted since the order. */
  budget: ExposureBudget;
  /** Latest time at which no other daemon had claimed the rollout, monotonic milliseconds. */
  provenMs: number;
  /** Latest attempt to write, monotonic milliseconds. */
  private writtenMs = Number.NEGATIVE_INFINITY;
  /** Latest decision, and when it was made, milliseconds of the store's clock. */
  private latest: {atMs: number; decision: RolloutDecision} | undefined;

  /**
   * @param row - row by which this daemon has claimed the rollout
   * @param counts - granted requests to go on from
   * @param evidence - evidence to go on from
   * @param claimedMs - when the row was sent to the store, monotonic milliseconds
   * @param bounds - bounds of the deployment
   */
  constructor(
    public row: RolloutRow,
    counts: StoredCounts,
    private evidence: RolloutEvidence,
    claimedMs: number,
    private readonly bounds: RolloutBounds,
  ) {
    this.budget = new ExposureBudget(counts, bounds);
    this.provenMs = claimedMs;
  }

  /** Whether the rollout is in progress. */
  isInProgress(): boolean {
    return isInProgress(this.row.phase);
  }

  /**
   * Whether the latest proof that this daemon is the decider is recent.
   *
   * @param fraction - age of the proof, as a fraction of the time in which a bad
   *     version must get nothing
   * @param nowMs - current time, monotonic milliseconds
   */
  hasLease(fraction: number, nowMs: number): boolean {
    return nowMs - this.provenMs < this.bounds.rollbackMs * fraction;
  }

  /** Records a granted request. */
  recordGrant(softwareVersion: string): void {
    if (!this.isInProgress()) return;
    this.budget.recordGrant(softwareVersion === this.row.target);
  }

  /** Records a call that has ended; the time is that of the store's clock. */
  recordCall(call: CallEvidence, storeMs: number): void {
    if (this.isInProgress()) this.evidence.record(call, storeMs);
  }

  /** Whether the counts have to be written again. */
  isWriteDue(nowMs: number): boolean {
    const ageMs = nowMs - this.writtenMs;
    if (ageMs >= WRITE_PERIOD_MS) return true;
    return this.budget.isReservationLow() && ageMs >= MIN_WRITE_PERIOD_MS;
  }

  /** Records an attempt to write. */
  recordWrite(nowMs: number): void {
    this.writtenMs = nowMs;
  }

  /**
   * Gets the row with the counts and the evidence up to now.
   *
   * @param nowMs - current time, monotonic milliseconds
   * @param phase - phase for which requests are reserved
   */
  createCurrentRow(nowMs: number, phase = this.row.phase): RolloutRow {
    if (!this.isInProgress()) return this.row;
    const isFinishing = phase === RolloutPhase.FINISHING;
    const {target, startedMs} = this.row;
    return {
      ...this.row,
      ...this.budget.createCounts(isFinishing, nowMs),
      evidence: {...this.evidence.encode({target, startedMs})},
    };
  }

  /** Goes on from a row that this daemon has written. */
  acceptRow(row: RolloutRow): void {
    const former = this.row;
    this.row = row;
    this.budget.acceptLimit(row.targetLimit);
    if (row.orderVersion === former.orderVersion) return;
    this.budget = new ExposureBudget(row, this.bounds);
    this.latest = undefined;
    if (row.target !== former.target) this.evidence = new RolloutEvidence();
  }

  /**
   * Gets the decision on the evidence, at most {@link DECISION_PERIOD_MS} old.
   *
   * @param storeMs - current time, milliseconds of the store's clock
   * @param hasTargetServers - whether servers of the target accept work
   * @param isTransition - whether a phase ends if the decision is good; the
   *     decision is made again then
   */
  getDecision(
    storeMs: number,
    hasTargetServers: boolean,
    isTransition: boolean,
  ): RolloutDecision {
    const known = this.latest;
    const isRecent =
      known !== undefined && storeMs - known.atMs < DECISION_PERIOD_MS;
    if (known && isRecent && !isTransition) return known.decision;
    const {target, startedMs, durationMs} = this.row;
    const decision = decideRollout(this.evidence, {
      target,
      startedMs,
      deadlineMs: computeRolloutSchedule(startedMs, durationMs).deadlineMs,
      nowMs: storeMs,
      hasTargetServers,
      hasTraffic: this.budget.getCounts().requests > 0,
    });
    this.latest = {atMs: storeMs, decision};
    return decision;
  }
}
