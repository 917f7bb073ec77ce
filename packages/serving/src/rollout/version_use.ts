/** Decides what a software version of a service may be used for during and after a rollout. */
import {RolloutPhase, type RolloutRow} from '@savoryspur/schema';
import type {RolloutOrder} from './rollout_types.js';

/** What a software version may be used for. */
export enum VersionUse {
  /** Any work. */
  FREE = 'free',
  /** Nothing, stream continuations included. */
  NONE = 'none',
  /** Only continuations of the streams and items that it began. */
  CONTINUATIONS = 'continuations',
  /** The bounded part of the work that is granted while the target is observed. */
  OBSERVED = 'observed',
  /** All new work, within the bound on the whole rollout. */
  FINISHING = 'finishing',
}

/** What a daemon knows of the rollout of a service. */
export interface VersionView {
  /** Order in force; undefined when there is none. */
  order: RolloutOrder | undefined;
  /** Version of the store up to which the orders are known. */
  ordersVersion: number;
  /** Latest known row; undefined before the rows were read, and before the order is claimed. */
  row: RolloutRow | undefined;
  /** Whether this daemon has decided to roll back, and the store may not know it yet. */
  isRolledBack: boolean;
  /** Whether the store may have accepted the completion. */
  isCompleting: boolean;
}

/** Whether a rollout in this phase has not ended. */
export function isInProgress(phase: RolloutPhase): boolean {
  return phase === RolloutPhase.WATCHING || phase === RolloutPhase.FINISHING;
}

/** Whether the order of a row is still the operator's order. */
function isOrderInForce(row: RolloutRow, view: VersionView): boolean {
  const {order, ordersVersion} = view;
  if (order) return row.orderVersion >= order.orderVersion;
  return row.orderVersion > ordersVersion;
}

/** Gets what a software version may be used for. */
export function getVersionUse(version: string, view: VersionView): VersionUse {
  const {order, row} = view;
  if (row?.retired.includes(version)) return VersionUse.NONE;
  const isNewOrder =
    order !== undefined &&
    order.rejection === undefined &&
    order.orderVersion > (row?.orderVersion ?? -1);
  const isInForce =
    row?.phase === RolloutPhase.COMPLETED && row.target === version;
  // Until the order is claimed, its target gets nothing.
  if (isNewOrder && order.target === version && !isInForce)
    return VersionUse.NONE;
  if (!row || !isInProgress(row.phase)) return VersionUse.FREE;
  const isWatching = row.phase === RolloutPhase.WATCHING;
  if (version === row.target) {
    if (view.isRolledBack || !isOrderInForce(row, view)) return VersionUse.NONE;
    return isWatching ? VersionUse.OBSERVED : VersionUse.FINISHING;
  }
  if (isWatching) return VersionUse.FREE;
  if (view.isCompleting) return VersionUse.NONE;
  return view.isRolledBack ? VersionUse.FREE : VersionUse.CONTINUATIONS;
}
