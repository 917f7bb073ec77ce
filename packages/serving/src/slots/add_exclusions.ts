/** Adds the servers that a slot request avoids or reaches only through other daemons. */
import type {EnvironmentView} from '../environment.js';
import type {ReachabilityMonitor} from '../online/reachability_monitor.js';
import type {ServiceRegistry} from '../service_registry.js';
import {listExcluded} from './list_excluded.js';
import {isOfVersion, type SlotRequest} from './slot_allocator.js';
import {splitUnreachable} from './split_unreachable.js';

/** What this daemon knows of the servers. */
export interface KnownServers {
  registry: Pick<
    ServiceRegistry<EnvironmentView>,
    'listLeaving' | 'listServers'
  >;
  /** Tells which servers this daemon can't reach. */
  reachability: Pick<ReachabilityMonitor, 'listUnreachable' | 'isCutOff'>;
  /** Whether calls to the servers of a zone can be forwarded through another daemon. */
  hasForwardPeer: (serverZone: string) => boolean;
}

/**
 * Adds the servers that leave, which a pool owner may not know of, to those
 * that a request avoids, and the servers that this daemon can't reach. The
 * latter are only marked if they can be called through another daemon, and
 * are not avoided if this would exclude every server of the service.
 *
 * @param request - the request with the servers that have been tried
 * @param known - what this daemon knows of the servers
 */
export function addExclusions(
  request: SlotRequest,
  known: KnownServers,
): SlotRequest {
  const {reachability, registry} = known;
  const {zones, serverIds} = reachability.listUnreachable();
  const adjusted = {...request, excluded: listExcluded(request, registry)};
  if (zones.length === 0 && serverIds.length === 0) return adjusted;
  const servers = registry.listServers(request.service);
  const unreachable = splitUnreachable(
    servers,
    {zones, serverIds, isCutOff: reachability.isCutOff()},
    known.hasForwardPeer,
  );
  const {forwardedZones, forwardedServerIds} = unreachable;
  const marked = {...adjusted, forwardedZones, forwardedServerIds};
  const isAnyReachable = servers.some(
    (server) =>
      isOfVersion(server, request) &&
      !unreachable.zones.includes(server.zone) &&
      !unreachable.serverIds.includes(server.id),
  );
  if (!isAnyReachable) return marked;
  const excluded = [...marked.excluded, ...unreachable.serverIds];
  return {...marked, excluded, unreachableZones: unreachable.zones};
}
