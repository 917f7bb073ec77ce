/** Public interface of the package. */
export * from './slot_allocator.js';
export type {QuarantineStore} from './quarantine.js';
export {RetryBudget} from './retry_budget.js';
export {
  createRoutingNode,
  RoutingNode,
  type RoutingParts,
} from './routing_node.js';
export {
  createRoutingPeers,
  type RoutingClient,
  type RoutingEndpoint,
  type RoutingPeers,
} from './routing_peers.js';
export {createRoutingRouter, type RoutingRouter} from './routing_router.js';
export {DEFAULT_ROUTING_SETTINGS, type RoutingSettings} from './settings.js';
export {
  type PoolStatus,
  type RoutingCounters,
  type RoutingStatus,
  ServerState,
  type ServerStatus,
} from './status.js';
