/** Claims and releases quota slots of the zone in the table service. */
import {
  type Clock,
  type EnvironmentSource,
  type EventLog,
  FleetEvent,
  LimitsEvent,
} from '@savoryspur/common';
import {
  type TableService,
  TransactionOutcome,
  transactWithReadBack,
} from '@savoryspur/storage';
import {
  type Row,
  type QuotaSlotHolder,
  type QuotaSlotRow,
  validateQuotaSlotRow,
} from '@savoryspur/schema';
import {randomUUID} from 'node:crypto';
import type {HostDirectory} from './host_directory.js';
import {computeSlotPlan, type SlotPlan} from './slot_plan.js';

/** Dependencies and settings of {@link QuotaSlotClaimer}. */
export interface QuotaSlotClaimerOptions {
  clock: Clock;
  log: EventLog;
  table: TableService;
  environment: EnvironmentSource;
  directory: HostDirectory;
  host: string;
  incarnation: string;
  zone: string;
  /**
   * Gets the time for which a host is absent before its slots are taken over,
   * milliseconds.
   */
  getTakeoverMs: () => number;
  /** Gets the time between two heartbeats, milliseconds. */
  getPeriodMs: () => number;
  /** Gets the term of delegations, milliseconds. */
  getTermMs: () => number;
  /** Lists the hosts among which the slots are divided, this one included. */
  listLiveHosts: () => string[];
  /** Called after slots of this host were released. */
  onSlotsReleased: () => void;
  /**
   * Gets when the last delegation granted by this daemon expires, monotonic
   * milliseconds.
   */
  getLastExpiryMs: () => number;
}

/** Quota slot that the table assigns to this daemon. */
interface ClaimedSlot {
  /** Time from which on the slot may be delegated, monotonic milliseconds. */
  usableAtMs: number;
  /** Whether no other daemon has ever held the slot. */
  isFresh: boolean;
  /** Whether the slot is released once its delegations have expired. */
  isReleasing: boolean;
}

/** Row of the zone's quota slots with its version. */
interface SlotRowRead {
  version: number;
  row: QuotaSlotRow | undefined;
}

/**
 * Maximum number of rounds of one update; a round is repeated after a write
 * conflict.
 */
const MAX_UPDATE_ROUNDS = 6;

/**
 * Claims an even part of the zone's quota slots by compare-and-set on the row
 * that assigns them. The slots are kept while the table service is unavailable.
 */
export class QuotaSlotClaimer {
  private readonly slots = new Map<number, ClaimedSlot>();
  private lastPauseCheckMs: number;
  /** False after an event-loop pause, until the row is read again. */
  private isVerified = true;
  private isLeaving = false;
  private isUpdating = false;
  private isUpdateRequested = false;
  private readonly key: string;

  /**
   * @param options - table, host directory, identity and times
   */
  constructor(private readonly options: QuotaSlotClaimerOptions) {
    this.key = `slots/${options.zone}`;
    this.lastPauseCheckMs = options.clock.now();
  }

  /** Counts the slots that may be delegated now. */
  countUsable(): number {
    this.checkPause();
    if (!this.isVerified || this.isLeaving) return 0;
    return this.listUsable().length;
  }

  /** Tells whether no other daemon has ever held any of the usable slots. */
  isFresh(): boolean {
    const usable = this.listUsable();
    return usable.length > 0 && usable.every((slot) => slot.isFresh);
  }

  /** Counts the slots that the table assigns to this incarnation. */
  countHeld(): number {
    return this.slots.size;
  }

  /**
   * Detects event-loop pauses; to be called periodically. After a pause the
   * slots are not used until they are read again, because another daemon may
   * have taken them over meanwhile.
   */
  checkPause(): void {
    const {clock, log, getTakeoverMs} = this.options;
    const nowMs = clock.now();
    const pausedMs = nowMs - this.lastPauseCheckMs;
    this.lastPauseCheckMs = nowMs;
    if (pausedMs <= getTakeoverMs() / 2) return;
    this.isVerified = false;
    log.record(FleetEvent.PAUSE_DETECTED, {step: 'slots.keep', pausedMs});
  }

  /**
   * Reads the row and claims or releases slots. The round is repeated when an
   * update was requested meanwhile or a write conflicted with another daemon's.
   */
  async update(): Promise<void> {
    this.isUpdateRequested = true;
    if (this.isUpdating) return;
    this.isUpdating = true;
    for (let i = 0; i < MAX_UPDATE_ROUNDS && this.isUpdateRequested; i++) {
      this.isUpdateRequested = false;
      await this.runRound();
    }
    this.isUpdating = false;
  }

  private async runRound(): Promise<void> {
    this.checkPause();
    if (this.isLeaving) return;
    const read = await this.readRow();
    if (read === undefined || this.isLeaving) return;
    this.applyRow(read.row);
    for (const claimedSlot of this.slots.values())
      claimedSlot.isReleasing = false;
    const zoneSlots = this.getZoneSlots();
    if (zoneSlots === undefined) return;
    const {host, incarnation, listLiveHosts} = this.options;
    const plan = computeSlotPlan({
      row: read.row,
      zoneSlots,
      host,
      incarnation,
      liveHosts: listLiveHosts(),
      isTakeoverDue: (name) => this.isTakeoverDue(name),
    });
    await this.claimSlots(read, plan);
    if (plan.release.length > 0) await this.releaseSlots(plan.release);
  }

  /** Stops delegating, and releases all slots once delegations have expired. */
  async leave(): Promise<void> {
    this.isLeaving = true;
    await this.releaseSlots([...this.slots.keys()]);
  }

  private listUsable(): ClaimedSlot[] {
    const nowMs = this.options.clock.now();
    const zoneSlots = this.getZoneSlots() ?? Number.POSITIVE_INFINITY;
    const usable: ClaimedSlot[] = [];
    for (const [slot, claimedSlot] of this.slots) {
      if (slot >= zoneSlots || claimedSlot.isReleasing) continue;
      if (claimedSlot.usableAtMs <= nowMs) usable.push(claimedSlot);
    }
    return usable;
  }

  private isTakeoverDue(host: string): boolean {
    const {directory, getTakeoverMs, host: self} = this.options;
    return host !== self && directory.measureAbsenceMs(host) >= getTakeoverMs();
  }

  private getZoneSlots(): number | undefined {
    const {environment, zone} = this.options;
    return environment.getCurrent()?.findZone(zone)?.slots;
  }

  private async readRow(): Promise<SlotRowRead | undefined> {
    const {clock, table} = this.options;
    const startedMs = clock.now();
    const rows = await table.read([this.key]);
    if (rows.isErr()) return undefined;
    const isRecent =
      clock.now() - startedMs <= this.options.getTakeoverMs() / 2;
    if (isRecent) this.isVerified = true;
    return parseRow(rows.value[0]);
  }

  /**
   * Drops slots that the table assigns to others and adopts unknown own ones.
   */
  private applyRow(row: QuotaSlotRow | undefined): void {
    const {host, incarnation, log} = this.options;
    const ownSlots = new Set<number>();
    for (const holder of row?.holders ?? []) {
      if (holder.host === host && holder.incarnation === incarnation) {
        ownSlots.add(holder.slot);
      }
    }
    for (const slot of this.slots.keys()) {
      if (ownSlots.has(slot)) continue;
      this.slots.delete(slot);
      log.record(LimitsEvent.SLOT_LOST, {step: 'slots.keep', slot});
    }
    for (const slot of ownSlots) {
      if (!this.slots.has(slot)) this.slots.set(slot, this.createAdoptedSlot());
    }
  }

  /** Creates a slot whose claim was committed although its answer was lost. */
  private createAdoptedSlot(): ClaimedSlot {
    const {clock, getTermMs} = this.options;
    const usableAtMs = clock.now() + getTermMs();
    return {usableAtMs, isFresh: false, isReleasing: false};
  }

  private async claimSlots(read: SlotRowRead, plan: SlotPlan): Promise<void> {
    const claimed = [...plan.claimOwn, ...plan.claimFresh, ...plan.claimUsed];
    if (claimed.length === 0) return;
    const {host, incarnation, log} = this.options;
    const holders = claimed.map((slot) => ({slot, host, incarnation}));
    if (!(await this.writeRow(read, holders))) {
      this.isUpdateRequested = true;
      return;
    }
    if (this.isLeaving) return;
    for (const slot of claimed) {
      const isFresh = plan.claimFresh.includes(slot);
      const delayMs = this.computeUsableDelayMs(
        plan.claimOwn.includes(slot),
        isFresh,
      );
      const usableAtMs = this.options.clock.now() + delayMs;
      this.slots.set(slot, {usableAtMs, isFresh, isReleasing: false});
      log.record(LimitsEvent.SLOT_CLAIMED, {step: 'slots.take', slot});
    }
  }

  /**
   * Computes how long a claimed slot waits before it is delegated. Slots of an
   * earlier incarnation wait until its delegations have expired. Fresh slots
   * wait one heartbeat period for daemons that start at the same time, so that
   * the first view contains them.
   */
  private computeUsableDelayMs(isOwn: boolean, isFresh: boolean): number {
    const {getTermMs, getPeriodMs} = this.options;
    if (isOwn) return getTermMs();
    return isFresh ? getPeriodMs() : 0;
  }

  private async releaseSlots(slots: number[]): Promise<void> {
    for (const slot of slots) {
      const claimedSlot = this.slots.get(slot);
      if (claimedSlot !== undefined) claimedSlot.isReleasing = true;
    }
    const {clock, getLastExpiryMs, host, incarnation} = this.options;
    await clock.sleep(Math.max(0, getLastExpiryMs() - clock.now()) + 1);
    const read = await this.readRow();
    if (read === undefined) return;
    this.applyRow(read.row);
    const ownSlots = slots.filter((slot) => this.slots.has(slot));
    if (ownSlots.length === 0) return;
    const released = ownSlots.map((slot) => ({slot, host: '', incarnation}));
    if (!(await this.writeRow(read, released))) return;
    for (const slot of ownSlots) this.slots.delete(slot);
    this.options.log.record(LimitsEvent.SLOT_RELEASED, {
      step: 'slots.release',
      peer: host,
      slots: ownSlots,
    });
    this.options.onSlotsReleased();
  }

  private async writeRow(
    read: SlotRowRead,
    changed: QuotaSlotHolder[],
  ): Promise<boolean> {
    const {table, clock, log} = this.options;
    const holders = new Map<number, QuotaSlotHolder>();
    for (const holder of read.row?.holders ?? []) {
      holders.set(holder.slot, holder);
    }
    for (const holder of changed) holders.set(holder.slot, holder);
    const value: QuotaSlotRow = {
      nonce: randomUUID(),
      holders: [...holders.values()].sort((a, b) => a.slot - b.slot),
    };
    const outcome = await transactWithReadBack(
      {table, clock, log},
      {
        conditions: [{key: this.key, version: read.version}],
        writes: [{key: this.key, value: {...value}}],
      },
    );
    return outcome.isOk() && outcome.value === TransactionOutcome.COMMITTED;
  }
}

function parseRow(row: Row | undefined): SlotRowRead | undefined {
  if (row === undefined) return {version: 0, row: undefined};
  const value = validateQuotaSlotRow(row.value);
  if (value.isErr()) return undefined;
  return {version: row.version, row: value.value};
}
