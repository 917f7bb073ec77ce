/** Timing of the heartbeats by which daemons of a zone renew delegations. */
import type {LeaseSettings} from '@savoryspur/schema';

/** Bytes of one heartbeat and its answer on the wire, in both directions. */
export const HEARTBEAT_EXCHANGE_BYTES = 420;

const MS_PER_SECOND = 1000;

/** Heartbeat period, delegation term and takeover time. */
export interface HeartbeatTiming {
  /** Time between two heartbeats to one peer, milliseconds. */
  periodMs: number;
  /** Term of a delegation, milliseconds. */
  termMs: number;
  /**
   * Time for which a host is absent before its quota slots are taken over,
   * milliseconds.
   */
  takeoverMs: number;
}

/**
 * Computes the timing for the size of a zone, so that the heartbeats of a
 * daemon stay within the configured bytes per second. In each period a daemon
 * sends a heartbeat to each peer and receives one from it.
 *
 * @param leases - settings; they give the shortest times
 * @param peers - number of other daemons in the zone
 */
export function computeHeartbeatTiming(
  leases: LeaseSettings,
  peers: number,
): HeartbeatTiming {
  const bytesPerPeriod = 2 * peers * HEARTBEAT_EXCHANGE_BYTES;
  const minPeriodMs = (bytesPerPeriod * MS_PER_SECOND) / leases.heartbeatBytes;
  const periodMs = Math.max(leases.heartbeatMs, Math.ceil(minPeriodMs));
  const stretchFactor = periodMs / leases.heartbeatMs;
  const termMs = Math.ceil(leases.delegationMs * stretchFactor);
  const takeoverMs = Math.max(leases.slotTakeoverMs, 2 * termMs);
  return {periodMs, termMs, takeoverMs};
}
