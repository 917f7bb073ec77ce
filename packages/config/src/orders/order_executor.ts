/** Brings engines to their desired states, one executor an engine. */
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
import type {HeldLease, LeaseTaker} from './table_lease.js';

/** Terms and bounds of orders. */
export interface OrderTerms {
  /** Term of the lease on one engine, milliseconds. */
  leaseMs: number;
  /** Bound on one call of an engine, milliseconds. */
  callMs: number;
  /** Longest wait until a model is loaded, milliseconds. */
  loadMs: number;
  /** Wait between two looks at an engine that loads, milliseconds. */
  lookMs: number;
  /** Models that all engines together may load at once. */
  loadPermits: number;
}

/** Terms when none are given. */
export const DEFAULT_ORDER_TERMS: OrderTerms = {
  leaseMs: 30_000,
  callMs: 5000,
  loadMs: 300_000,
  lookMs: 1000,
  loadPermits: 4,
};

/** Orders in one run over an engine. */
const MAX_ORDERS_PER_RUN = 32;

/** How a run over one engine ended. */
export enum ReconcileEnd {
  /** The engine has the desired state. */
  IN_FORCE = 'in_force',
  /** Another host orders the engine, or all load permits are taken. */
  BUSY = 'busy',
  /** The engine has seen a newer order. */
  STALE = 'stale',
  /** A call failed or the state did not follow; a later run tries again. */
  FAILED = 'failed',
}

/** What the executor needs. */
export interface ExecutorContext {
  environment: string;
  store: OrderStore;
  leases: LeaseTaker;
  client: EngineOrderClient;
  clock: Clock;
  log: EventLog;
  terms: OrderTerms;
}

/** An engine and what the configuration says of it. */
export interface OrderTarget {
  server: Server;
  checksFencing: boolean;
}

/** Runs over engines. */
export class OrderExecutor {
  /** Fencing number that each engine was last seen to have in force. */
  private readonly inForce = new Map<string, number>();

  /** @param context - store, leases, engines and terms */
  constructor(private readonly context: ExecutorContext) {}

  /**
   * Compares an engine with its desired state and orders what differs.
   *
   * @param target - the engine
   * @param row - desired state as read last; it is read again under the lease
   * @param signal - ends the run before the next order
   */
  async run(
    target: OrderTarget,
    row: DesiredRow,
    signal: AbortSignal,
  ): Promise<ReconcileEnd> {
    const {client, leases, environment, terms} = this.context;
    const state = await client.read(target.server.url);
    if (state.isErr()) return this.endFailed(target, state.error.message);
    const {desired, fencing} = row;
    const {checksFencing} = target;
    if (!computeNextOrder(desired, fencing, state.value, checksFencing)) {
      this.inForce.set(target.server.id, fencing);
      return ReconcileEnd.IN_FORCE;
    }
    this.recordRepair(target, fencing);
    const key = `order-lease/${environment}/${target.server.id}`;
    const lease = await leases.acquire(key, terms.leaseMs);
    if (!lease) return ReconcileEnd.BUSY;
    const end = await this.runOrders(target, lease, signal);
    await lease.release();
    return end;
  }

  private async runOrders(
    target: OrderTarget,
    lease: HeldLease,
    signal: AbortSignal,
  ): Promise<ReconcileEnd> {
    const {server, checksFencing} = target;
    for (let count = 0; count < MAX_ORDERS_PER_RUN; count++) {
      if (signal.aborted) return ReconcileEnd.BUSY;
      const row = await this.readDesired(server.id);
      if (!row) return this.endFailed(target, 'no desired state was read');
      const state = await this.context.client.read(server.url);
      if (state.isErr()) return this.endFailed(target, state.error.message);
      const {desired, fencing} = row;
      const order = computeNextOrder(
        desired,
        fencing,
        state.value,
        checksFencing,
      );
      if (!order) return this.endInForce(target, fencing);
      const end = await this.runOrder(target, row, order, lease, signal);
      if (end !== undefined) return end;
    }
    return this.endFailed(target, 'the state did not settle');
  }

  /** Runs one order; undefined when the run goes on. */
  private async runOrder(
    target: OrderTarget,
    row: DesiredRow,
    order: EngineOrder,
    lease: HeldLease,
    signal: AbortSignal,
  ): Promise<ReconcileEnd | undefined> {
    if (order.kind !== OrderKind.LOAD) {
      return this.sendOrder(target, row, order, lease, signal);
    }
    const permit = await this.acquirePermit(target.server.id);
    if (!permit) return ReconcileEnd.BUSY;
    const end = await this.sendOrder(target, row, order, lease, signal);
    await permit.release();
    return end;
  }

  private async sendOrder(
    target: OrderTarget,
    row: DesiredRow,
    order: EngineOrder,
    lease: HeldLease,
    signal: AbortSignal,
  ): Promise<ReconcileEnd | undefined> {
    const {client, terms} = this.context;
    const {url} = target.server;
    if (!(await this.keepLease(lease))) return ReconcileEnd.BUSY;
    if (lease.computeRemaining() < terms.callMs) return ReconcileEnd.BUSY;
    const answer = await client.apply(url, row.fencing, order);
    if (answer.isOk() && !answer.value.applied) {
      this.context.log.record(ConfigEvent.ORDER_REFUSED, {
        step: 'order.apply',
        peer: target.server.id,
        fencing: row.fencing,
        newest: answer.value.fencing,
      });
      return ReconcileEnd.STALE;
    }
    const isReached = await this.waitUntilReached(
      target,
      row.desired,
      order,
      lease,
      signal,
    );
    if (isReached) return undefined;
    const reason = answer.isErr() ? answer.error.message : 'state unchanged';
    return this.endFailed(target, reason);
  }

  /** Looks at the engine until the order shows in its state. */
  private async waitUntilReached(
    target: OrderTarget,
    desired: DesiredState,
    order: EngineOrder,
    lease: HeldLease,
    signal: AbortSignal,
  ): Promise<boolean> {
    const {client, clock, terms} = this.context;
    const boundMs = order.kind === OrderKind.LOAD ? terms.loadMs : terms.callMs;
    const startMs = clock.now();
    while (!signal.aborted && clock.now() - startMs <= boundMs) {
      const state = await client.read(target.server.url);
      if (isReached(state, desired, order)) return true;
      if (!(await this.keepLease(lease))) return false;
      await clock.sleep(terms.lookMs, signal);
    }
    return false;
  }

  /** Renews the lease when less than half of it is left. */
  private async keepLease(lease: HeldLease): Promise<boolean> {
    const remaining = lease.computeRemaining();
    if (remaining === 0) return false;
    if (remaining > this.context.terms.leaseMs / 2) return true;
    return lease.renew();
  }

  /** Takes one of the permits that bound loads over all hosts. */
  private async acquirePermit(server: string): Promise<HeldLease | undefined> {
    const {leases, terms} = this.context;
    const termMs = terms.loadMs + terms.callMs;
    const first = server.length % terms.loadPermits;
    for (let step = 0; step < terms.loadPermits; step++) {
      const number = (first + step) % terms.loadPermits;
      const permit = await leases.acquire(`order-permit/${number}`, termMs);
      if (permit) return permit;
    }
    return undefined;
  }

  private async readDesired(server: string): Promise<DesiredRow | undefined> {
    const {environment, store} = this.context;
    const rows = await store.read(environment, [server]);
    return rows.isOk() ? rows.value.get(server) : undefined;
  }

  /** Tells operators when an engine left a state that it had already. */
  private recordRepair(target: OrderTarget, fencing: number): void {
    const {id} = target.server;
    if (this.inForce.get(id) !== fencing) return;
    this.inForce.delete(id);
    this.context.log.record(ConfigEvent.ENGINE_DRIFT_CORRECTED, {
      step: 'order.run',
      peer: id,
      fencing,
    });
  }

  private endInForce(target: OrderTarget, fencing: number): ReconcileEnd {
    this.inForce.set(target.server.id, fencing);
    this.context.log.record(ConfigEvent.ORDER_APPLIED, {
      step: 'order.run',
      peer: target.server.id,
      fencing,
    });
    return ReconcileEnd.IN_FORCE;
  }

  private endFailed(target: OrderTarget, reason: string): ReconcileEnd {
    this.context.log.record(ConfigEvent.ORDER_FAILED, {
      step: 'order.run',
      peer: target.server.id,
      reason,
    });
    return ReconcileEnd.FAILED;
  }
}

/** Tells whether an order shows: it is not the next difference any more. */
function isReached(
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
