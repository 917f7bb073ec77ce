/** Environment document: routes, services and workspaces in force, with look-ups for requests. */

/** Kind of a route, which decides whether a failed request may be retried. */
export enum RouteKind {
  /** A request may run more than once. */
  IDEMPOTENT = 'idempotent',
  /** A request may run at most once for each attempt of the caller. */
  AT_MOST_ONCE = 'at_most_once',
  /** A request is answered with a stream of events. */
  STREAMING = 'streaming',
  /** The route accepts batch jobs. */
  BATCH = 'batch',
}

/** Service that a route sends requests to. */
export interface RouteTarget {
  service: string;
  /** Weight of the service in the choice among the targets of the route. */
  weight: number;
}

/** Route of the requests with one virtual host and path prefix. */
export interface Route {
  name: string;
  host: string;
  pathPrefix: string;
  kind: RouteKind;
  /** Timeout of a request, milliseconds. */
  timeoutMs: number;
  /** Target latency: time within which an answer counts as on time, milliseconds. */
  targetLatencyMs: number;
  /** Priority; 0 is the most urgent. */
  priority: number;
  targets: RouteTarget[];
  /** Maximum number of servers that may run one request of a caller. */
  attempts: number;
  /** Whether requests need no API key. */
  isPublic: boolean;
  /** Whether another server can resume an interrupted stream after its last event. */
  isResumable: boolean;
  /** Streaming: longest pause between two events that counts as on time, milliseconds. */
  maxPauseMs: number;
  /** Streaming: time without an event, also before the first one, after which callers leave, milliseconds. */
  callerGapMs: number;
  /** Batch: time from the submission until the results are due, milliseconds. */
  completionTargetMs: number;
  /** Batch: time from the submission until unfinished items may be abandoned, milliseconds. */
  retentionMs: number;
  /** Batch: queued-token quota of a workspace, tokens; 0 for no limit. */
  maxWaitingTokens: number;
}

/** Service that is run by a pool of backend servers. */
export interface Service {
  name: string;
  /** Maximum number of connections to each server of the service. */
  maxConnections: number;
  /** Warm-up rate limit: requests a second to a cold server, from all daemons together; 0 for no limit. */
  coldRequestsPerSecond: number;
}

/** Workspace of a customer, with API keys and a rate limit over the whole fleet. */
export interface Workspace {
  name: string;
  apiKeys: string[];
  /** Priority of its requests; absent when that of the route applies. */
  priority?: number;
  /** Rate limit, requests a second; 0 for no limit. */
  ratePerSecond: number;
  /** Burst: requests that are admitted at once beyond the rate limit. */
  burst: number;
}

/** Limits on the requests and connections of callers. */
export interface RequestBounds {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  /** Longest time in which the headers of a request have to arrive, milliseconds. */
  headerTimeoutMs: number;
  /** Idle time after which a connection may be closed, milliseconds. */
  idleTimeoutMs: number;
}

/** One version of the environment document. */
export interface ServingEnvironment {
  version: number;
  routes: Route[];
  services: Service[];
  /** Absent when requests need no API key. */
  workspaces?: Workspace[];
  bounds: RequestBounds;
}

/** Environment document with indexes for the look-ups of each request. */
export class EnvironmentView {
  private readonly routesByHost = new Map<string, Route[]>();
  private readonly workspacesByKey = new Map<string, Workspace>();
  private readonly workspacesByName = new Map<string, Workspace>();
  private readonly servicesByName = new Map<string, Service>();

  /**
   * @param document - a valid environment document
   */
  constructor(readonly document: ServingEnvironment) {
    for (const route of document.routes) {
      const routes = this.routesByHost.get(route.host) ?? [];
      routes.push(route);
      this.routesByHost.set(route.host, routes);
    }
    for (const routes of this.routesByHost.values()) {
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
    for (const workspace of this.listWorkspaces()) {
      this.workspacesByName.set(workspace.name, workspace);
      for (const key of workspace.apiKeys) {
        this.workspacesByKey.set(key, workspace);
      }
    }
    for (const service of document.services) {
      this.servicesByName.set(service.name, service);
    }
  }

  /** Whether requests need an API key unless their route is public. */
  get needsKeys(): boolean {
    return this.document.workspaces !== undefined;
  }

  /**
   * Finds the route with the longest matching path prefix.
   *
   * @param host - virtual host of the request
   * @param path - path of the request without the query
   */
  findRoute(host: string, path: string): Route | undefined {
    const routes = this.routesByHost.get(host) ?? [];
    return routes.find((route) => path.startsWith(route.pathPrefix));
  }

  /** Finds a route by its name. */
  findRouteByName(name: string): Route | undefined {
    return this.document.routes.find((route) => route.name === name);
  }

  /** Finds the workspace that an API key belongs to. */
  findWorkspaceByKey(key: string): Workspace | undefined {
    return this.workspacesByKey.get(key);
  }

  /** Finds a workspace by its name. */
  findWorkspace(name: string): Workspace | undefined {
    return this.workspacesByName.get(name);
  }

  /** Finds a service by its name. */
  findService(name: string): Service | undefined {
    return this.servicesByName.get(name);
  }

  /** Lists all workspaces. */
  listWorkspaces(): Workspace[] {
    return this.document.workspaces ?? [];
  }
}

/**
 * Chooses the service for one request at random, by the weights of its route.
 *
 * @param targets - services with their weights
 * @param fraction - random number in [0, 1)
 * @returns name of the service; undefined when there are no targets
 */
export function chooseTarget(
  targets: readonly RouteTarget[],
  fraction: number,
): string | undefined {
  const total = targets.reduce((sum, target) => sum + target.weight, 0);
  let remainingWeight = fraction * total;
  for (const target of targets) {
    remainingWeight -= target.weight;
    if (remainingWeight < 0) return target.service;
  }
  return targets.at(-1)?.service;
}

/** Checks whether a request of a route may run more than once. */
export function isRetryable(route: Route): boolean {
  if (route.kind === RouteKind.IDEMPOTENT) return true;
  return route.kind === RouteKind.STREAMING && route.isResumable;
}
