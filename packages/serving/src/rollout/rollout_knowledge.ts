/** What one daemon knows of the rollout of a service, and what the software versions may be used for by it. */
import type {RolloutRow} from '@savoryspur/schema';
import {computeRolloutSchedule} from './rollout_schedule.js';
import type {RolloutOrder} from './rollout_types.js';
import type {VersionUse} from './version_use.js';
import {getVersionUse, isInProgress} from './version_use.js';

/** Age of the rows from which a daemon assumes that a completion may have been written, milliseconds: more than the longest wait of a watch. */
export const STALE_ROWS_MS = 3000;

/** What a software version may be used for. A pool asks for it for every server and request, so it is kept until something changes. */
interface VersionState {
  use: VersionUse;
  /** Earliest time at which the version may be replaced, as far as this daemon knows; undefined without a rollout that may do so. */
  completionDueMs: number | undefined;
}

/** Order and row of one service on one daemon. */
export class RolloutKnowledge {
  private order: RolloutOrder | undefined;
  /** When this daemon read the order, milliseconds of the store's clock. */
  private orderSeenMs = 0;
  private ordersVersion = -1;
  private row: RolloutRow | undefined;
  private rollbackReason: string | undefined;
  private isCompleting = false;
  private lastStoreMs = 0;
  private readonly states = new Map<string, VersionState>();

  /**
   * @param readStoreClock - reads the clock of the store
   */
  constructor(private readonly readStoreClock: () => number | undefined) {}

  /** Sets the order in force and the version of the store up to which orders are known. */
  setOrder(order: RolloutOrder | undefined, ordersVersion: number): void {
    if (order?.orderVersion !== this.order?.orderVersion) {
      this.orderSeenMs = this.getStoreMs();
    }
    this.order = order;
    this.ordersVersion = ordersVersion;
    this.states.clear();
  }

  /** Gets the order in force. */
  getOrder(): RolloutOrder | undefined {
    return this.order;
  }

  /** Gets the version of the store up to which orders are known. */
  getOrdersVersion(): number {
    return this.ordersVersion;
  }

  /** Sets the latest row. */
  setRow(row: RolloutRow): void {
    this.row = row;
    this.states.clear();
  }

  /** Gets the latest row. */
  getRow(): RolloutRow | undefined {
    return this.row;
  }

  /** Sets why this daemon has decided to roll back; undefined when it has not. */
  setRollback(reason: string | undefined): void {
    this.rollbackReason = reason;
    this.states.clear();
  }

  /** Gets why this daemon has decided to roll back, which the store may not know yet. */
  getRollback(): string | undefined {
    return this.rollbackReason;
  }

  /** Sets whether the store may have accepted the completion. */
  setCompleting(isCompleting: boolean): void {
    this.isCompleting = isCompleting;
    this.states.clear();
  }

  /** Whether the store may have accepted the completion. */
  isMaybeCompleted(): boolean {
    return this.isCompleting;
  }

  /** Gets the time of the store's clock, which never goes back here. */
  getStoreMs(): number {
    this.lastStoreMs = Math.max(this.lastStoreMs, this.readStoreClock() ?? 0);
    return this.lastStoreMs;
  }

  /** Gets what a software version may be used for. */
  getUse(version: string): VersionUse {
    return this.getState(version).use;
  }

  /** Whether the completion that replaces a version is due, so that it may have been written. */
  isReplacementDue(version: string): boolean {
    const {completionDueMs} = this.getState(version);
    return (
      completionDueMs !== undefined && this.getStoreMs() >= completionDueMs
    );
  }

  private getState(version: string): VersionState {
    let state = this.states.get(version);
    if (!state) {
      const use = getVersionUse(version, {
        order: this.order,
        ordersVersion: this.ordersVersion,
        row: this.row,
        isRolledBack: this.rollbackReason !== undefined,
        isCompleting: this.isCompleting,
      });
      state = {use, completionDueMs: this.computeCompletionDueMs(version)};
      this.states.set(version, state);
    }
    return state;
  }

  private computeCompletionDueMs(version: string): number | undefined {
    const {order, row} = this;
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
    const {startedMs, durationMs} = row;
    return computeRolloutSchedule(startedMs, durationMs).finishingStartMs;
  }
}
