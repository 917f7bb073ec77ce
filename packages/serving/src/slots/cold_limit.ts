/** Warm-up rate limit of a daemon that decides standalone. */
import {
  computeStandaloneShare,
  type MembershipView,
} from '../peers/fleet_share.js';

/** Computes the requests a second that a standalone daemon may send to a cold server. */
export function computeStandaloneColdLimit(
  requestsPerSecond: number,
  view: MembershipView,
): number {
  if (requestsPerSecond <= 0) return Number.POSITIVE_INFINITY;
  return requestsPerSecond * computeStandaloneShare(view);
}
