/** Holds slots of the zone through the platform's table service. */
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

/** What a keeper needs. */
export interface SlotKeeperOptions {
  clock: Clock;
  log: EventLog;
  table: TableService;
  environment: EnvironmentSource;
  directory: HostDirectory;
  host: string;
  incarnation: string;
  zone: string;
  /** Gets the absence after which slots of a host are taken over. */
  getTakeoverMs: () => number;
  /** Gets the time between two heartbeats, milliseconds. */
  getPeriodMs: () => number;
  /** Gets the term of delegations, milliseconds. */
  getTermMs: () => number;
  /** Lists the hosts of the zone that may hold slots, this one included. */
  listLiveHosts: () => string[];
  /** Called when slots were released. */
  onReleased: () => void;
  /** Gets when the last delegation of this daemon lapses. */
  getLastLapseMs: () => number;
}

/** A slot of this host. */
interface HeldSlot {
  /** From when the slot may be delegated, monotonic milliseconds. */
  usableAtMs: number;
  /** Whether no daemon held it before. */
  isFresh: boolean;
  /** Set while delegations lapse before the slot is released. */
  isReleasing: boolean;
}

/** The row as it was read. */
interface SlotRead {
  version: number;
  row: QuotaSlotRow | undefined;
}

/** Rounds in one update, which other daemons may outrun. */
const MAX_ROUNDS = 6;

/** Slots are taken by compare-and-set; they stay when the platform is away. */
export class QuotaSlotClaimer {
  private readonly slots = new Map<number, HeldSlot>();
  private lastTickMs: number;
  private isVerified = true;
  private isLeaving = false;
  private isUpdating = false;
  private isUpdateWanted = false;
  private readonly key: string;

  /**
   * @param options - table, host list, identity and bounds
   */
  constructor(private readonly options: SlotKeeperOptions) {
    this.key = `slots/${options.zone}`;
    this.lastTickMs = options.clock.now();
  }

  /** Counts the slots that may be delegated at this moment. */
  countUsable(): number {
    this.checkPause();
    if (!this.isVerified || this.isLeaving) return 0;
    return this.listUsable().length;
  }

  /** Tells whether no daemon ever held any of the usable slots before. */
  isFresh(): boolean {
    const usable = this.listUsable();
    return usable.length > 0 && usable.every((slot) => slot.isFresh);
  }

  /** Counts the slots that the table names for this run of the daemon. */
  countHeld(): number {
    return this.slots.size;
  }

  /**
   * Notes that the event loop runs. After a pause the slots are not used
   * before they were read again.
   */
  checkPause(): void {
    const {clock, log, getTakeoverMs} = this.options;
    const nowMs = clock.now();
    const pausedMs = nowMs - this.lastTickMs;
    this.lastTickMs = nowMs;
    if (pausedMs <= getTakeoverMs() / 2) return;
    this.isVerified = false;
    log.record(FleetEvent.PAUSE_DETECTED, {step: 'slots.keep', pausedMs});
  }

  /**
   * Reads the row and takes or gives up slots; once more when it was asked for
   * meanwhile or another daemon was faster.
   */
  async update(): Promise<void> {
    this.isUpdateWanted = true;
    if (this.isUpdating) return;
    this.isUpdating = true;
    for (let i = 0; i < MAX_ROUNDS && this.isUpdateWanted; i++) {
      this.isUpdateWanted = false;
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
    for (const held of this.slots.values()) held.isReleasing = false;
    const zoneSlots = this.getZoneSlots();
    if (zoneSlots === undefined) return;
    const {host, incarnation, listLiveHosts} = this.options;
    const plan = computeSlotPlan({
      row: read.row,
      zoneSlots,
      host,
      incarnation,
      liveHosts: listLiveHosts(),
      isGone: (name) => this.isGone(name),
    });
    await this.takeSlots(read, plan);
    if (plan.giveUp.length > 0) await this.releaseSlots(plan.giveUp);
  }

  /** Stops delegating, and releases all slots once delegations have lapsed. */
  async leave(): Promise<void> {
    this.isLeaving = true;
    await this.releaseSlots([...this.slots.keys()]);
  }

  private listUsable(): HeldSlot[] {
    const nowMs = this.options.clock.now();
    const zoneSlots = this.getZoneSlots() ?? Number.POSITIVE_INFINITY;
    const usable: HeldSlot[] = [];
    for (const [slot, held] of this.slots) {
      if (slot >= zoneSlots || held.isReleasing) continue;
      if (held.usableAtMs <= nowMs) usable.push(held);
    }
    return usable;
  }

  private isGone(host: string): boolean {
    const {directory, getTakeoverMs, host: self} = this.options;
    return host !== self && directory.measureAbsence(host) >= getTakeoverMs();
  }

  private getZoneSlots(): number | undefined {
    const {environment, zone} = this.options;
    return environment.getCurrent()?.findZone(zone)?.slots;
  }

  private async readRow(): Promise<SlotRead | undefined> {
    const {clock, table} = this.options;
    const startedMs = clock.now();
    const rows = await table.read([this.key]);
    if (rows.isErr()) return undefined;
    const isRecent =
      clock.now() - startedMs <= this.options.getTakeoverMs() / 2;
    if (isRecent) this.isVerified = true;
    return parseRow(rows.value[0]);
  }

  /** Drops slots that the table gives to others and adopts found ones. */
  private applyRow(row: QuotaSlotRow | undefined): void {
    const {host, incarnation, log} = this.options;
    const ours = new Set<number>();
    for (const holder of row?.holders ?? []) {
      if (holder.host === host && holder.incarnation === incarnation) {
        ours.add(holder.slot);
      }
    }
    for (const slot of this.slots.keys()) {
      if (ours.has(slot)) continue;
      this.slots.delete(slot);
      log.record(LimitsEvent.SLOT_LOST, {step: 'slots.keep', slot});
    }
    for (const slot of ours) {
      if (!this.slots.has(slot)) this.slots.set(slot, this.createFoundSlot());
    }
  }

  /** A slot of this run whose claim was committed without an answer. */
  private createFoundSlot(): HeldSlot {
    const {clock, getTermMs} = this.options;
    const usableAtMs = clock.now() + getTermMs();
    return {usableAtMs, isFresh: false, isReleasing: false};
  }

  private async takeSlots(read: SlotRead, plan: SlotPlan): Promise<void> {
    const taken = [...plan.takeOwn, ...plan.takeFresh, ...plan.takeUsed];
    if (taken.length === 0) return;
    const {host, incarnation, log} = this.options;
    const holders = taken.map((slot) => ({slot, host, incarnation}));
    if (!(await this.writeRow(read, holders))) {
      this.isUpdateWanted = true;
      return;
    }
    if (this.isLeaving) return;
    for (const slot of taken) {
      const isFresh = plan.takeFresh.includes(slot);
      const waitMs = this.computeWait(plan.takeOwn.includes(slot), isFresh);
      const usableAtMs = this.options.clock.now() + waitMs;
      this.slots.set(slot, {usableAtMs, isFresh, isReleasing: false});
      log.record(LimitsEvent.SLOT_CLAIMED, {step: 'slots.take', slot});
    }
  }

  /**
   * Slots of an older run wait for its delegations to lapse. Slots that nobody
   * held wait for the daemons that start at the same time, so that their first
   * view is a whole one.
   */
  private computeWait(isOwn: boolean, isFresh: boolean): number {
    const {getTermMs, getPeriodMs} = this.options;
    if (isOwn) return getTermMs();
    return isFresh ? getPeriodMs() : 0;
  }

  private async releaseSlots(slots: number[]): Promise<void> {
    for (const slot of slots) {
      const held = this.slots.get(slot);
      if (held !== undefined) held.isReleasing = true;
    }
    const {clock, getLastLapseMs, host, incarnation} = this.options;
    await clock.sleep(Math.max(0, getLastLapseMs() - clock.now()) + 1);
    const read = await this.readRow();
    if (read === undefined) return;
    this.applyRow(read.row);
    const ours = slots.filter((slot) => this.slots.has(slot));
    if (ours.length === 0) return;
    const released = ours.map((slot) => ({slot, host: '', incarnation}));
    if (!(await this.writeRow(read, released))) return;
    for (const slot of ours) this.slots.delete(slot);
    this.options.log.record(LimitsEvent.SLOT_RELEASED, {
      step: 'slots.release',
      peer: host,
      slots: ours,
    });
    this.options.onReleased();
  }

  private async writeRow(
    read: SlotRead,
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

function parseRow(row: Row | undefined): SlotRead | undefined {
  if (row === undefined) return {version: 0, row: undefined};
  const value = validateQuotaSlotRow(row.value);
  if (value.isErr()) return undefined;
  return {version: row.version, row: value.value};
}
