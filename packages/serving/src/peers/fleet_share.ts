/**
 * Part of the limits of the fleet that one daemon may use, so that the parts of
 * all daemons never add up to more than the whole, in touch or not. Does no
 * input or output.
 */

/** Time for which a daemon's part is delegated to an owner after the daemon was heard, milliseconds. */
export const SHARE_DELEGATION_TTL_MS = 1000;

/** Part of its own part that a daemon without an owner uses: others may count it as gone. */
export const STANDALONE_SHARE_FACTOR = 0.3;

/** What a daemon knows of the fleet. */
export interface MembershipView {
  /** Daemons that may use a part of the limits; undefined before they are known. */
  daemons: number | undefined;
  /** Whether others may take this daemon for gone. */
  isPossiblyEvicted: boolean;
}

/**
 * Computes the part of an owner.
 *
 * @param delegated - daemons whose part it uses, itself included
 * @param view - the fleet as the owner knows it
 * @returns a fraction of the whole
 */
export function computeOwnerShare(
  delegated: number,
  view: MembershipView,
): number {
  const {daemons, isPossiblyEvicted: isPossiblyEvicted} = view;
  if (daemons === undefined) return 0;
  const share = delegated / Math.max(delegated, daemons, 1);
  // The daemons that reach the store use the whole by now; while the store is
  // away for all, a majority keeps its parts.
  const isMinority = delegated * 2 <= daemons;
  return isPossiblyEvicted && isMinority
    ? share * STANDALONE_SHARE_FACTOR
    : share;
}

/**
 * Computes the part of a daemon that reaches no owner.
 *
 * @param view - the fleet as the daemon knows it
 * @returns a fraction of the whole
 */
export function computeStandaloneShare(view: MembershipView): number {
  return view.daemons === undefined
    ? 0
    : STANDALONE_SHARE_FACTOR / view.daemons;
}
