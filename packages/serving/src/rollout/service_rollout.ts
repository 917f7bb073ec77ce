/**
 * Decides on the rollout of one service while this daemon owns the service's pool,
 * and tells on every daemon what a software version may be used for.
 */
import {type Clock, type EventLog, ServingEvent} from '@savoryspur/common';
import {RolloutPhase, type RolloutRow} from '@savoryspur/schema';
import type {RowStore} from '../store/row_store.js';
import {createTakeoverCounts} from './exposure_budget.js';
import {RolloutClaim} from './rollout_claim.js';
import {type RolloutDecision, RolloutVerdict} from './rollout_decision.js';
import {
  type CallEvidence,
  type EncodedEvidence,
  RolloutEvidence,
} from './rollout_evidence.js';
import {RolloutKnowledge, STALE_ROWS_MS} from './rollout_knowledge.js';
import {type ReadRow, RolloutRowStore} from './rollout_row_store.js';
import {computeRolloutSchedule} from './rollout_schedule.js';
import {
  createEndedRow,
  createOrderedRow,
  type TransitionContext,
} from './rollout_transitions.js';
import type {
  EncodeRolloutStatus,
  RolloutBounds,
  RolloutOrder,
} from './rollout_types.js';
import {isInProgress, VersionUse} from './version_use.js';

/** Age of the latest proof that this daemon is the decider up to which it grants the target, as a fraction of the time in which a bad version must get nothing. */
const WATCHING_LEASE_FRACTION = 0.4;

/** The same while all new work goes to the target: refusing it would be an outage of the service. */
const FINISHING_LEASE_FRACTION = 0.8;

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

/** Rollout of one service on one daemon. */
export class ServiceRollout {
  private readonly known: RolloutKnowledge;
  private rowVersion = 0;
  private claim: RolloutClaim | undefined;
  /** Row whose status the store has. */
  private publishedRow: string | undefined;
  private readonly rows: RolloutRowStore;

  /**
   * @param options - components that the rollout uses
   */
  constructor(private readonly options: ServiceRolloutOptions) {
    const {service, store, writer} = options;
    this.rows = new RolloutRowStore(service, store, writer);
    this.known = new RolloutKnowledge(() => store.now());
  }

  /** Sets the order in force and the version of the store up to which orders are known. */
  setOrder(order: RolloutOrder | undefined, ordersVersion: number): void {
    this.known.setOrder(order, ordersVersion);
  }

  /** Applies a row that this daemon has followed. */
  applyRow(row: RolloutRow, version: number): void {
    if (version <= this.rowVersion) return;
    if (this.claim) {
      // The decider reads its own rows. A newer row of another daemon ends the claim.
      if (row.writer === this.options.writer) return;
      this.dropClaim();
    }
    this.rowVersion = version;
    this.known.setRow(row);
  }

  /** Gets the latest known row. */
  getRow(): RolloutRow | undefined {
    return this.known.getRow();
  }

  /** Gets the order in force. */
  getOrder(): RolloutOrder | undefined {
    return this.known.getOrder();
  }

  /** Whether this daemon decides on the rollout. */
  isDecider(): boolean {
    return this.claim !== undefined;
  }

  /** Gets the requests granted since the order, as far as this daemon knows. */
  getCounts(): {requests: number; targetRequests: number} {
    const {requests = 0, targetRequests = 0} = this.getRow() ?? {};
    return this.claim?.budget.getCounts() ?? {requests, targetRequests};
  }

  /** Gets what a software version may be used for. */
  getUse(version: string): VersionUse {
    return this.known.getUse(version);
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
    const isProven = this.hasLease(WATCHING_LEASE_FRACTION);
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
      this.hasLease(FINISHING_LEASE_FRACTION) || this.options.isOutageShared();
    return isProvenLonger && (this.known.isMaybeCompleted() || !isTargetFull);
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
    if (!this.known.isReplacementDue(version)) return false;
    if (this.hasLease(WATCHING_LEASE_FRACTION)) return false;
    const {options} = this;
    return options.getRowsAgeMs() > STALE_ROWS_MS && !options.isOutageShared();
  }

  /** Records that the pool of this daemon granted a server. */
  recordGrant(version: string): void {
    this.claim?.recordGrant(version);
  }

  /** Records a call that has ended. */
  recordCall(call: CallEvidence): void {
    this.claim?.recordCall(call, this.known.getStoreMs());
  }

  /** Decides in memory whether to roll back, without a call to the store. */
  updateVerdict(): void {
    if (this.claim?.isInProgress()) this.updateRollback(this.claim, false);
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
    const row = this.getRow();
    if (row && isInProgress(row.phase)) return true;
    const planned = createOrderedRow(
      row,
      this.getOrder(),
      this.createContext(),
    );
    return planned !== undefined;
  }

  /** Reads the row and goes on from it, after this daemon has become the owner. */
  private async takeOver(): Promise<void> {
    const read = await this.readRow();
    // Without the store's clock the rollout would have no start.
    if (!read || this.options.store.now() === undefined) return;
    const {row, version} = read;
    const planned = createOrderedRow(
      row,
      this.getOrder(),
      this.createContext(),
    );
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
    this.known.setRow(written.value);
    this.known.setRollback(undefined);
    this.known.setCompleting(false);
    const {bounds} = this.options;
    this.claim = new RolloutClaim(
      written.value,
      counts,
      evidence,
      writtenMs,
      bounds,
    );
    this.recordEvent(ServingEvent.ROLLOUT_CLAIMED, written.value);
  }

  /** Takes the next step of a rollout that this daemon decides on. */
  private async decide(claim: RolloutClaim): Promise<void> {
    const context = this.createContext();
    const nowMs = this.options.clock.now();
    const order = this.getOrder();
    if (createOrderedRow(claim.row, order, context)) {
      const current = claim.createCurrentRow(nowMs);
      const ordered = createOrderedRow(current, order, context);
      if (ordered) return this.write(claim, ordered);
    }
    if (!claim.isInProgress()) return;
    const next = this.createNextRow(claim, context);
    if (next) return this.write(claim, next);
    if (claim.isWriteDue(nowMs)) {
      await this.write(claim, claim.createCurrentRow(nowMs));
    }
  }

  /** Plans the next phase; undefined when it is not due. */
  private createNextRow(
    claim: RolloutClaim,
    context: TransitionContext,
  ): RolloutRow | undefined {
    const {row} = claim;
    const monotonicMs = this.options.clock.now();
    const isDue = isPhaseOver(row, context.nowMs);
    const decision = this.updateRollback(claim, isDue);
    const reason = this.known.getRollback();
    if (reason !== undefined) {
      const current = claim.createCurrentRow(monotonicMs);
      return createEndedRow(current, RolloutPhase.ROLLED_BACK, reason, context);
    }
    if (!isDue) return undefined;
    if (row.phase === RolloutPhase.FINISHING) {
      const current = claim.createCurrentRow(monotonicMs);
      const phase = RolloutPhase.COMPLETED;
      return createEndedRow(current, phase, undefined, context);
    }
    if (decision.kind !== RolloutVerdict.COMPLETE) return undefined;
    const phase = RolloutPhase.FINISHING;
    const current = claim.createCurrentRow(monotonicMs, phase);
    return {...current, phase, phaseMs: context.nowMs};
  }

  /** Decides in memory whether to roll back, which takes effect before it is written. */
  private updateRollback(
    claim: RolloutClaim,
    isTransition: boolean,
  ): RolloutDecision {
    const {target, phase, startedMs, durationMs} = claim.row;
    const nowMs = this.known.getStoreMs();
    const hasServers = this.options.listServerVersions().includes(target);
    const decision = claim.getDecision(nowMs, hasServers, isTransition);
    if (this.known.getRollback() !== undefined) return decision;
    const isLate =
      phase === RolloutPhase.WATCHING &&
      nowMs >= computeRolloutSchedule(startedMs, durationMs).deadlineMs;
    if (decision.kind === RolloutVerdict.ROLL_BACK) {
      this.known.setRollback(decision.reason);
    } else if (isLate && decision.kind === RolloutVerdict.KEEP) {
      const missing = hasServers
        ? 'not enough evidence'
        : 'no server of the target';
      this.known.setRollback(`${missing} before the deadline`);
    }
    return decision;
  }

  /** Writes the next row if this daemon is still the decider. */
  private async write(claim: RolloutClaim, next: RolloutRow): Promise<void> {
    const {clock} = this.options;
    const readMs = clock.now();
    claim.recordWrite(readMs);
    const read = await this.readRow();
    if (!read || this.claim !== claim) return;
    if (!read.isOwn) return this.dropClaim();
    claim.provenMs = readMs;
    if (read.row && read.row.sequence !== claim.row.sequence) {
      // A write whose answer was lost took effect: the next step follows from it.
      this.acceptRow(claim, read.row);
      claim.recordWrite(Number.NEGATIVE_INFINITY);
      return;
    }
    if (next.phase === RolloutPhase.COMPLETED) this.known.setCompleting(true);
    const startedMs = clock.now();
    const written = await this.rows.write(next, read.version);
    if (this.claim !== claim || written.isErr()) return;
    if (!written.value) return this.dropClaim();
    claim.provenMs = startedMs;
    this.acceptRow(claim, written.value);
  }

  /** Goes on from a row that this daemon has written. */
  private acceptRow(claim: RolloutClaim, row: RolloutRow): void {
    const former = claim.row;
    claim.acceptRow(row);
    this.known.setRow(row);
    const isNewOrder = row.orderVersion !== former.orderVersion;
    const isNewPhase = row.phase !== former.phase;
    if (isNewOrder || !isInProgress(row.phase))
      this.known.setRollback(undefined);
    if (!isNewOrder && !isNewPhase) return;
    this.known.setCompleting(false);
    this.recordEvent(ServingEvent.ROLLOUT_PHASE_CHANGED, row);
  }

  /** Writes the status of the latest row, once for each state. */
  private async publishStatus(): Promise<void> {
    const row = this.getRow();
    if (!row || row.orderVersion < (this.getOrder()?.orderVersion ?? 0)) return;
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
      this.known.setRow(read.value.row);
    }
    return read.value;
  }

  /** Gives up the decision: another daemon owns the pool, or has claimed the rollout. */
  private dropClaim(): void {
    if (!this.claim) return;
    this.recordEvent(ServingEvent.ROLLOUT_LEFT, this.claim.row);
    this.claim = undefined;
    this.publishedRow = undefined;
    this.known.setRollback(undefined);
    this.known.setCompleting(false);
    this.rows.dropWrites();
  }

  private hasLease(fraction: number): boolean {
    return this.claim?.hasLease(fraction, this.options.clock.now()) === true;
  }

  private createContext(): TransitionContext {
    return {
      ordersVersion: this.known.getOrdersVersion(),
      nowMs: this.known.getStoreMs(),
      versions: this.options.listVersions(),
    };
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

/** Whether the phase of a rollout in progress lasts no longer. */
function isPhaseOver(row: RolloutRow, nowMs: number): boolean {
  const schedule = computeRolloutSchedule(row.startedMs, row.durationMs);
  if (nowMs >= schedule.deadlineMs) return true;
  return row.phase === RolloutPhase.WATCHING
    ? nowMs >= schedule.finishingStartMs
    : nowMs >= row.phaseMs + schedule.finishingMs;
}
