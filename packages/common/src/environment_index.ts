/** Indexed lookups in one version of an environment document. */
import {
  type Environment,
  type Key,
  type Model,
  type Pool,
  type Route,
  type Server,
  type Workspace,
  type Zone,
  KeyState,
  ZoneState,
} from '@savoryspur/schema';

/** Index of one version of the environment document; immutable. */
export class EnvironmentIndex {
  private readonly workspaces: Map<string, Workspace>;
  private readonly models: Map<string, Model>;
  private readonly pools: Map<string, Pool>;
  private readonly zones: Map<string, Zone>;
  private readonly servers: Map<string, Server>;
  private readonly serversByPoolAndZone: Map<string, Server[]>;
  private readonly keysByHash: Map<string, Key>;
  private readonly routes: Route[];

  /**
   * @param version - version of the configuration; increases with each change
   * @param digest - SHA-256 of the canonical document
   * @param document - the environment document
   * @param previous - index of an earlier version; its lookup maps are reused
   *     for the lists that both documents share
   */
  constructor(
    readonly version: number,
    readonly digest: string,
    readonly document: Environment,
    previous?: EnvironmentIndex,
  ) {
    const {workspaces, models, pools, zones, servers, keys, routes} = document;
    const old = previous?.document;
    this.workspaces =
      previous && old?.workspaces === workspaces
        ? previous.workspaces
        : new Map(workspaces.map((w) => [w.name, w]));
    this.models = new Map(models.map((m) => [m.name, m]));
    this.pools = new Map(pools.map((p) => [p.name, p]));
    this.zones = new Map(zones.map((z) => [z.name, z]));
    const isSame = previous && old?.servers === servers;
    this.servers = isSame
      ? previous.servers
      : new Map(servers.map((s) => [s.id, s]));
    this.serversByPoolAndZone = isSame
      ? previous.serversByPoolAndZone
      : collectByPoolAndZone(servers);
    this.keysByHash =
      previous && old?.keys === keys
        ? previous.keysByHash
        : new Map(keys.map((k) => [k.hash, k]));
    this.routes = [...routes].sort((a, b) => b.path.length - a.path.length);
  }

  /** Finds an active API key by the SHA-256 hash of the secret that the caller presented. */
  findActiveKey(hash: string): Key | undefined {
    const key = this.keysByHash.get(hash);
    return key?.state === KeyState.ACTIVE ? key : undefined;
  }

  /** Finds a workspace by name. */
  findWorkspace(name: string): Workspace | undefined {
    return this.workspaces.get(name);
  }

  /** Finds a model by the name that callers use. */
  findModel(name: string): Model | undefined {
    return this.models.get(name);
  }

  /** Finds a pool by name. */
  findPool(name: string): Pool | undefined {
    return this.pools.get(name);
  }

  /** Finds a backend server by id. */
  findServer(id: string): Server | undefined {
    return this.servers.get(id);
  }

  /** Finds an availability zone by name. */
  findZone(name: string): Zone | undefined {
    return this.zones.get(name);
  }

  /** Finds the route with the longest path that is a prefix of the request path, by whole path segments. */
  findRoute(path: string): Route | undefined {
    for (const route of this.routes) {
      if (path === route.path || path.startsWith(`${route.path}/`)) {
        return route;
      }
    }
    return undefined;
  }

  /** Tells whether a zone is in service and takes new work. */
  isZoneIn(name: string): boolean {
    return this.zones.get(name)?.state === ZoneState.IN;
  }

  /** Lists the backend servers of a pool in a zone. */
  listServers(pool: string, zone: string): readonly Server[] {
    return this.serversByPoolAndZone.get(formatPoolAndZone(pool, zone)) ?? [];
  }

  /** Lists the zones that are in service and take new work. */
  listZonesIn(): Zone[] {
    return this.document.zones.filter((z) => z.state === ZoneState.IN);
  }
}

function collectByPoolAndZone(
  servers: readonly Server[],
): Map<string, Server[]> {
  const groups = new Map<string, Server[]>();
  for (const server of servers) {
    const poolAndZone = formatPoolAndZone(server.pool, server.zone);
    const group = groups.get(poolAndZone);
    if (group) group.push(server);
    else groups.set(poolAndZone, [server]);
  }
  return groups;
}

function formatPoolAndZone(pool: string, zone: string): string {
  return `${pool} ${zone}`;
}

/** Source of the configuration in force on this daemon. */
export interface EnvironmentSource {
  /** Gets the index of the version in force; undefined until the first version is known. */
  getCurrent(): EnvironmentIndex | undefined;
  /**
   * Registers a listener for each new version.
   *
   * @returns a function that removes the listener
   */
  subscribe(listener: (index: EnvironmentIndex) => void): () => void;
}
