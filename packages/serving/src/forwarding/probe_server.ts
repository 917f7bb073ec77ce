/** Checks whether a server accepts connections, against other servers. */
import type {EnvironmentView} from '../environment.js';
import type {ReachabilityMonitor} from '../online/reachability_monitor.js';
import type {BackendServer, ServiceRegistry} from '../service_registry.js';

/** Number of other servers that are connected to at the same time as the one in question. */
const CONTROL_SERVERS = 2;

/** Components of a check. */
export interface ProbeOptions {
  direct: Pick<ReachabilityMonitor, 'probe' | 'isReachable'>;
  registry: Pick<
    ServiceRegistry<EnvironmentView>,
    'getEnvironment' | 'listServers'
  >;
  /** Whether a server is known to be down, so that it tells nothing about this daemon; none when absent. */
  isDown?: (serverId: string) => boolean;
  /** Returns a random number in [0, 1). */
  random: () => number;
}

/**
 * Checks whether a server accepts connections of this daemon.
 *
 * @param options - way to connect, and the other servers
 * @param server - the server
 * @returns undefined when neither this server nor others accept connections, so
 *     that this daemon may be the one that is cut off
 */
export async function probeServer(
  options: ProbeOptions,
  server: BackendServer,
): Promise<boolean | undefined> {
  const {direct} = options;
  const controls = chooseControls(options, server);
  const [isReachable, ...areControlsReachable] = await Promise.all(
    [server, ...controls].map((probed) => direct.probe(probed)),
  );
  if (isReachable) return true;
  const isCutOff = controls.length > 0 && !areControlsReachable.includes(true);
  return isCutOff ? undefined : false;
}

/**
 * Chooses other servers of any service at random, of the same zone if it has
 * such, as this daemon may be cut off from the zone alone; those that are not
 * suspected to be unreachable first.
 */
function chooseControls(
  {direct, registry, random, isDown}: ProbeOptions,
  {id, zone}: BackendServer,
): BackendServer[] {
  const services = registry.getEnvironment()?.document.services ?? [];
  const others = services
    .flatMap(({name}) => registry.listServers(name))
    .filter((other) => other.id !== id && !isDown?.(other.id));
  const sameZone = others.filter((other) => other.zone === zone);
  return (sameZone.length > 0 ? sameZone : others)
    .map((other) => ({
      other,
      rank: (direct.isReachable(other) ? 0 : 1) + random(),
    }))
    .sort((a, b) => a.rank - b.rank)
    .slice(0, CONTROL_SERVERS)
    .map(({other}) => other);
}
