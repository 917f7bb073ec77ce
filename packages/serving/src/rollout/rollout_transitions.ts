/** Transitions of a rollout, as pure functions of its row, the order and the time. */
import {RolloutPhase, type RolloutRow} from '@savoryspur/schema';
import type {RolloutOrder} from './rollout_types.js';
import {isInProgress} from './version_use.js';

/** Ended rollouts that a row keeps for operators. */
const MAX_HISTORY = 10;

/** Versions that a row keeps as retired, the latest: a version whose servers are long gone is not started again without an order. */
const MAX_RETIRED = 32;

/** Longest reason in a row, characters, which keeps the row below the size that the store accepts. */
const MAX_REASON_CHARACTERS = 500;

/** What a transition depends on besides the row and the order. */
export interface TransitionContext {
  /** Version of the store up to which the orders are known. */
  ordersVersion: number;
  /** Current time, milliseconds of the store's clock. */
  nowMs: number;
  /** Software versions of the service that are or were listed. */
  versions: readonly string[];
}

/** Reason of a rollback whose order was removed. */
const REMOVED_REASON = 'the order was removed';

/**
 * Plans the row that follows from the operator's order.
 *
 * @param row - current row; undefined when there is none
 * @param order - order in force; undefined when there is none
 * @param context - time and listed versions
 * @returns the new row; undefined when the order changes nothing
 */
export function createOrderedRow(
  row: RolloutRow | undefined,
  order: RolloutOrder | undefined,
  context: TransitionContext,
): RolloutRow | undefined {
  if (!order) {
    const isRemoved =
      row !== undefined &&
      isInProgress(row.phase) &&
      context.ordersVersion >= row.orderVersion;
    if (!isRemoved) return undefined;
    return createEndedRow(
      row,
      RolloutPhase.ROLLED_BACK,
      REMOVED_REASON,
      context,
    );
  }
  // A row of a later order was written by a daemon that knows more than this one.
  if (row && row.orderVersion >= order.orderVersion) return undefined;
  if (!row || !isInProgress(row.phase))
    return createStartedRow(row, order, context);
  if (row.target === order.target && order.rejection === undefined) {
    return createRestartedRow(row, order, context);
  }
  const reason =
    order.rejection === undefined
      ? `a new order for ${order.target}`
      : 'a new order, which is invalid';
  const ended = createEndedRow(row, RolloutPhase.ROLLED_BACK, reason, context);
  return createStartedRow(ended, order, context);
}

/**
 * Plans the end of a rollout that is in progress.
 *
 * @param row - current row
 * @param phase - `completed` or `rolled_back`
 * @param reason - why it ends, for operators
 * @param context - time and listed versions
 */
export function createEndedRow(
  row: RolloutRow,
  phase: RolloutPhase,
  reason: string | undefined,
  context: TransitionContext,
): RolloutRow {
  const {target, startedMs, requests, targetRequests} = row;
  const shortReason = reason?.slice(0, MAX_REASON_CHARACTERS);
  const retired =
    phase === RolloutPhase.COMPLETED
      ? [...row.retired, ...context.versions].filter((v) => v !== target)
      : [...row.retired, target];
  const ended = {
    target,
    phase,
    reason: shortReason,
    startedMs,
    endedMs: context.nowMs,
    requests,
    targetRequests,
  };
  return {
    ...row,
    phase,
    reason: shortReason,
    phaseMs: context.nowMs,
    targetLimit: row.targetRequests,
    retired: [...new Set(retired)].slice(-MAX_RETIRED),
    evidence: undefined,
    history: [...row.history, ended].slice(-MAX_HISTORY),
  };
}

/** Plans a row for an order while no rollout is in progress. */
function createStartedRow(
  row: RolloutRow | undefined,
  order: RolloutOrder,
  context: TransitionContext,
): RolloutRow {
  const {target, durationMs, orderVersion, rejection} = order;
  const {nowMs, versions} = context;
  const retired = row?.retired ?? [];
  const started: RolloutRow = {
    orderVersion,
    target,
    phase: RolloutPhase.WATCHING,
    startedMs: nowMs,
    durationMs,
    phaseMs: nowMs,
    requests: 0,
    targetRequests: 0,
    targetLimit: 0,
    retired,
    history: row?.history ?? [],
    // Each write replaces these two.
    writer: '',
    sequence: 0,
  };
  // An invalid order changes nothing: its target keeps what it has.
  if (rejection !== undefined) {
    const ended = createEndedRow(
      started,
      RolloutPhase.ROLLED_BACK,
      rejection,
      context,
    );
    return {...ended, retired};
  }
  const isInForce =
    row?.phase === RolloutPhase.COMPLETED && row.target === target;
  const others = versions.filter((v) => v !== target && !retired.includes(v));
  const isOnlyVersion = versions.includes(target) && others.length === 0;
  if (isInForce || (isOnlyVersion && !retired.includes(target))) {
    const reason = 'the version is already in force';
    return createEndedRow(started, RolloutPhase.COMPLETED, reason, context);
  }
  return {...started, retired: retired.filter((v) => v !== target)};
}

/** Plans the row for a repeated order for the same target: the deadline and the counts start again. */
function createRestartedRow(
  row: RolloutRow,
  {orderVersion, durationMs}: RolloutOrder,
  {nowMs}: TransitionContext,
): RolloutRow {
  // What the former decider may still grant counts for the new order.
  const outstanding = Math.max(0, row.targetLimit - row.targetRequests);
  return {
    ...row,
    orderVersion,
    durationMs,
    phase: RolloutPhase.WATCHING,
    startedMs: nowMs,
    phaseMs: nowMs,
    requests: 0,
    targetRequests: outstanding,
    targetLimit: outstanding,
  };
}
