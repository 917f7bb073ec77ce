/** Renders the state of a pool for operators. */
import type {MembershipView} from '@savoryspur/fleet';
import {createPoolKey} from './pool_key.js';
import type {ServerSlots} from './server_slots.js';
import {type PoolStatus, ServerState, type ServerStatus} from './status.js';

/** Tells the state of a server. */
function computeState(server: ServerSlots): ServerState {
  if (!server.isListed) return ServerState.LEAVING;
  if (!server.isOpen()) return ServerState.CLOSED;
  const isWarm = !server.isDoubted && server.warmth.isWarm();
  return isWarm ? ServerState.WARM : ServerState.COLD;
}

/** Makes the status of one server. */
function createServerStatus(server: ServerSlots): ServerStatus {
  const batch = server.countBatch();
  const {running = 0, queued = 0} = server.reported ?? {};
  return {
    id: server.server.id,
    state: computeState(server),
    capacity: server.getCapacity(),
    grantedOnline: server.grants.size - batch,
    grantedBatch: batch,
    batchLimit: server.batch.getLimit(),
    reportedLoad: running + queued,
  };
}

/** What an owner tells of itself. */
export interface OwnerState {
  servers: ServerSlots[];
  isSettled: boolean;
  queuedOnline: number;
  queuedBatch: number;
}

/**
 * Makes the status of a pool.
 *
 * @param pool - the pool
 * @param view - view of the fleet
 * @param state - what the owner tells of itself
 */
export function createPoolStatus(
  pool: string,
  view: MembershipView,
  state: OwnerState,
): PoolStatus {
  const share = view.getDelegatedShare(createPoolKey(pool));
  return {
    pool,
    zone: view.self.zone,
    slots: share.slots,
    zoneSlots: share.zoneSlots,
    isSettled: state.isSettled,
    queuedOnline: state.queuedOnline,
    queuedBatch: state.queuedBatch,
    servers: state.servers.map(createServerStatus),
  };
}
