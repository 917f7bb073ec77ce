/**
 * The concurrency slots of one backend server, as the pool owner tracks them.
 */
import {
  type EngineLoad,
  type PeerInfo,
  SlotTrafficClass,
  type Pool,
  type Server,
  type WarmUpHint,
} from '@savoryspur/schema';
import type {DelegatedShare} from '@savoryspur/fleet';
import {BatchController} from './batch_controller.js';
import {computeCapacityShare} from './capacity_share.js';
import {ColdDetector} from './cold_detector.js';
import type {SlotUsageReport} from './slot_allocator.js';
import type {TokenIntervalBaseline} from './token_interval_baseline.js';
import {WarmUp} from './warm_up.js';

/**
 * Consecutive failed reads of the load report after which a server gets no new
 * work.
 */
const MAX_CONSECUTIVE_FAILED_READS = 2;

/** A concurrency slot in use, as the owner records it. */
export interface Grant {
  id: string;
  holder: PeerInfo;
  pool: string;
  workspace: string;
  trafficClass: SlotTrafficClass;
  fingerprint: string;
  serverId: string;
  grantedMs: number;
  /**
   * Monotonic time at which the holder was asked to release the slot; undefined
   * while it was not.
   */
  revokedMs?: number;
}

/** Grants, capacity and health of one backend server. */
export class ServerSlots {
  /** Slots in use, by grant id. */
  readonly grants = new Map<string, Grant>();
  /** Capacity of the server while it warms up. */
  readonly warmUp: WarmUp;
  /** Limit on the slots that batch work uses. */
  readonly batchController = new BatchController();
  /** Last load report; undefined before the first one. */
  loadReport: EngineLoad | undefined;
  /** Monotonic time until which load reports count beside the grants. */
  useLoadReportsUntilMs = 0;
  /**
   * Whether the configuration lists the server; otherwise the server gets no
   * new work.
   */
  isListed = true;
  /**
   * Whether a crash check is running because a connection to the server broke.
   */
  isCrashSuspected = false;
  /** Whether the grants of other owners are still being recovered. */
  isRecoveringGrants = true;
  private pendingHint: {hint: WarmUpHint; createdMs: number} | undefined;
  private readonly coldDetector: ColdDetector;
  private batchCount = 0;
  private consecutiveFailedReads = 0;

  /**
   * @param server - the backend server
   * @param pool - pool of the server
   * @param baseline - token intervals of the pool's warm servers
   */
  constructor(
    public server: Server,
    public pool: Pool,
    baseline: TokenIntervalBaseline,
  ) {
    this.coldDetector = new ColdDetector(baseline);
    this.warmUp = new WarmUp(pool);
  }

  /** Counts the slots that batch work uses. */
  countBatchGrants(): number {
    return this.batchCount;
  }

  /** Adds a grant. */
  add(grant: Grant): void {
    this.grants.set(grant.id, grant);
    if (grant.trafficClass === SlotTrafficClass.BATCH) this.batchCount += 1;
  }

  /** Removes a grant; an unknown id is ignored. */
  remove(grantId: string): void {
    const grant = this.grants.get(grantId);
    if (!grant) return;
    this.grants.delete(grantId);
    if (grant.trafficClass === SlotTrafficClass.BATCH) this.batchCount -= 1;
  }

  /**
   * Gets the number of concurrent requests up to which the server gets new
   * work, from all owners together.
   */
  getCapacity(): number {
    if (this.isCrashSuspected) return this.warmUp.getColdCapacity();
    return this.warmUp.getCapacity();
  }

  /** Computes the number of slots that this owner may grant on the server. */
  computeLimit(share: DelegatedShare): number {
    return computeCapacityShare(this.getCapacity(), share);
  }

  /**
   * Counts the slots in use: the grants, or the reported load when it counts
   * and is higher.
   */
  countUsedSlots(nowMs: number): number {
    if (!this.isUsingLoadReports(nowMs)) return this.grants.size;
    const {running = 0, queued = 0} = this.loadReport ?? {};
    return Math.max(this.grants.size, running + queued);
  }

  /**
   * Tells whether the server gets new work at all. During grant recovery only a
   * warm server gets new work.
   */
  isOpen(): boolean {
    if (!this.isListed || this.loadReport === undefined) return false;
    if (this.consecutiveFailedReads >= MAX_CONSECUTIVE_FAILED_READS)
      return false;
    return !this.isRecoveringGrants || this.warmUp.isWarm();
  }

  /** Tells whether a slot is free for requests of a class. */
  hasFreeSlot(
    trafficClass: SlotTrafficClass,
    share: DelegatedShare,
    nowMs: number,
  ): boolean {
    if (!this.isOpen()) return false;
    const limit = this.computeLimit(share);
    const used = this.countUsedSlots(nowMs);
    if (trafficClass === SlotTrafficClass.ONLINE) return used < limit;
    if (this.batchCount >= this.batchController.getLimit()) return false;
    return used < limit - this.computeHeadroom(limit);
  }

  /**
   * Computes the slots that batch work leaves free. A server that is not warm
   * leaves one slot to batch work, which warms the server up and is preempted
   * for online work.
   */
  computeHeadroom(limit: number): number {
    if (this.warmUp.isWarm()) return this.pool.headroom;
    return Math.min(this.pool.headroom, Math.max(limit - 1, 0));
  }

  /**
   * Adjusts the limit on batch slots; called once in each maintenance period.
   */
  adjustBatchLimit(share: DelegatedShare, nowMs: number): void {
    const limit = this.computeLimit(share);
    const max = limit - this.computeHeadroom(limit);
    this.batchController.adjust(nowMs, this.batchCount, max);
  }

  /**
   * Counts the batch grants beyond what the server can carry or the batch
   * controller allows. The lower capacity during a crash check preempts no
   * batch work.
   */
  countExcessBatchGrants(share: DelegatedShare): number {
    const limit = this.computeLimit(share);
    const overLimit = this.isCrashSuspected ? 0 : this.grants.size - limit;
    const overBatch = this.batchCount - this.batchController.getLimit();
    const excess = Math.max(overLimit, overBatch, 0);
    return Math.min(excess, this.batchCount);
  }

  /** Treats the server as cold from now on. */
  resetWarmUp(): void {
    this.warmUp.reset();
    this.batchController.reset();
    this.coldDetector.reset();
  }

  /**
   * Records how the use of a slot ended.
   *
   * @returns whether the server is to be treated as cold
   */
  recordUsageEnd(grant: Grant, report: SlotUsageReport): boolean {
    if (grant.trafficClass === SlotTrafficClass.ONLINE) {
      this.batchController.observe(this.pool, report, this.batchCount);
    }
    return this.coldDetector.observe(grant.fingerprint, report, {
      serverId: this.server.id,
      pool: this.pool,
      isWarm: this.warmUp.isWarm(),
      usedSlots: this.grants.size,
    });
  }

  /**
   * Records a load report.
   *
   * @returns whether the boot marker shows that the server has restarted
   */
  recordLoadReport(report: EngineLoad): boolean {
    const hasRestarted =
      this.loadReport !== undefined && this.loadReport.boot !== report.boot;
    this.loadReport = report;
    this.consecutiveFailedReads = 0;
    if (hasRestarted) this.resetWarmUp();
    this.applyWarmUpHint();
    return hasRestarted;
  }

  /**
   * Starts grant recovery.
   *
   * @param nowMs - monotonic time, milliseconds
   * @param loadReportUseMs - time for which load reports count, milliseconds
   */
  beginGrantRecovery(nowMs: number, loadReportUseMs: number): void {
    this.isRecoveringGrants = true;
    this.useLoadReportsUntilMs = nowMs + loadReportUseMs;
  }

  /** Ends grant recovery; warm-up hints received until then no longer apply. */
  finishGrantRecovery(): void {
    this.isRecoveringGrants = false;
    this.pendingHint = undefined;
  }

  /** Tells whether load reports count beside the grants. */
  isUsingLoadReports(nowMs: number): boolean {
    return nowMs < this.useLoadReportsUntilMs;
  }

  /**
   * Extends the use of load reports while they show more requests than there
   * are grants, such as requests of a dead holder that the server still runs.
   */
  keepUsingLoadReports(nowMs: number, loadReportUseMs: number): void {
    if (!this.isUsingLoadReports(nowMs)) return;
    const {running = 0, queued = 0} = this.loadReport ?? {};
    if (running + queued <= this.grants.size) return;
    this.useLoadReportsUntilMs = nowMs + loadReportUseMs;
  }

  /** Records a warm-up hint of a former owner; the most recent hint wins. */
  recordWarmUpHint(hint: WarmUpHint, nowMs: number): void {
    if (!this.isRecoveringGrants) return;
    const createdMs = nowMs - hint.ageMs;
    if (this.pendingHint && this.pendingHint.createdMs >= createdMs) return;
    this.pendingHint = {hint, createdMs};
    this.applyWarmUpHint();
  }

  /** Applies the warm-up hint if the server has not restarted since. */
  private applyWarmUpHint(): void {
    const hint = this.pendingHint?.hint;
    if (!hint || hint.boot !== this.loadReport?.boot) return;
    this.warmUp.applyHintedCapacity(hint.capacity);
  }

  /**
   * Clears the load report and the warm-up, because a host that is not owner
   * does not update them.
   */
  clearLoadReport(): void {
    this.loadReport = undefined;
    this.resetWarmUp();
  }

  /**
   * Records a failed read of the load report.
   *
   * @param isRefused - whether the server refused the connection, which closes
   *     the server to new work at once
   */
  recordFailedLoadRead(isRefused: boolean): void {
    this.consecutiveFailedReads += isRefused ? MAX_CONSECUTIVE_FAILED_READS : 1;
  }

  /** Makes the warm-up hint that holders keep for the next owner. */
  createWarmUpHint(): WarmUpHint {
    return {
      serverId: this.server.id,
      boot: this.loadReport?.boot ?? '',
      capacity: this.warmUp.getCapacity(),
      ageMs: 0,
    };
  }
}
