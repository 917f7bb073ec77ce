/**
 * Computes the share of the fleet-wide limits that one daemon may use, so that the
 * shares of all daemons never add up to more than the limits, even while daemons
 * cannot reach each other. Performs no I/O.
 */

/** Minimum time for which the share of a daemon stays delegated to an owner after the daemon's last call to the owner, milliseconds. */
export const SHARE_DELEGATION_TTL_MS = 1000;

/** Time beyond a synchronization period for which a share stays delegated, milliseconds: a late call must not end the delegation, and a former owner uses the share for that long. */
const DELEGATION_GRACE_MS = 600;

/**
 * Computes the time for which the share of a daemon stays delegated to an owner
 * after the daemon's last call to the owner.
 *
 * @param periodMs - synchronization period of the daemon, milliseconds
 * @returns milliseconds
 */
export function computeDelegationTtlMs(periodMs: number): number {
  return Math.max(SHARE_DELEGATION_TTL_MS, periodMs + DELEGATION_GRACE_MS);
}

/** Fraction of its own share that a standalone daemon uses: others may have evicted it and use the rest. */
export const STANDALONE_SHARE_FACTOR = 0.3;

/** Membership of the fleet as one daemon knows it. */
export interface MembershipView {
  /** Number of daemons that may use a share of the limits; undefined before the first read of the heartbeats. */
  daemons: number | undefined;
  /** Whether other daemons may have evicted this one. */
  isPossiblyEvicted: boolean;
}

/**
 * Computes the share of an owner.
 *
 * @param delegatingDaemons - number of daemons whose share the owner uses, itself
 *     included; a daemon may count as a fraction
 * @param view - membership as the owner knows it
 * @returns a fraction of the fleet-wide limit
 */
export function computeOwnerShare(
  delegatingDaemons: number,
  view: MembershipView,
): number {
  const {daemons, isPossiblyEvicted} = view;
  if (daemons === undefined) return 0;
  const share = delegatingDaemons / Math.max(delegatingDaemons, daemons, 1);
  // The daemons that reach the store may have evicted this side and use the whole
  // limit by now. If the store is unavailable to all daemons, a majority keeps its
  // full share.
  const isAtMostHalf = delegatingDaemons * 2 <= daemons;
  return isPossiblyEvicted && isAtMostHalf
    ? share * STANDALONE_SHARE_FACTOR
    : share;
}

/**
 * Computes the share of a standalone daemon, which reaches no owner.
 *
 * @param view - membership as the daemon knows it
 * @returns a fraction of the fleet-wide limit
 */
export function computeStandaloneShare(view: MembershipView): number {
  return view.daemons === undefined
    ? 0
    : STANDALONE_SHARE_FACTOR / view.daemons;
}
