/**
 * Reconciles engines with their desired states. A lease in the table allows only
 * one host at a time to reconcile an engine.
 */
import {
  type Clock,
  ConfigEvent,
  type EventLog,
  type SavoryspurError,
} from '@savoryspur/common';
import {
  type DesiredState,
  type EngineOrder,
  type EngineState,
  OrderKind,
  type Server,
} from '@savoryspur/schema';
import type {Result} from 'neverthrow';
import type {EngineOrderClient} from './engine_order_client.js';
import {computeDifference, computeNextOrder} from './order_plan.js';
import type {DesiredRow, OrderStore} from './order_store.js';
import type {HeldLease, LeaseClient} from './table_lease.js';

/** Timeouts, lease term and concurrency limit of orders. */
export interface OrderLimits {
  /** Term of the lease on one engine, milliseconds. */
  leaseTermMs: number;
  /** Timeout of one call to an engine, milliseconds. */
  callTimeoutMs: number;
  /** Longest wait for an engine to load a model, milliseconds. */
  loadTimeoutMs: number;
  /** Time between two reads of the state while an order is applied, milliseconds. */
  statePollMs: number;
  /** Maximum number of models that all engines together may load at the same time. */
  maxConcurrentLoads: number;
}

/** Limits that apply when none are given. */
export const DEFAULT_ORDER_LIMITS: OrderLimits = {
  leaseTermMs: 30_000,
  callTimeoutMs: 5000,
  loadTimeoutMs: 300_000,
  statePollMs: 1000,
  maxConcurrentLoads: 4,
};

/** Maximum number of orders in one reconciliation of an engine. */
const MAX_ORDERS_PER_RECONCILIATION = 32;

/** Outcome of one reconciliation of an engine. */
export enum ReconcileOutcome {
  /** The engine has the desired state. */
  IN_FORCE = 'in_force',
  /**
   * The reconciliation did not finish: another host holds the lease on the
   * engine, the lease ran out, all load permits are taken or the signal was
   * aborted.
   */
  BUSY = 'busy',
  /** The engine refused an order, since it has seen a newer fencing token. */
  STALE = 'stale',
  /**
   * A call failed or the engine did not reach the desired state; a later
   * reconciliation tries again.
   */
  FAILED = 'failed',
}

/** Dependencies of the executor. */
export interface OrderExecutorContext {
  environment: string;
  store: OrderStore;
  leases: LeaseClient;
  client: EngineOrderClient;
  clock: Clock;
  log: EventLog;
  limits: OrderLimits;
}

/** An engine to reconcile. */
export interface OrderTarget {
  server: Server;
  /** Whether the engine refuses orders with an old fencing token. */
  checksFencing: boolean;
}

/** Reconciles engines with their desired states. */
export class OrderExecutor {
  /**
   * Fencing token of the desired state that each engine was last seen to have,
   * by server id.
   */
  private readonly appliedFencing = new Map<string, number>();

  /** @param context - order store, leases, engine client and limits */
  constructor(private readonly context: OrderExecutorContext) {}

  /**
   * Compares the actual state of an engine with its desired state, and sends
   * orders until they are equal.
   *
   * @param target - the engine
   * @param row - desired state as last read; the executor reads the desired
   *     state again after it acquired the lease
   * @param signal - ends the reconciliation before the next order
   */
  async reconcile(
    target: OrderTarget,
    row: DesiredRow,
    signal: AbortSignal,
  ): Promise<ReconcileOutcome> {
    const {client, leases, environment, limits} = this.context;
    const state = await client.read(target.server.url);
    if (state.isErr()) return this.reportFailure(target, state.error.message);
    const {desired, fencing} = row;
    const {checksFencing} = target;
    if (!computeNextOrder(desired, fencing, state.value, checksFencing)) {
      this.appliedFencing.set(target.server.id, fencing);
      return ReconcileOutcome.IN_FORCE;
    }
    this.recordDriftCorrection(target, fencing);
    const key = `order-lease/${environment}/${target.server.id}`;
    const lease = await leases.acquire(key, limits.leaseTermMs);
    if (!lease) return ReconcileOutcome.BUSY;
    const outcome = await this.reconcileUnderLease(target, lease, signal);
    await lease.release();
    return outcome;
  }

  /** Sends orders until the engine has the desired state, under the lease. */
  private async reconcileUnderLease(
    target: OrderTarget,
    lease: HeldLease,
    signal: AbortSignal,
  ): Promise<ReconcileOutcome> {
    const {server, checksFencing} = target;
    for (let count = 0; count < MAX_ORDERS_PER_RECONCILIATION; count++) {
      if (signal.aborted) return ReconcileOutcome.BUSY;
      const row = await this.readDesired(server.id);
      if (!row) return this.reportFailure(target, 'no desired state was read');
      const state = await this.context.client.read(server.url);
      if (state.isErr()) return this.reportFailure(target, state.error.message);
      const {desired, fencing} = row;
      const order = computeNextOrder(
        desired,
        fencing,
        state.value,
        checksFencing,
      );
      if (!order) return this.reportApplied(target, fencing);
      const outcome = await this.applyWithLoadPermit(
        target,
        row,
        order,
        lease,
        signal,
      );
      if (outcome !== undefined) return outcome;
    }
    return this.reportFailure(
      target,
      'the engine did not reach the desired state',
    );
  }

  /**
   * Applies one order; an order to load a model needs a load permit.
   *
   * @returns undefined when the order was applied and the reconciliation goes on
   */
  private async applyWithLoadPermit(
    target: OrderTarget,
    row: DesiredRow,
    order: EngineOrder,
    lease: HeldLease,
    signal: AbortSignal,
  ): Promise<ReconcileOutcome | undefined> {
    if (order.kind !== OrderKind.LOAD) {
      return this.applyAndWait(target, row, order, lease, signal);
    }
    const permit = await this.acquireLoadPermit(target.server.id);
    if (!permit) return ReconcileOutcome.BUSY;
    const outcome = await this.applyAndWait(target, row, order, lease, signal);
    await permit.release();
    return outcome;
  }

  /**
   * Sends one order and waits until the engine has applied it. Also waits after
   * a failed call, since the engine may have received the order.
   *
   * @returns undefined when the order was applied and the reconciliation goes on
   */
  private async applyAndWait(
    target: OrderTarget,
    row: DesiredRow,
    order: EngineOrder,
    lease: HeldLease,
    signal: AbortSignal,
  ): Promise<ReconcileOutcome | undefined> {
    const {client, limits} = this.context;
    const {url} = target.server;
    if (!(await this.renewLeaseIfDue(lease))) return ReconcileOutcome.BUSY;
    if (lease.computeRemainingMs() < limits.callTimeoutMs)
      return ReconcileOutcome.BUSY;
    const answer = await client.apply(url, row.fencing, order);
    if (answer.isOk() && !answer.value.applied) {
      this.context.log.record(ConfigEvent.ORDER_REFUSED, {
        step: 'order.apply',
        peer: target.server.id,
        fencing: row.fencing,
        newest: answer.value.fencing,
      });
      return ReconcileOutcome.STALE;
    }
    const isApplied = await this.waitUntilApplied(
      target,
      row.desired,
      order,
      lease,
      signal,
    );
    if (isApplied) return undefined;
    const reason = answer.isErr()
      ? answer.error.message
      : 'the state of the engine did not change';
    return this.reportFailure(target, reason);
  }

  /** Polls the state of an engine until an order is applied or times out. */
  private async waitUntilApplied(
    target: OrderTarget,
    desired: DesiredState,
    order: EngineOrder,
    lease: HeldLease,
    signal: AbortSignal,
  ): Promise<boolean> {
    const {client, clock, limits} = this.context;
    const timeoutMs =
      order.kind === OrderKind.LOAD
        ? limits.loadTimeoutMs
        : limits.callTimeoutMs;
    const startMs = clock.now();
    while (!signal.aborted && clock.now() - startMs <= timeoutMs) {
      const state = await client.read(target.server.url);
      if (isOrderApplied(state, desired, order)) return true;
      if (!(await this.renewLeaseIfDue(lease))) return false;
      await clock.sleep(limits.statePollMs, signal);
    }
    return false;
  }

  /**
   * Renews a lease when at most half of its term remains.
   *
   * @returns whether this host still holds the lease
   */
  private async renewLeaseIfDue(lease: HeldLease): Promise<boolean> {
    const remainingMs = lease.computeRemainingMs();
    if (remainingMs === 0) return false;
    if (remainingMs > this.context.limits.leaseTermMs / 2) return true;
    return lease.renew();
  }

  /**
   * Acquires one of the load permits, which limit concurrent loads over all
   * hosts; each permit is a lease in the table.
   *
   * @returns undefined when all permits are taken
   */
  private async acquireLoadPermit(
    server: string,
  ): Promise<HeldLease | undefined> {
    const {leases, limits} = this.context;
    const termMs = limits.loadTimeoutMs + limits.callTimeoutMs;
    const firstPermitNumber = server.length % limits.maxConcurrentLoads;
    for (let offset = 0; offset < limits.maxConcurrentLoads; offset++) {
      const permitNumber =
        (firstPermitNumber + offset) % limits.maxConcurrentLoads;
      const permit = await leases.acquire(
        `order-permit/${permitNumber}`,
        termMs,
      );
      if (permit) return permit;
    }
    return undefined;
  }

  private async readDesired(server: string): Promise<DesiredRow | undefined> {
    const {environment, store} = this.context;
    const rows = await store.read(environment, [server]);
    return rows.isOk() ? rows.value.get(server) : undefined;
  }

  /**
   * Logs that the state of an engine is corrected, when the engine had the
   * desired state before and has drifted from it.
   */
  private recordDriftCorrection(target: OrderTarget, fencing: number): void {
    const {id} = target.server;
    if (this.appliedFencing.get(id) !== fencing) return;
    this.appliedFencing.delete(id);
    this.context.log.record(ConfigEvent.ENGINE_DRIFT_CORRECTED, {
      step: 'order.run',
      peer: id,
      fencing,
    });
  }

  private reportApplied(
    target: OrderTarget,
    fencing: number,
  ): ReconcileOutcome {
    this.appliedFencing.set(target.server.id, fencing);
    this.context.log.record(ConfigEvent.ORDER_APPLIED, {
      step: 'order.run',
      peer: target.server.id,
      fencing,
    });
    return ReconcileOutcome.IN_FORCE;
  }

  private reportFailure(target: OrderTarget, reason: string): ReconcileOutcome {
    this.context.log.record(ConfigEvent.ORDER_FAILED, {
      step: 'order.run',
      peer: target.server.id,
      reason,
    });
    return ReconcileOutcome.FAILED;
  }
}

/**
 * Tells whether an engine has applied an order: the next order that the engine
 * needs is a different one.
 */
function isOrderApplied(
  state: Result<EngineState, SavoryspurError>,
  desired: DesiredState,
  order: EngineOrder,
): boolean {
  if (state.isErr()) return false;
  const next = computeDifference(desired, state.value);
  return (
    next === undefined || next.kind !== order.kind || next.model !== order.model
  );
}
