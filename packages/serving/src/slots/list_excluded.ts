/** Servers that a slot request asks its pool owner to avoid. */
import type {EnvironmentView} from '../environment.js';
import type {ServiceRegistry} from '../service_registry.js';
import {isOfVersion, type SlotRequest} from './slot_allocator.js';

/**
 * Lists the servers that a request avoids, with those that leave. An owner
 * ignores a list that names all its servers, and would grant a server that
 * leaves, so the list does not name all the others too.
 *
 * @param request - the request with the servers that have been tried
 * @param registry - the servers that this daemon knows
 * @returns ids of servers
 */
export function listExcluded(
  request: SlotRequest,
  registry: Pick<
    ServiceRegistry<EnvironmentView>,
    'listLeaving' | 'listServers'
  >,
): readonly string[] {
  const leaving = registry.listLeaving(request.service);
  if (leaving.length === 0) return request.excluded;
  for (const server of registry.listServers(request.service)) {
    if (!isOfVersion(server, request)) continue;
    if (request.excluded.includes(server.id)) continue;
    return [...request.excluded, ...leaving];
  }
  return leaving;
}
