/** Intervals between the heartbeats of a daemon. */

/** Minimum interval between heartbeats, used in small fleets, milliseconds. */
const MIN_HEARTBEAT_INTERVAL_MS = 1000;

/** Interval between the first heartbeats, milliseconds: shorter, so that daemons that start together soon know each other. */
const STARTUP_HEARTBEAT_INTERVAL_MS = 250;

/** Number of heartbeats with the shorter interval. */
const STARTUP_HEARTBEATS = 4;

/** Heartbeat interval per daemon in the fleet, milliseconds: limits the load on the store, since every daemon reads the rows of all. */
const HEARTBEAT_INTERVAL_MS_PER_DAEMON = 20;

/**
 * Computes the heartbeat interval after the start of a daemon.
 *
 * @param daemons - size of the fleet
 * @returns milliseconds
 */
export function computeHeartbeatIntervalMs(daemons: number): number {
  return Math.max(
    MIN_HEARTBEAT_INTERVAL_MS,
    daemons * HEARTBEAT_INTERVAL_MS_PER_DAEMON,
  );
}

/**
 * Computes the time until the next heartbeat of a daemon.
 *
 * @param beats - heartbeats that it has sent
 * @param daemons - size of the fleet
 * @returns milliseconds
 */
export function computeNextHeartbeatMs(beats: number, daemons: number): number {
  return beats <= STARTUP_HEARTBEATS
    ? STARTUP_HEARTBEAT_INTERVAL_MS
    : computeHeartbeatIntervalMs(daemons);
}

/**
 * Estimates how long a daemon has been alive.
 *
 * @param beats - heartbeats that it has sent
 * @param daemons - size of the fleet
 * @returns milliseconds
 */
export function estimateAgeMs(beats: number, daemons: number): number {
  const intervals = Math.max(0, beats - 1);
  const startupIntervals = Math.min(intervals, STARTUP_HEARTBEATS);
  return (
    startupIntervals * STARTUP_HEARTBEAT_INTERVAL_MS +
    (intervals - startupIntervals) * computeHeartbeatIntervalMs(daemons)
  );
}
