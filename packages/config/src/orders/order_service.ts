/** Reconciles the engines that this host owns periodically. */
import type {Clock, EnvironmentSource} from '@savoryspur/common';
import type {MembershipView} from '@savoryspur/fleet';
import {PoolKind} from '@savoryspur/schema';
import type {OrderExecutor, OrderTarget} from './order_executor.js';
import type {DesiredRow, OrderStore} from './order_store.js';

/** Dependencies of the service. */
export interface OrderServiceContext {
  environment: string;
  source: EnvironmentSource;
  view: MembershipView;
  store: OrderStore;
  executor: OrderExecutor;
  clock: Clock;
  /** Period at which engines are reconciled, milliseconds. */
  reconcilePeriodMs: number;
}

/** Reconciles engines with their desired states periodically. */
export class OrderService {
  /** Reconciliations in progress, by server id. */
  private readonly activeTasks = new Map<string, Promise<void>>();

  /** @param context - configuration, membership view, order store and executor */
  constructor(private readonly context: OrderServiceContext) {}

  /** Reconciles the engines of this host until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.startReconciliations(signal);
      await this.context.clock.sleep(this.context.reconcilePeriodMs, signal);
    }
    await this.drain();
  }

  /**
   * Starts a reconciliation of each engine that has a desired state and is not
   * being reconciled.
   */
  async startReconciliations(signal: AbortSignal): Promise<void> {
    const {environment, store} = this.context;
    const targets = this.listTargets();
    const servers = targets.map((target) => target.server.id);
    const rows = await store.read(environment, servers);
    if (rows.isErr()) return;
    for (const target of targets) {
      const row = rows.value.get(target.server.id);
      if (row) this.startReconciliation(target, row, signal);
    }
  }

  /** Waits until all reconciliations in progress have ended. */
  async drain(): Promise<void> {
    await Promise.all(this.activeTasks.values());
  }

  private startReconciliation(
    target: OrderTarget,
    row: DesiredRow,
    signal: AbortSignal,
  ): void {
    const {id} = target.server;
    if (this.activeTasks.has(id)) return;
    const task = this.context.executor
      .reconcile(target, row, signal)
      .then(() => undefined)
      .finally(() => this.activeTasks.delete(id));
    this.activeTasks.set(id, task);
  }

  /**
   * Lists the engines that this host owns by rendezvous hashing. The owner is a
   * host of the engine's zone, or of the first zone when the engine's zone has
   * no host.
   */
  private listTargets(): OrderTarget[] {
    const {source, view} = this.context;
    const index = source.getCurrent();
    if (!index) return [];
    const zones = [...view.listZones()].sort();
    const targets: OrderTarget[] = [];
    for (const server of index.document.servers) {
      const pool = index.findPool(server.pool);
      if (pool?.kind !== PoolKind.ENGINE) continue;
      const zone = zones.includes(server.zone) ? server.zone : zones[0];
      if (zone === undefined || zone !== view.self.zone) continue;
      const owner = view.computeOwner(`order:${server.id}`, zone);
      if (owner?.host !== view.self.host) continue;
      targets.push({server, checksFencing: pool.checksFencing});
    }
    return targets;
  }
}
