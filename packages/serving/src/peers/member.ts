/** Other daemons of the fleet, as their heartbeats describe them. */
import type {MemberRow, PeerInfo} from '@savoryspur/schema';
import {estimateAgeMs} from './heartbeat_interval.js';

/** Daemon as its heartbeats describe it. */
export interface Member {
  row: MemberRow;
  /** Version of the row; each heartbeat gives it a new one. */
  version: number;
  /** When a read first showed this version of the row, monotonic milliseconds. */
  lastHeartbeatMs: number;
  /** When the daemon last answered this one or a new heartbeat was read, monotonic milliseconds. */
  lastContactMs: number;
  /** Since when the daemon has been alive without interruption, monotonic milliseconds. */
  aliveSinceMs: number;
  isAlive: boolean;
}

/** What the time since when a daemon has been alive is computed by. */
export interface HeartbeatRead {
  /** When the heartbeat was read, monotonic milliseconds. */
  nowMs: number;
  /** The same time by the store's clock, milliseconds; undefined while that clock is not known. */
  storeMs: number | undefined;
  /** Size of the fleet. */
  daemons: number;
}

/**
 * Computes since when a daemon has been alive. Its row tells all daemons the
 * same, whether they have run for longer or have just started, so that they
 * agree on the owners; a daemon that this one has missed counts from now on.
 *
 * @param known - the daemon as it was known before
 * @param row - its heartbeat that was read
 * @param read - when it was read, and the size of the fleet
 * @returns monotonic milliseconds
 */
export function computeAliveSinceMs(
  known: Member | undefined,
  row: MemberRow,
  {nowMs, storeMs, daemons}: HeartbeatRead,
): number {
  const isSameIncarnation = known?.row.incarnation === row.incarnation;
  if (isSameIncarnation) {
    if (!known.isAlive) return nowMs;
    const isSame = known.row.aliveSinceMs === row.aliveSinceMs;
    if (isSame) return known.aliveSinceMs;
  }
  // Daemons of a former build don't tell since when they are alive.
  const ageMs =
    row.aliveSinceMs === undefined || storeMs === undefined
      ? estimateAgeMs(row.beat, daemons)
      : storeMs - row.aliveSinceMs;
  return nowMs - Math.max(0, ageMs);
}

/** Gets the address and identity of a daemon from its row. */
export function toPeerInfo(row: MemberRow): PeerInfo {
  const {host, zone, region, address, peerPort, incarnation} = row;
  return {host, zone, region, address, peerPort, incarnation};
}
