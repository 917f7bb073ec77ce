/**
 * Part of the limits of the fleet that one daemon may use, so that the parts of
 * all daemons never add up to more than the whole, in touch or not. Does no
 * input or output.
 */

/** Time for which a daemon's part is delegated to an owner after the daemon was heard, milliseconds. */
export const DELEGATION_MS = 1000;

/** Part of its own part that a daemon without an owner uses: others may count it as gone. */
export const LONE_PART = 0.3;

/** What a daemon knows of the fleet. */
export interface FleetView {
  /** Daemons that may use a part of the limits; undefined before they are known. */
  daemons: number | undefined;
  /** Whether others may take this daemon for gone. */
  isGivenUp: boolean;
}

/**
 * Computes the part of an owner.
 *
 * @param delegated - daemons whose part it uses, itself included
 * @param view - the fleet as the owner knows it
 * @returns a fraction of the whole
 */
export function computeOwnerShare(delegated: number, view: FleetView): number {
  const {daemons, isGivenUp} = view;
  if (daemons === undefined) return 0;
  const share = delegated / Math.max(delegated, daemons, 1);
  // The daemons that reach the store use the whole by now; while the store is
  // away for all, a majority keeps its parts.
  const isMinority = delegated * 2 <= daemons;
  return isGivenUp && isMinority ? share * LONE_PART : share;
}

/**
 * Computes the part of a daemon that reaches no owner.
 *
 * @param view - the fleet as the daemon knows it
 * @returns a fraction of the whole
 */
export function computeLoneShare(view: FleetView): number {
  return view.daemons === undefined ? 0 : LONE_PART / view.daemons;
}
