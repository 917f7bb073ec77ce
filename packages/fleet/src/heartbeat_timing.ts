/** How often daemons of a zone ask each other for delegations. */
import type {LeaseSettings} from '@savoryspur/schema';

/** Bytes of one heartbeat with its answer on the wire, both directions. */
export const HEARTBEAT_EXCHANGE_BYTES = 420;

/** Milliseconds of a second. */
const SECOND_MS = 1000;

/** Period and term of delegation leases. */
export interface HeartbeatTiming {
  /** Time between two heartbeats to one peer, milliseconds. */
  periodMs: number;
  /** Term of a delegation, milliseconds. */
  termMs: number;
  /** Absence after which slots are taken over, milliseconds. */
  takeoverMs: number;
}

/**
 * Computes period and term for a size of zone, so that heartbeats stay within
 * their share of the network.
 *
 * @param leases - settings; they are the least values
 * @param peers - other daemons of the zone
 */
export function computeHeartbeatTiming(
  leases: LeaseSettings,
  peers: number,
): HeartbeatTiming {
  const bytes = 2 * peers * HEARTBEAT_EXCHANGE_BYTES;
  const leastMs = (bytes * SECOND_MS) / leases.heartbeatBytes;
  const periodMs = Math.max(leases.heartbeatMs, Math.ceil(leastMs));
  const stretch = periodMs / leases.heartbeatMs;
  const termMs = Math.ceil(leases.delegationMs * stretch);
  const takeoverMs = Math.max(leases.slotTakeoverMs, 2 * termMs);
  return {periodMs, termMs, takeoverMs};
}
