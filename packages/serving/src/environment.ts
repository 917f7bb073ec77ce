/** Routes, services and workspaces in force, and how requests map to them. */

/** What may be repeated when a request of a route fails. */
export enum RouteKind {
  /** May run more than once. */
  IDEMPOTENT = 'idempotent',
  /** May run at most once for each attempt of the caller. */
  AT_MOST_ONCE = 'at_most_once',
  /** Answers with a series of events. */
  STREAMING = 'streaming',
  /** Takes batch jobs. */
  BATCH = 'batch',
}

/** Service that a route sends to, with its share of the requests. */
export interface RouteTarget {
  service: string;
  /** Relative share of the requests. */
  weight: number;
}

/** Where requests of one virtual host and path prefix go. */
export interface Route {
  name: string;
  host: string;
  pathPrefix: string;
  kind: RouteKind;
  /** Longest time a caller is kept waiting, milliseconds. */
  timeoutMs: number;
  /** Time within which an answer counts as on time, milliseconds. */
  targetLatencyMs: number;
  /** Rank; 0 is the most urgent. */
  priority: number;
  targets: RouteTarget[];
  /** Most servers that may run one attempt of a caller. */
  attempts: number;
  isPublic: boolean;
  /** Whether another server may resume a stream after its last event. */
  isResumable: boolean;
  /** Longest pause between events that counts as on time, milliseconds. */
  maxPauseMs: number;
  /** Batch: time after the submission in which results are due, milliseconds. */
  completionTargetMs: number;
  /** Batch: time after the submission from which items may be given up, milliseconds. */
  retentionMs: number;
  /** Batch: most tokens of a workspace that may wait; 0 for no limit. */
  maxWaitingTokens: number;
}

/** Pool of backend servers. */
export interface Service {
  name: string;
  /** Most connections that a server of the service accepts. */
  maxConnections: number;
  /** Requests a second that a cold server bears. */
  coldRequestsPerSecond: number;
}

/** Customer with keys and a rate over the whole fleet. */
export interface Workspace {
  name: string;
  apiKeys: string[];
  /** Rank that goes before that of the route; absent when it has none. */
  priority?: number;
  /** Requests a second; 0 for no limit. */
  ratePerSecond: number;
  /** Requests at once beyond the rate. */
  burst: number;
}

/** Bounds on what callers send. */
export interface RequestBounds {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  /** Longest time for the headers of a request, milliseconds. */
  headerTimeoutMs: number;
  /** Idle time after which a connection may be closed, milliseconds. */
  idleTimeoutMs: number;
}

/** One version of the environment document. */
export interface ServingEnvironment {
  version: number;
  routes: Route[];
  services: Service[];
  /** Absent when requests need no key. */
  workspaces?: Workspace[];
  bounds: RequestBounds;
}

/** Environment document with indexes for look-ups on each request. */
export class EnvironmentView {
  private readonly routesByHost = new Map<string, Route[]>();
  private readonly workspacesByKey = new Map<string, Workspace>();
  private readonly workspacesByName = new Map<string, Workspace>();
  private readonly servicesByName = new Map<string, Service>();

  /**
   * @param document - a valid environment
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
    for (const workspace of document.workspaces ?? []) {
      this.workspacesByName.set(workspace.name, workspace);
      for (const key of workspace.apiKeys) {
        this.workspacesByKey.set(key, workspace);
      }
    }
    for (const service of document.services) {
      this.servicesByName.set(service.name, service);
    }
  }

  /** Whether requests need a key unless their route is public. */
  get needsKeys(): boolean {
    return this.document.workspaces !== undefined;
  }

  /**
   * Finds the route with the longest matching prefix.
   *
   * @param host - virtual host of the request
   * @param path - path without query
   */
  findRoute(host: string, path: string): Route | undefined {
    const routes = this.routesByHost.get(host) ?? [];
    return routes.find((route) => path.startsWith(route.pathPrefix));
  }

  /** Finds a route by its name. */
  findRouteByName(name: string): Route | undefined {
    return this.document.routes.find((route) => route.name === name);
  }

  /** Finds the workspace that holds a key. */
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
 * Chooses the service of one request by the weights of its route.
 *
 * @param targets - services with their weights
 * @param fraction - random number from 0 up to 1
 */
export function chooseTarget(
  targets: readonly RouteTarget[],
  fraction: number,
): string | undefined {
  const total = targets.reduce((sum, target) => sum + target.weight, 0);
  let left = fraction * total;
  for (const target of targets) {
    left -= target.weight;
    if (left < 0) return target.service;
  }
  return targets.at(-1)?.service;
}

/** Whether a request of a route may run more than once. */
export function isRetryable(route: Route): boolean {
  if (route.kind === RouteKind.IDEMPOTENT) return true;
  return route.kind === RouteKind.STREAMING && route.isResumable;
}
