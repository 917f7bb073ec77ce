/** Watches the engines that this host looks after. */
import type {Clock, EnvironmentSource} from '@savoryspur/common';
import type {MembershipView} from '@savoryspur/fleet';
import {PoolKind} from '@savoryspur/schema';
import type {OrderExecutor, OrderTarget} from './order_executor.js';
import type {DesiredRow, OrderStore} from './order_store.js';

/** What the service needs. */
export interface OrderServiceContext {
  environment: string;
  source: EnvironmentSource;
  view: MembershipView;
  store: OrderStore;
  executor: OrderExecutor;
  clock: Clock;
  /** Period at which engines are compared, milliseconds. */
  reconcileMs: number;
}

/** Compares engines with their desired states, over and over. */
export class OrderService {
  private readonly active = new Map<string, Promise<void>>();

  /** @param context - configuration, fleet, table and engines */
  constructor(private readonly context: OrderServiceContext) {}

  /** Compares the engines of this host until the signal ends it. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.startAll(signal);
      await this.context.clock.sleep(this.context.reconcileMs, signal);
    }
    await this.drain();
  }

  /** Starts one task for each engine with a desired state that has none. */
  async startAll(signal: AbortSignal): Promise<void> {
    const {environment, store} = this.context;
    const targets = this.listTargets();
    const servers = targets.map((target) => target.server.id);
    const rows = await store.read(environment, servers);
    if (rows.isErr()) return;
    for (const target of targets) {
      const row = rows.value.get(target.server.id);
      if (row) this.start(target, row, signal);
    }
  }

  /** Waits until no task runs. */
  async drain(): Promise<void> {
    await Promise.all(this.active.values());
  }

  private start(
    target: OrderTarget,
    row: DesiredRow,
    signal: AbortSignal,
  ): void {
    const {id} = target.server;
    if (this.active.has(id)) return;
    const task = this.context.executor
      .run(target, row, signal)
      .then(() => undefined)
      .finally(() => this.active.delete(id));
    this.active.set(id, task);
  }

  /** Lists the engines that this host owns by rendezvous hash. */
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
