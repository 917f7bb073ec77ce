/** Status of a pool for operators. */
import type {MembershipView} from '@savoryspur/fleet';
import {createPoolKey} from './pool_key.js';
import type {ServerSlots} from './server_slots.js';
import {type PoolStatus, ServerState, type ServerStatus} from './status.js';

/** Computes the state of a server that operators see. */
function computeState(server: ServerSlots): ServerState {
  if (!server.isListed) return ServerState.LEAVING;
  if (!server.isOpen()) return ServerState.CLOSED;
  const isWarm = !server.isCrashSuspected && server.warmUp.isWarm();
  return isWarm ? ServerState.WARM : ServerState.COLD;
}

/** Makes the status of one server. */
function createServerStatus(server: ServerSlots): ServerStatus {
  const batch = server.countBatchGrants();
  const {running = 0, queued = 0} = server.loadReport ?? {};
  return {
    id: server.server.id,
    state: computeState(server),
    capacity: server.getCapacity(),
    grantedOnline: server.grants.size - batch,
    grantedBatch: batch,
    batchLimit: server.batchController.getLimit(),
    reportedLoad: running + queued,
  };
}

/** State of a pool owner. */
export interface OwnerState {
  servers: ServerSlots[];
  hasRecoveredGrants: boolean;
  queuedOnline: number;
  queuedBatch: number;
}

/**
 * Makes the status of a pool.
 *
 * @param pool - the pool
 * @param view - membership view
 * @param state - state of the pool owner
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
    isSettled: state.hasRecoveredGrants,
    queuedOnline: state.queuedOnline,
    queuedBatch: state.queuedBatch,
    servers: state.servers.map(createServerStatus),
  };
}
