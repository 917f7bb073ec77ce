/** Warm-up rate limit of the cold servers of a service. */
import type {EnvironmentView} from '../environment.js';

/**
 * Computes the requests a second that a daemon may send to a cold server.
 *
 * @param environment - environment with the fleet-wide limit; undefined while it
 *     is not known
 * @param service - name of the service
 * @param computeShare - computes the daemon's share of the limit, a fraction
 * @returns requests a second; infinity when there is no limit
 */
export function computeColdLimit(
  environment: EnvironmentView | undefined,
  service: string,
  computeShare: () => number,
): number {
  const fleetLimit =
    environment?.findService(service)?.coldRequestsPerSecond ?? 0;
  if (fleetLimit <= 0) return Number.POSITIVE_INFINITY;
  return fleetLimit * computeShare();
}
