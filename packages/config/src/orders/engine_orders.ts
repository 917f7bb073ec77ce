/** Creates the components that reconcile engines with operators' orders. */
import type {Clock, EnvironmentSource, EventLog} from '@savoryspur/common';
import type {MembershipView} from '@savoryspur/fleet';
import type {TableService} from '@savoryspur/storage';
import type {OperatorHandler} from '../operator_http.js';
import {HttpEngineOrderClient} from './engine_order_client.js';
import {
  DEFAULT_ORDER_LIMITS,
  OrderExecutor,
  type OrderLimits,
} from './order_executor.js';
import {createOrderHandlers} from './order_handlers.js';
import {OrderService} from './order_service.js';
import {OrderStore} from './order_store.js';
import {LeaseClient} from './table_lease.js';

/** Period at which engines are reconciled by default, milliseconds. */
const DEFAULT_RECONCILE_PERIOD_MS = 10_000;

/** Dependencies of the orders to engines, which the daemon provides. */
export interface EngineOrdersContext {
  /** Environment that this host serves. */
  environment: string;
  /** Name of this host with its incarnation, unique among all incarnations. */
  leaseHolder: string;
  source: EnvironmentSource;
  view: MembershipView;
  table: TableService;
  clock: Clock;
  log: EventLog;
  /** Time limit for establishing a connection to an engine, milliseconds. */
  connectTimeoutMs: number;
  /** Idle time after which a connection is not reused, milliseconds. */
  maxIdleMs: number;
  limits?: OrderLimits;
  /** Period at which engines are reconciled, milliseconds. */
  reconcilePeriodMs?: number;
}

/** Components for orders to engines in one daemon. */
export interface EngineOrders {
  /** Reconciles the engines of this host; `run` ends when its signal is aborted. */
  service: OrderService;
  /** Handlers to mount in the operator API. */
  handlers: OperatorHandler[];
  /** Closes the connections to engines. */
  close(): Promise<void>;
}

/** Creates the order service and its handlers for the operator API. */
export function createEngineOrders(context: EngineOrdersContext): EngineOrders {
  const {environment, source, view, table, clock, log} = context;
  const {limits = DEFAULT_ORDER_LIMITS} = context;
  const {reconcilePeriodMs = DEFAULT_RECONCILE_PERIOD_MS} = context;
  const tableContext = {table, clock, log};
  const store = new OrderStore(tableContext);
  const client = new HttpEngineOrderClient({
    timeoutMs: limits.callTimeoutMs,
    connectTimeoutMs: context.connectTimeoutMs,
    maxIdleMs: context.maxIdleMs,
  });
  const leases = new LeaseClient(tableContext, context.leaseHolder);
  const executor = new OrderExecutor({
    environment,
    store,
    leases,
    client,
    clock,
    log,
    limits,
  });
  const service = new OrderService({
    environment,
    source,
    view,
    store,
    executor,
    clock,
    reconcilePeriodMs,
  });
  return {
    service,
    handlers: createOrderHandlers({environment, source, store, client}),
    close: () => client.close(),
  };
}
