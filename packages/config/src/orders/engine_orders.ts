/** Builds the parts that order engines, for the daemon. */
import type {Clock, EnvironmentSource, EventLog} from '@savoryspur/common';
import type {MembershipView} from '@savoryspur/fleet';
import type {TableService} from '@savoryspur/storage';
import type {OperatorHandler} from '../operator_http.js';
import {HttpEngineOrderClient} from './engine_order_client.js';
import {
  DEFAULT_ORDER_TERMS,
  OrderExecutor,
  type OrderTerms,
} from './order_executor.js';
import {createOrderHandlers} from './order_handlers.js';
import {OrderService} from './order_service.js';
import {OrderStore} from './order_store.js';
import {LeaseTaker} from './table_lease.js';

/** Period at which engines are compared with their orders, milliseconds. */
const DEFAULT_RECONCILE_MS = 10_000;

/** What orders need of the daemon. */
export interface OrdersContext {
  /** Environment that this host serves. */
  environment: string;
  /** Name of this host and of this run, unique among all runs. */
  leaseHolder: string;
  source: EnvironmentSource;
  view: MembershipView;
  table: TableService;
  clock: Clock;
  log: EventLog;
  /** Bound on a connect to an engine, milliseconds. */
  connectMs: number;
  /** Longest idle time of a connection that is used again, milliseconds. */
  idleReuseMs: number;
  terms?: OrderTerms;
  /** Period at which engines are compared, milliseconds. */
  reconcileMs?: number;
}

/** Orders of one daemon. */
export interface EngineOrders {
  /** Compares the engines of this host; `run` ends with its signal. */
  service: OrderService;
  /** Handlers to mount for operators. */
  handlers: OperatorHandler[];
  /** Closes the connections to engines. */
  close(): Promise<void>;
}

/** Builds the order service and its operators' handlers. */
export function createEngineOrders(context: OrdersContext): EngineOrders {
  const {environment, source, view, table, clock, log} = context;
  const {terms = DEFAULT_ORDER_TERMS} = context;
  const {reconcileMs = DEFAULT_RECONCILE_MS} = context;
  const tableContext = {table, clock, log};
  const store = new OrderStore(tableContext);
  const client = new HttpEngineOrderClient({
    timeoutMs: terms.callMs,
    connectTimeoutMs: context.connectMs,
    maxIdleMs: context.idleReuseMs,
  });
  const leases = new LeaseTaker(tableContext, context.leaseHolder);
  const executor = new OrderExecutor({
    environment,
    store,
    leases,
    client,
    clock,
    log,
    terms,
  });
  const service = new OrderService({
    environment,
    source,
    view,
    store,
    executor,
    clock,
    reconcileMs,
  });
  return {
    service,
    handlers: createOrderHandlers({environment, source, store, client}),
    close: () => client.close(),
  };
}
