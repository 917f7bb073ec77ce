/** Orders of operators to engines, and the reconciliation of engines. */
export * from './engine_orders.js';
export * from './engine_order_client.js';
export * from './order_executor.js';
export * from './order_handlers.js';
export * from './order_service.js';
export * from './order_store.js';
export {LeaseClient} from './table_lease.js';
