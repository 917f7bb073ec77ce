/** The places of one backend server, as its owner keeps them. */
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

/** Failed load reads in a row after which a server gets no work. */
const MAX_FAILED_READS = 2;

/** A place in use. */
export interface Grant {
  id: string;
  holder: PeerInfo;
  pool: string;
  workspace: string;
  trafficClass: SlotTrafficClass;
  fingerprint: string;
  serverId: string;
  grantedMs: number;
  /** When the place was taken back; undefined while it is not. */
  revokedMs?: number;
}

/** The places of one backend server. */
export class ServerSlots {
  /** Places in use by grant id. */
  readonly grants = new Map<string, Grant>();
  /** Slow start of the server. */
  readonly warmth: WarmUp;
  /** Bound on batch places. */
  readonly batch = new BatchController();
  /** Last load report. */
  reported: EngineLoad | undefined;
  /** Time until which load reports count beside the grants. */
  trustReportUntilMs = 0;
  /** Whether the configuration gives it new work. */
  isListed = true;
  /** Whether a broken connection may have been a crash. */
  isDoubted = false;
  /** Whether the grants of other owners are still being counted. */
  isSettling = true;
  private pendingKnowledge: {value: WarmUpHint; saidMs: number} | undefined;
  private readonly signs: ColdDetector;
  private batchCount = 0;
  private failedReads = 0;

  /**
   * @param server - the backend server
   * @param pool - its pool
   * @param pace - time between tokens of the pool's warm servers
   */
  constructor(
    public server: Server,
    public pool: Pool,
    pace: TokenIntervalBaseline,
  ) {
    this.signs = new ColdDetector(pace);
    this.warmth = new WarmUp(pool);
  }

  /** Counts the places that batch work uses. */
  countBatch(): number {
    return this.batchCount;
  }

  /** Adds a place in use. */
  add(grant: Grant): void {
    this.grants.set(grant.id, grant);
    if (grant.trafficClass === SlotTrafficClass.BATCH) this.batchCount += 1;
  }

  /** Removes a place in use. */
  remove(grantId: string): void {
    const grant = this.grants.get(grantId);
    if (!grant) return;
    this.grants.delete(grantId);
    if (grant.trafficClass === SlotTrafficClass.BATCH) this.batchCount -= 1;
  }

  /** Gets the requests at once that new work may bring the server to. */
  getCapacity(): number {
    if (this.isDoubted) return this.warmth.getColdCapacity();
    return this.warmth.getCapacity();
  }

  /** Computes the requests at once that this owner may place. */
  computeLimit(share: DelegatedShare): number {
    return computeCapacityShare(this.getCapacity(), share);
  }

  /** Counts the places in use, own and reported. */
  countUsed(nowMs: number): number {
    if (!this.isReportTrusted(nowMs)) return this.grants.size;
    const {running = 0, queued = 0} = this.reported ?? {};
    return Math.max(this.grants.size, running + queued);
  }

  /** Tells whether the server takes new work at all. */
  isOpen(): boolean {
    if (!this.isListed || this.reported === undefined) return false;
    if (this.failedReads >= MAX_FAILED_READS) return false;
    return !this.isSettling || this.warmth.isWarm();
  }

  /** Tells whether a place is free for a class. */
  isFree(
    trafficClass: SlotTrafficClass,
    share: DelegatedShare,
    nowMs: number,
  ): boolean {
    if (!this.isOpen()) return false;
    const limit = this.computeLimit(share);
    const used = this.countUsed(nowMs);
    if (trafficClass === SlotTrafficClass.ONLINE) return used < limit;
    if (this.batchCount >= this.batch.getLimit()) return false;
    return used < limit - this.computeHeadroom(limit);
  }

  /**
   * Computes the places that batch work leaves free. A server that is not warm
   * keeps one place for batch work, which warms it and yields to online work.
   */
  computeHeadroom(limit: number): number {
    if (this.warmth.isWarm()) return this.pool.headroom;
    return Math.min(this.pool.headroom, Math.max(limit - 1, 0));
  }

  /** Adjusts the bound on batch places. */
  adjustBatch(share: DelegatedShare, nowMs: number): void {
    const limit = this.computeLimit(share);
    const max = limit - this.computeHeadroom(limit);
    this.batch.adjust(nowMs, this.batchCount, max);
  }

  /**
   * Counts the batch places beyond what the server can carry or the controller
   * allows. Doubt alone takes none back.
   */
  countExcessBatch(share: DelegatedShare): number {
    const limit = this.computeLimit(share);
    const overLimit = this.isDoubted ? 0 : this.grants.size - limit;
    const overBatch = this.batchCount - this.batch.getLimit();
    const excess = Math.max(overLimit, overBatch, 0);
    return Math.min(excess, this.batchCount);
  }

  /** Treats the server as cold. */
  resetWarmth(): void {
    this.warmth.reset();
    this.batch.reset();
    this.signs.reset();
  }

  /**
   * Records how the use of a place ended.
   *
   * @returns whether it shows that the server is cold
   */
  recordEnd(grant: Grant, report: SlotUsageReport): boolean {
    if (grant.trafficClass === SlotTrafficClass.ONLINE) {
      this.batch.observe(this.pool, report, this.batchCount);
    }
    return this.signs.observe(grant.fingerprint, report, {
      serverId: this.server.id,
      pool: this.pool,
      isWarm: this.warmth.isWarm(),
      inUse: this.grants.size,
    });
  }

  /**
   * Records a load report.
   *
   * @returns whether the server runs anew
   */
  recordLoad(load: EngineLoad): boolean {
    const isNew =
      this.reported !== undefined && this.reported.boot !== load.boot;
    this.reported = load;
    this.failedReads = 0;
    if (isNew) this.resetWarmth();
    this.applyKnowledge();
    return isNew;
  }

  /** Starts to count what other owners may have granted. */
  beginSettling(nowMs: number, trustReportMs: number): void {
    this.isSettling = true;
    this.trustReportUntilMs = nowMs + trustReportMs;
  }

  /** Ends the wait for what other owners granted. */
  finishSettling(): void {
    this.isSettling = false;
    this.pendingKnowledge = undefined;
  }

  /** Tells whether load reports count beside the grants. */
  isReportTrusted(nowMs: number): boolean {
    return nowMs < this.trustReportUntilMs;
  }

  /**
   * Counts load reports for longer while they show requests that no grant
   * explains, such as those of a dead holder.
   */
  keepTrust(nowMs: number, trustReportMs: number): void {
    if (!this.isReportTrusted(nowMs)) return;
    const {running = 0, queued = 0} = this.reported ?? {};
    if (running + queued <= this.grants.size) return;
    this.trustReportUntilMs = nowMs + trustReportMs;
  }

  /** Takes over what a former owner knew, the youngest word first. */
  recordKnowledge(value: WarmUpHint, nowMs: number): void {
    if (!this.isSettling) return;
    const saidMs = nowMs - value.ageMs;
    if (this.pendingKnowledge && this.pendingKnowledge.saidMs >= saidMs) return;
    this.pendingKnowledge = {value, saidMs};
    this.applyKnowledge();
  }

  private applyKnowledge(): void {
    const value = this.pendingKnowledge?.value;
    if (!value || value.boot !== this.reported?.boot) return;
    this.warmth.resume(value.capacity);
  }

  /** Forgets the load and the warmth, as this host no longer follows them. */
  clearLoad(): void {
    this.reported = undefined;
    this.resetWarmth();
  }

  /** Records a load read that failed. */
  recordFailedRead(isGone: boolean): void {
    this.failedReads += isGone ? MAX_FAILED_READS : 1;
  }

  /** Describes the warmth for holders, which keep it for the next owner. */
  createKnowledge(): WarmUpHint {
    return {
      serverId: this.server.id,
      boot: this.reported?.boot ?? '',
      capacity: this.warmth.getCapacity(),
      ageMs: 0,
    };
  }
}
