/** Tells which unreachable servers can be called through other daemons. */
import type {BackendServer} from '../service_registry.js';

/** Zones and servers that this daemon doesn't reach. */
export interface UnreachableSet {
  zones: readonly string[];
  serverIds: readonly string[];
  /** Whether this daemon reaches no server, so that it doesn't reach those that it hasn't called either. */
  isCutOff: boolean;
}

/** Zones and servers that this daemon doesn't reach, by whether other daemons can call them for this one. Servers of listed zones are not listed themselves. */
export interface SplitTargets {
  zones: string[];
  serverIds: string[];
  forwardedZones: string[];
  forwardedServerIds: string[];
}

/**
 * Splits the unreachable zones and servers into those that other daemons can
 * call for this one, and the rest.
 *
 * @param servers - servers of the service
 * @param unreachable - zones and servers that this daemon doesn't reach
 * @param hasForwardPeer - whether calls to the servers of a zone can be forwarded
 */
export function splitUnreachable(
  servers: readonly BackendServer[],
  unreachable: UnreachableSet,
  hasForwardPeer: (serverZone: string) => boolean,
): SplitTargets {
  const allZones = new Set(servers.map(({zone}) => zone));
  const zones = unreachable.isCutOff ? [...allZones] : unreachable.zones;
  const forwardable = new Set(
    [...allZones].filter((zone) => hasForwardPeer(zone)),
  );
  const split: SplitTargets = {
    zones: zones.filter((zone) => !forwardable.has(zone)),
    serverIds: [],
    forwardedZones: zones.filter((zone) => forwardable.has(zone)),
    forwardedServerIds: [],
  };
  const suspectedIds = new Set(unreachable.serverIds);
  for (const {id, zone} of servers) {
    if (!suspectedIds.has(id) || zones.includes(zone)) continue;
    const ids = forwardable.has(zone)
      ? split.forwardedServerIds
      : split.serverIds;
    ids.push(id);
  }
  return split;
}
