/**
 * Follows the rollouts of all services on one daemon, and decides on those whose
 * pool this daemon owns. It does nothing before the first order exists.
 */
import {type Clock, type EventLog, ServingEvent} from '@savoryspur/common';
import type {RowStore} from '../store/row_store.js';
import {
  type FollowedRow,
  TableFollower,
  type TableListener,
} from '../store/table_follower.js';
import {decodeRolloutRow, ROLLOUT_TABLE} from './rollout_row_store.js';
import type {
  EncodeRolloutStatus,
  RolloutBounds,
  RolloutOrder,
  RolloutOrders,
} from './rollout_types.js';
import {ServiceRollout} from './service_rollout.js';

/** Time between two checks of the rollouts, milliseconds: short compared to the time in which a bad version must get nothing. */
const CHECK_PERIOD_MS = 100;

/** Time in which changes of the rows are coalesced before they are read, milliseconds. */
const COALESCE_MS = 100;

/** What the coordinator knows of the services. */
export interface RolloutServices {
  /** Gets the names of the services; undefined before the environment was read. */
  listServices(): readonly string[] | undefined;
  /** Lists the software versions of a service that are or were listed. */
  listVersions(service: string): string[];
  /** Lists the software versions of the servers of a service that accept work. */
  listServerVersions(service: string): string[];
  /** Whether this daemon owns the pool of a service. */
  isOwner(service: string): boolean;
}

/** Components that the coordinator uses. */
export interface RolloutCoordinatorOptions {
  /** Incarnation of this daemon. */
  writer: string;
  store: RowStore & {isOutageShared?: () => boolean};
  clock: Clock;
  log: EventLog;
  bounds: RolloutBounds;
  encodeStatus: EncodeRolloutStatus;
  services: RolloutServices;
}

/** A rollout as operators see it on one daemon. */
export interface RolloutReport {
  service: string;
  /** Whether this daemon decides on the rollout. */
  isDecider: boolean;
  order?: RolloutOrder;
  target?: string;
  phase?: string;
  reason?: string;
  startedMs?: number;
  durationMs?: number;
  requests: number;
  targetRequests: number;
  retired: string[];
  history: unknown[];
}

/** Rollouts of all services. */
export class RolloutCoordinator implements TableListener {
  private readonly rollouts = new Map<string, ServiceRollout>();
  private readonly advancing = new Set<string>();
  private orders: RolloutOrders = {version: undefined, orders: []};
  private follower: TableFollower | undefined;
  private signal: AbortSignal | undefined;

  /**
   * @param options - components that the coordinator uses
   */
  constructor(private readonly options: RolloutCoordinatorOptions) {}

  /** Allows the background tasks to start, which they do once an order exists. */
  start(signal: AbortSignal): void {
    this.signal = signal;
    this.startTasks();
  }

  /** Replaces the orders that are in force. */
  setOrders(orders: RolloutOrders): void {
    this.orders = orders;
    const version = orders.version ?? -1;
    for (const order of orders.orders) this.getOrCreate(order.service);
    for (const [service, rollout] of this.rollouts) {
      const order = orders.orders.find((o) => o.service === service);
      rollout.setOrder(order && this.checkService(order), version);
    }
    this.startTasks();
  }

  /** Gets the rollout of a service; undefined when there never was one. */
  getRollout(service: string): ServiceRollout | undefined {
    return this.rollouts.get(service);
  }

  /** Whether this daemon may use a server without a pool owner. */
  isStandaloneAllowed(service: string, softwareVersion: string): boolean {
    const rollout = this.rollouts.get(service);
    return rollout?.isStandaloneAllowed(softwareVersion) ?? true;
  }

  /** Gets the time since the store last confirmed the rows, milliseconds; infinity before that. */
  getRowsAgeMs(): number {
    return this.follower?.getAgeMs() ?? Number.POSITIVE_INFINITY;
  }

  /** Describes the rollouts for operators. */
  describe(): RolloutReport[] {
    return [...this.rollouts].map(([service, rollout]) => {
      const row = rollout.getRow();
      const counts = rollout.getCounts();
      return {
        service,
        isDecider: rollout.isDecider(),
        order: rollout.getOrder(),
        target: row?.target,
        phase: row?.phase,
        reason: row?.reason,
        startedMs: row?.startedMs,
        durationMs: row?.durationMs,
        requests: counts.requests,
        targetRequests: counts.targetRequests,
        retired: row?.retired ?? [],
        history: row?.history ?? [],
      };
    });
  }

  /** Takes the steps of all rollouts that are due; a rollout whose last steps have not ended is skipped. */
  async advance(): Promise<void> {
    this.setOrders(this.orders);
    const steps = [...this.rollouts].map(([service, rollout]) =>
      this.advanceOne(service, rollout),
    );
    await Promise.all(steps);
  }

  /** {@inheritDoc TableListener.apply} */
  apply({key, value, version}: FollowedRow): void {
    if (value === undefined) return;
    const row = decodeRolloutRow(key, value);
    if (row.isOk()) {
      this.getOrCreate(key).applyRow(row.value, version);
      return;
    }
    this.options.log.record(ServingEvent.DOCUMENT_REJECTED, {
      step: 'rollouts.read',
      peer: key,
      reason: row.error.message,
    });
  }

  private async advanceOne(
    service: string,
    rollout: ServiceRollout,
  ): Promise<void> {
    const {services, log} = this.options;
    // Calls to the store that take long must not delay a rollback in memory.
    rollout.updateVerdict();
    if (this.advancing.has(service) || services.listServices() === undefined)
      return;
    this.advancing.add(service);
    try {
      await rollout.advance(services.isOwner(service));
    } catch (thrown) {
      log.record(ServingEvent.UNEXPECTED_FAILURE, {
        step: 'rollouts.advance',
        service,
        reason: thrown instanceof Error ? thrown.message : String(thrown),
        stack: thrown instanceof Error ? thrown.stack : undefined,
      });
    } finally {
      this.advancing.delete(service);
    }
  }

  /** Rejects an order for a service that the environment doesn't have. */
  private checkService(order: RolloutOrder): RolloutOrder {
    const names = this.options.services.listServices();
    if (order.rejection !== undefined || names === undefined) return order;
    if (names.includes(order.service)) return order;
    const found = JSON.stringify(order.service);
    const rejection = `service: found ${found}, expected a service of the environment`;
    return {...order, rejection};
  }

  private getOrCreate(service: string): ServiceRollout {
    const known = this.rollouts.get(service);
    if (known) return known;
    const {services, ...shared} = this.options;
    const rollout = new ServiceRollout({
      ...shared,
      service,
      isOutageShared: () => shared.store.isOutageShared?.() === true,
      getRowsAgeMs: () => this.getRowsAgeMs(),
      listVersions: () => services.listVersions(service),
      listServerVersions: () => services.listServerVersions(service),
    });
    this.rollouts.set(service, rollout);
    return rollout;
  }

  /** Starts to follow the rows and to check the rollouts, at the first order. */
  private startTasks(): void {
    const {signal} = this;
    if (!signal || this.follower || this.orders.orders.length === 0) return;
    const {store, clock, log} = this.options;
    this.follower = new TableFollower({
      table: ROLLOUT_TABLE,
      store,
      clock,
      log,
      listener: this,
      isSinglePartition: true,
      coalesceMs: COALESCE_MS,
    });
    void this.follower.run(signal);
    void this.runChecks(signal);
  }

  private async runChecks(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      void this.advance();
      await this.options.clock.sleep(CHECK_PERIOD_MS, signal);
    }
  }
}
