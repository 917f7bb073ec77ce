/** Membership, connections, quota slots and delegation leases of daemons. */
export * from './contract.js';
export * from './delegation_grantor.js';
export * from './delegation_holder.js';
export * from './fleet.js';
export * from './fleet_core.js';
export * from './fleet_router.js';
export * from './heartbeat_timing.js';
export {formatHostIncarnation} from './heartbeats.js';
export * from './peer_pool.js';
export * from './peer_server.js';
export * from './peer_streams.js';
export * from './procedures.js';
export * from './trpc.js';
