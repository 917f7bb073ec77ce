/**
 * Decides on the rollout of one service while this daemon owns the service's pool,
 * and tells on every daemon what a software version may be used for.
 */
import {type Clock, type EventLog, ServingEvent} from '@savoryspur/common';
import {RolloutPhase, type RolloutRow} from '@savoryspur/schema';
import type {RowStore} from '../store/row_store.js';
import {createTakeoverCounts, ExposureBudget} from './exposure_budget.js';
import {
  type TransitionContext,
  createEndedRow,
  createOrderedRow,
} from './rollout_transitions.js';
import {decideRollout, RolloutVerdict} from './rollout_decision.js';
import {
  type CallEvidence,
  type EncodedEvidence,
  RolloutEvidence,
} from './rollout_evidence.js';
import {type ReadRow, RolloutRowStore} from './rollout_row_store.js';
import {computeRolloutSchedule} from './rollout_schedule.js';
import type {
  EncodeRolloutStatus,
  RolloutBounds,
  RolloutOrder,
} from './rollout_types.js';
import {getVersionUse, isInProgress, VersionUse} from './version_use.js';

/** Time between two writes while a rollout is in progress, milliseconds. */
const WRITE_PERIOD_MS = 1000;

/** Shortest time between two writes because the reservation is low, milliseconds. */
const MIN_WRITE_PERIOD_MS = 250;

/** Age of the latest proof that this daemon is the decider up to which it grants the target, as a fraction of the time in which a bad version must get nothing. */
const WATCHING_LEASE_FRACTION = 0.4;

/** The same while all new work goes to the target: refusing it would be an outage of the service. */
const FINISHING_LEASE_FRACTION = 0.8;

/** Age of the rows from which a daemon assumes that a completion may have been written, milliseconds: more than the longest wait of a watch. */
const STALE_ROWS_MS = 3000;

/** Components that a rollout uses. */
export interface ServiceRolloutOptions {
  service: string;
  /** Incarnation of this daemon. */
  writer: string;
  store: RowStore;
  clock: Clock;
  log: EventLog;
  bounds: RolloutBounds;
  encodeStatus: EncodeRolloutStatus;
  /** Whether the store answers none of the daemons, so that none can have claimed the rollout. */
  isOutageShared: () => boolean;
  /** Gets the time since the store last confirmed the rows that this daemon follows, milliseconds. */
  getRowsAgeMs: () => number;
  /** Lists the software versions of the service that are or were listed. */
  listVersions: () => string[];
  /** Lists the software versions of the servers that accept work. */
  listServerVersions: () => string[];
}

/** State of a daemon that decides on a rollout. */
interface Claim {
  row: RolloutRow;
  budget: ExposureBudget;
  evidence: RolloutEvidence;
  /** Latest time at which no other daemon had claimed the rollout, monotonic milliseconds. */
  provenMs: number;
  /** Latest attempt to write, monotonic milliseconds. */
  writtenMs: number;
}

/** Rollout of one service on one daemon. */
export class ServiceRollout {
  private order: RolloutOrder | undefined;
  /** When this daemon read the order, milliseconds of the store's clock. */
  private orderSeenMs = 0;
  private ordersVersion = -1;
  private row: RolloutRow | undefined;
  private rowVersion = 0;
  private claim: Claim | undefined;
  private rollbackReason: string | undefined;
  private isCompleting = false;
  /** Row whose status the store has. */
  private publishedRow: string | undefined;
  private lastStoreMs = 0;
  private readonly rows: RolloutRowStore;

  /**
   * @param options - components that the rollout uses
   */
  constructor(private readonly options: ServiceRolloutOptions) {
    const {service, store, writer} = options;
    this.rows = new RolloutRowStore(service, store, writer);
  }

  /** Sets the order in force and the version of the store up to which orders are known. */
  setOrder(order: RolloutOrder | undefined, ordersVersion: number): void {
    if (order?.orderVersion !== this.order?.orderVersion) {
      this.orderSeenMs = this.getStoreMs();
    }
    this.order = order;
    this.ordersVersion = ordersVersion;
  }

  /** Applies a row that this daemon has followed. */
  applyRow(row: RolloutRow, version: number): void {
    if (version < this.rowVersion) return;
    this.rowVersion = version;
    this.setRow(row);
  }

  /** Gets the latest known row. */
  getRow(): RolloutRow | undefined {
    return this.claim?.row ?? this.row;
  }

  /** Gets the order in force. */
  getOrder(): RolloutOrder | undefined {
    return this.order;
  }

  /** Whether this daemon decides on the rollout. */
  isDecider(): boolean {
    return this.claim !== undefined;
  }

  /** Gets the requests granted since the order, as far as this daemon knows. */
  getCounts(): {requests: number; targetRequests: number} {
    const {requests = 0, targetRequests = 0} = this.row ?? {};
    return this.claim?.budget.getCounts() ?? {requests, targetRequests};
  }

  /** Whether there is nothing to do any more. */
  isSettled(): boolean {
    const row = this.getRow();
    return this.order === undefined && (!row || !isInProgress(row.phase));
  }

  /** Gets what a software version may be used for. */
  getUse(version: string): VersionUse {
    return getVersionUse(version, {
      order: this.order,
      ordersVersion: this.ordersVersion,
      row: this.getRow(),
      isRolledBack: this.rollbackReason !== undefined,
      isCompleting: this.isCompleting,
    });
  }

  /**
   * Whether the pool of this daemon may grant a server of a version.
   *
   * @param version - software version of the server
   * @param isContinuation - whether the request must continue at this version
   * @param isCanary - whether the server is one of the few that are observed
   */
  isGrantAllowed(
    version: string,
    isContinuation: boolean,
    isCanary: boolean,
  ): boolean {
    const use = this.getUse(version);
    if (use === VersionUse.NONE) return false;
    if (use === VersionUse.FREE) return !this.isMaybeRetired(version);
    const {claim} = this;
    if (!claim) return false;
    const isProven = this.hasLease(claim, WATCHING_LEASE_FRACTION);
    // While no other daemon can complete the rollout, the old version takes what
    // the bound keeps from the target.
    const isTargetFull = !claim.budget.hasFullBudget();
    if (use === VersionUse.CONTINUATIONS) {
      if (isProven && isContinuation) return true;
      return isTargetFull && (isProven || this.options.isOutageShared());
    }
    if (use === VersionUse.OBSERVED) {
      if (!isProven || isTargetFull) return false;
      return isContinuation || (isCanary && claim.budget.hasWatchingBudget());
    }
    const isProvenLonger =
      this.hasLease(claim, FINISHING_LEASE_FRACTION) ||
      this.options.isOutageShared();
    return isProvenLonger && (this.isCompleting || !isTargetFull);
  }

  /** Whether this daemon may use a server of a version without a pool owner. */
  isStandaloneAllowed(version: string): boolean {
    const use = this.getUse(version);
    const isOther = use === VersionUse.FREE || use === VersionUse.CONTINUATIONS;
    return isOther && !this.isMaybeRetired(version);
  }

  /**
   * Whether a version may have been replaced meanwhile: the completion is due, and
   * this daemon was paused or cut off from the store, so that it may not know.
   */
  private isMaybeRetired(version: string): boolean {
    const dueMs = this.getCompletionDueMs(version);
    if (dueMs === undefined || this.getStoreMs() < dueMs) return false;
    const {claim, options} = this;
    if (claim && this.hasLease(claim, WATCHING_LEASE_FRACTION)) return false;
    return options.getRowsAgeMs() > STALE_ROWS_MS && !options.isOutageShared();
  }

  /** Gets the earliest time at which a version may be replaced, as far as this daemon knows; undefined without a rollout that may do so. */
  private getCompletionDueMs(version: string): number | undefined {
    const {order} = this;
    const row = this.getRow();
    if (order && order.orderVersion > (row?.orderVersion ?? -1)) {
      if (order.rejection !== undefined || order.target === version)
        return undefined;
      // Another daemon may have read the order earlier.
      const startedMs = this.orderSeenMs - STALE_ROWS_MS;
      return computeRolloutSchedule(startedMs, order.durationMs)
        .finishingStartMs;
    }
    if (!row || !isInProgress(row.phase) || version === row.target)
      return undefined;
    return this.getSchedule(row).finishingStartMs;
  }

  /** Records that the pool of this daemon granted a server. */
  recordGrant(version: string): void {
    const {claim} = this;
    if (!claim || !isInProgress(claim.row.phase)) return;
    claim.budget.recordGrant(version === claim.row.target);
  }

  /** Records a call that has ended. */
  recordCall(call: CallEvidence): void {
    const {claim} = this;
    if (!claim || !isInProgress(claim.row.phase)) return;
    claim.evidence.record(call, this.getStoreMs());
  }

  /**
   * Takes the steps that are due.
   *
   * @param isOwner - whether this daemon owns the pool of the service
   */
  async advance(isOwner: boolean): Promise<void> {
    if (!isOwner) {
      this.dropClaim();
      return;
    }
    if (!this.claim) {
      if (this.hasWork()) await this.takeOver();
    } else {
      await this.decide(this.claim);
    }
    await this.publishStatus();
  }

  /** Whether the known row leaves something to decide. */
  private hasWork(): boolean {
    const {row} = this;
    if (row && isInProgress(row.phase)) return true;
    return (
      createOrderedRow(row, this.order, this.createContext()) !== undefined
    );
  }

  /** Reads the row and goes on from it, after this daemon has become the owner. */
  private async takeOver(): Promise<void> {
    const read = await this.readRow();
    if (!read) return;
    const {row, version} = read;
    const planned = createOrderedRow(row, this.order, this.createContext());
    if (!planned && (!row || !isInProgress(row.phase))) return;
    const base = planned ?? row;
    if (!base) return;
    const isContinued = !planned && row !== undefined;
    const counts = isContinued ? createTakeoverCounts(row) : base;
    // A new decider observes the whole time of a phase.
    const {nowMs} = this.createContext();
    const phaseMs = isContinued ? nowMs : base.phaseMs;
    const claimed: RolloutRow = {...base, ...counts, phaseMs};
    const evidence = base.evidence
      ? RolloutEvidence.restore(base.evidence as unknown as EncodedEvidence)
      : new RolloutEvidence();
    const writtenMs = this.options.clock.now();
    const written = await this.rows.write(claimed, version);
    if (written.isErr() || !written.value) return;
    this.setRow(written.value);
    this.rollbackReason = undefined;
    this.isCompleting = false;
    this.claim = {
      row: written.value,
      budget: new ExposureBudget(counts, this.options.bounds),
      evidence,
      provenMs: writtenMs,
      writtenMs: Number.NEGATIVE_INFINITY,
    };
    this.recordEvent(ServingEvent.ROLLOUT_CLAIMED, written.value);
  }

  /** Takes the next step of a rollout that this daemon decides on. */
  private async decide(claim: Claim): Promise<void> {
    const context = this.createContext();
    if (createOrderedRow(claim.row, this.order, context)) {
      const ordered = createOrderedRow(
        this.createCurrentRow(claim),
        this.order,
        context,
      );
      if (ordered) return this.write(claim, ordered);
    }
    if (!isInProgress(claim.row.phase)) return;
    const next = this.createNextRow(claim, context);
    if (next) return this.write(claim, next);
    const ageMs = this.options.clock.now() - claim.writtenMs;
    const isDue =
      ageMs >= WRITE_PERIOD_MS ||
      (claim.budget.isReservationLow() && ageMs >= MIN_WRITE_PERIOD_MS);
    if (isDue) await this.write(claim, this.createCurrentRow(claim));
  }

  /** Plans the next phase; undefined when it is not due. */
  private createNextRow(
    claim: Claim,
    context: TransitionContext,
  ): RolloutRow | undefined {
    const {row} = claim;
    const {nowMs} = context;
    const schedule = this.getSchedule(row);
    this.updateVerdict(claim, nowMs);
    if (this.rollbackReason !== undefined) {
      const reason = this.rollbackReason;
      const phase = RolloutPhase.ROLLED_BACK;
      return createEndedRow(
        this.createCurrentRow(claim),
        phase,
        reason,
        context,
      );
    }
    if (row.phase === RolloutPhase.WATCHING) {
      if (nowMs < schedule.finishingStartMs || !this.isReadyToComplete(claim))
        return undefined;
      const phase = RolloutPhase.FINISHING;
      return {...this.createCurrentRow(claim, phase), phase, phaseMs: nowMs};
    }
    const isOver =
      nowMs >= row.phaseMs + schedule.finishingMs ||
      nowMs >= schedule.deadlineMs;
    if (!isOver) return undefined;
    const phase = RolloutPhase.COMPLETED;
    return createEndedRow(
      this.createCurrentRow(claim),
      phase,
      undefined,
      context,
    );
  }

  private isReadyToComplete(claim: Claim): boolean {
    const {kind} = this.computeDecision(claim, this.getStoreMs());
    return kind === RolloutVerdict.COMPLETE;
  }

  /** Decides in memory whether to roll back, which takes effect before it is written. */
  private updateVerdict(claim: Claim, nowMs: number): void {
    if (this.rollbackReason !== undefined) return;
    const decision = this.computeDecision(claim, nowMs);
    if (decision.kind === RolloutVerdict.ROLL_BACK) {
      this.rollbackReason = decision.reason;
    } else if (
      claim.row.phase === RolloutPhase.WATCHING &&
      nowMs >= this.getSchedule(claim.row).deadlineMs &&
      decision.kind !== RolloutVerdict.COMPLETE
    ) {
      this.rollbackReason = this.options
        .listServerVersions()
        .includes(claim.row.target)
        ? 'not enough evidence before the deadline'
        : 'no server of the target before the deadline';
    }
  }

  private computeDecision(claim: Claim, nowMs: number) {
    const {target, startedMs} = claim.row;
    return decideRollout(claim.evidence, {
      target,
      startedMs,
      deadlineMs: this.getSchedule(claim.row).deadlineMs,
      nowMs,
      hasTargetServers: this.options.listServerVersions().includes(target),
      hasTraffic: claim.budget.getCounts().requests > 0,
    });
  }

  /** Writes the next row if this daemon is still the decider. */
  private async write(claim: Claim, next: RolloutRow): Promise<void> {
    const {clock} = this.options;
    claim.writtenMs = clock.now();
    const read = await this.readRow();
    if (!read || this.claim !== claim) return;
    if (!read.isOwn) return this.dropClaim();
    claim.provenMs = claim.writtenMs;
    this.acceptRow(claim, read.row);
    // A write whose answer was lost may have ended the rollout.
    if (!isInProgress(claim.row.phase) && claim.row.phase !== next.phase)
      return;
    if (next.phase === RolloutPhase.COMPLETED) this.isCompleting = true;
    const startedMs = clock.now();
    const written = await this.rows.write(next, read.version);
    if (this.claim !== claim || written.isErr()) return;
    if (!written.value) return this.dropClaim();
    claim.provenMs = startedMs;
    this.acceptRow(claim, written.value);
  }

  /** Goes on from a row that this daemon has written. */
  private acceptRow(claim: Claim, row: RolloutRow | undefined): void {
    if (!row || row.sequence === claim.row.sequence) return;
    const former = claim.row;
    claim.row = row;
    this.setRow(row);
    claim.budget.acceptLimit(row.targetLimit);
    if (row.orderVersion !== former.orderVersion) {
      claim.budget = new ExposureBudget(row, this.options.bounds);
      if (row.target !== former.target) claim.evidence = new RolloutEvidence();
      this.rollbackReason = undefined;
    }
    if (row.phase === former.phase && row.target === former.target) return;
    this.isCompleting = false;
    if (!isInProgress(row.phase)) this.rollbackReason = undefined;
    this.recordEvent(ServingEvent.ROLLOUT_PHASE_CHANGED, row);
  }

  /** Writes the status of the latest row, once for each state. */
  private async publishStatus(): Promise<void> {
    const row = this.getRow();
    if (!row || row.orderVersion < (this.order?.orderVersion ?? 0)) return;
    const {target, phase, reason} = row;
    const state = isInProgress(phase) ? 'in_progress' : phase;
    const name = `${row.orderVersion} ${state}`;
    if (name === this.publishedRow) return;
    const read = await this.rows.read();
    if (read.isErr()) return;
    const {row: current, version} = read.value;
    const isSame =
      current?.orderVersion === row.orderVersion && current.phase === phase;
    if (!isSame) return;
    const {service, encodeStatus} = this.options;
    const status = encodeStatus({service, target, phase, reason});
    if (await this.rows.writeGuarded(status, version)) {
      this.publishedRow = name;
    }
  }

  private async readRow(): Promise<ReadRow | undefined> {
    const read = await this.rows.read();
    if (read.isErr()) return undefined;
    if (read.value.row && read.value.version >= this.rowVersion) {
      this.rowVersion = read.value.version;
      this.setRow(read.value.row);
    }
    return read.value;
  }

  private setRow(row: RolloutRow): void {
    this.row = row;
  }

  /** Gives up the decision: another daemon owns the pool, or has claimed the rollout. */
  private dropClaim(): void {
    if (!this.claim) return;
    this.recordEvent(ServingEvent.ROLLOUT_LEFT, this.claim.row);
    this.claim = undefined;
    this.publishedRow = undefined;
    this.rollbackReason = undefined;
    this.isCompleting = false;
    this.rows.dropWrites();
  }

  /**
   * Gets the row with the counts and the evidence up to now.
   *
   * @param claim - state of this daemon as the decider
   * @param phase - phase for which requests are reserved
   */
  private createCurrentRow(
    {row, budget, evidence}: Claim,
    phase = row.phase,
  ): RolloutRow {
    if (!isInProgress(row.phase)) return row;
    const isFinishing = phase === RolloutPhase.FINISHING;
    const {target, startedMs} = row;
    return {
      ...row,
      ...budget.createCounts(isFinishing, this.options.clock.now()),
      evidence: {...evidence.encode({target, startedMs})},
    };
  }

  private hasLease({provenMs}: Claim, fraction: number): boolean {
    const leaseMs = this.options.bounds.rollbackMs * fraction;
    return this.options.clock.now() - provenMs < leaseMs;
  }

  private getSchedule({startedMs, durationMs}: RolloutRow) {
    return computeRolloutSchedule(startedMs, durationMs);
  }

  private createContext(): TransitionContext {
    return {
      ordersVersion: this.ordersVersion,
      nowMs: this.getStoreMs(),
      versions: this.options.listVersions(),
    };
  }

  /** Gets the time of the store's clock, which never goes back here. */
  private getStoreMs(): number {
    const {store} = this.options;
    this.lastStoreMs = Math.max(this.lastStoreMs, store.now() ?? 0);
    return this.lastStoreMs;
  }

  private recordEvent(event: ServingEvent, row: RolloutRow): void {
    this.options.log.record(event, {
      service: this.options.service,
      softwareVersion: row.target,
      phase: row.phase,
      reason: row.reason,
      orderVersion: row.orderVersion,
      requests: row.requests,
      targetRequests: row.targetRequests,
    });
  }
}
