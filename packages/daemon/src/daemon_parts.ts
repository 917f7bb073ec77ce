/** Builds the parts of a daemon and connects them. */
import {
  BackendConnections,
  HttpEngineClient,
  HttpLoadReader,
  HttpServiceClient,
} from '@savoryspur/backends';
import {
  type BatchWorker,
  createBatchWorker,
  createJobService,
  OperatorJobReader,
  type JobService,
} from '@savoryspur/batch';
import type {Clock, EventLog} from '@savoryspur/common';
import {
  ConfigDistributor,
  ConfigFollower,
  ConfigStore,
  createStatusHandlers,
  createConfigHandlers,
  createEngineOrders,
  EnvironmentLoader,
  type OperatorHandler,
  type EngineOrders,
} from '@savoryspur/config';
import {createFleet, type Fleet} from '@savoryspur/fleet';
import {createRateLimiter, type FleetRateLimiter} from '@savoryspur/limits';
import {
  createRoutingNode,
  createRoutingPeers,
  RetryBudget,
  type RoutingNode,
} from '@savoryspur/routing';
import {ServiceLevelRecorder} from '@savoryspur/report';
import type {Settings} from '@savoryspur/schema';
import {PlacedItemExecutor} from './jobs/item_executor.js';
import {KeyWatch} from './online/key_watch.js';
import {LevelObserver, ObserverList} from './online/level_observer.js';
import {MetricsObserver} from './online/metrics_observer.js';
import type {OnlineObserver} from './online/observer.js';
import {Metrics} from '@savoryspur/common';
import {type AppRouter, createAppRouter} from './peers/app_router.js';
import {OperatorView} from './operator/operator_view.js';
import {publishCancelled} from './peers/job_router.js';
import {fetchLevels} from './peers/report_router.js';
import {
  createPlatformClients,
  type PlatformClients,
} from './platform_clients.js';
import {QuarantineRows} from './quarantine_rows.js';

/** Connections of one daemon to one backend server. */
const MAX_SERVER_CONNECTIONS = 256;

/** What a daemon is built from. */
export interface DaemonOptions {
  settings: Settings;
  clock: Clock;
  log: EventLog;
}

/** Options and the identity of this run. */
interface BuildContext extends DaemonOptions {
  incarnation: string;
  platform: PlatformClients;
}

/** Configuration of one daemon. */
interface ConfigParts {
  follower: ConfigFollower;
  store: ConfigStore;
}

/** Clients of the backend servers. */
interface BackendParts {
  connections: BackendConnections;
  engine: HttpEngineClient;
  service: HttpServiceClient;
}

/** Jobs of one daemon. */
interface JobParts {
  jobs: JobService;
  worker: BatchWorker;
  directory: OperatorJobReader;
}

/** All parts of a daemon. */
export interface DaemonParts extends ConfigParts, BackendParts, JobParts {
  incarnation: string;
  platform: PlatformClients;
  fleet: Fleet;
  distributor: ConfigDistributor;
  limiter: FleetRateLimiter;
  placer: RoutingNode;
  retries: RetryBudget;
  keyWatch: KeyWatch;
  metrics: Metrics;
  observer: OnlineObserver;
  orders: EngineOrders;
  /** Router of all calls between daemons. */
  router: AppRouter;
  operatorHandlers: OperatorHandler[];
}

/**
 * Builds all parts; nothing runs yet.
 *
 * @param options - settings, clock and log
 * @param incarnation - identity of this run of the daemon
 */
export function buildParts(
  options: DaemonOptions,
  incarnation: string,
): DaemonParts {
  const platform = createPlatformClients(options.settings);
  const context = {...options, incarnation, platform};
  const config = buildConfig(context);
  const fleet = buildFleet(context, config.follower);
  const distributor = buildDistributor(context, config, fleet);
  const limiter = buildLimiter(context, config.follower, fleet);
  const backends = buildBackends(options);
  const placer = buildPlacer(context, config.follower, fleet, backends);
  const jobParts = buildJobs(context, {
    ...config,
    ...backends,
    fleet,
    limiter,
    placer,
  });
  const metrics = new Metrics();
  const recorder = new ServiceLevelRecorder(
    options.settings.host.id,
    options.clock,
  );
  const orders = buildOrders(context, config.follower, fleet);
  const router = createAppRouter({
    fleet: fleet.router,
    limits: limiter.router,
    routing: placer,
    config: distributor,
    recorder,
    cancelJob: (jobId) => jobParts.worker.cancelJob(jobId),
  });
  return {
    ...config,
    ...backends,
    ...jobParts,
    incarnation,
    platform,
    fleet,
    distributor,
    limiter,
    placer,
    retries: new RetryBudget(options.settings.limits.retryBudget),
    keyWatch: new KeyWatch(config.follower),
    metrics,
    observer: new ObserverList([
      new MetricsObserver(metrics),
      new LevelObserver(config.follower, recorder),
    ]),
    orders,
    router,
    operatorHandlers: [
      ...createConfigHandlers(config.store),
      ...orders.handlers,
      ...createStatusHandlers(
        buildOperatorView(context, {...config, ...jobParts, fleet, recorder}),
      ),
    ],
  };
}

function buildConfig(context: BuildContext): ConfigParts {
  const {settings, clock, log, platform} = context;
  const {table, objects} = platform;
  const follower = new ConfigFollower({
    environment: settings.host.environment,
    loader: new EnvironmentLoader(table, objects),
    clock,
    log,
    pollMs: settings.leases.configPollMs,
    maxStalenessMs: settings.leases.configMaxAgeMs,
  });
  return {follower, store: new ConfigStore({table, objects, clock, log})};
}

function buildFleet(context: BuildContext, environment: ConfigFollower): Fleet {
  const {settings, incarnation, clock, log, platform} = context;
  const {hostList, table} = platform;
  return createFleet({
    settings,
    incarnation,
    clock,
    log,
    hostList,
    table,
    environment,
  });
}

function buildDistributor(
  context: BuildContext,
  config: ConfigParts,
  fleet: Fleet,
): ConfigDistributor {
  const {settings, clock} = context;
  const distributor = new ConfigDistributor({
    environment: settings.host.environment,
    follower: config.follower,
    view: fleet,
    peers: fleet.getCaller<AppRouter>(),
    clock,
    pollMs: settings.leases.configPollMs,
  });
  config.store.subscribe((environment, committed) =>
    distributor.applyCommit(environment, committed),
  );
  return distributor;
}

function buildLimiter(
  context: BuildContext,
  environment: ConfigFollower,
  fleet: Fleet,
): FleetRateLimiter {
  const limiter = createRateLimiter({
    clock: context.clock,
    environment,
    view: fleet,
    caller: fleet.getCaller<AppRouter>(),
    callTimeoutMs: context.settings.timeouts.peerCallMs,
  });
  fleet.registerTokenHandover(limiter.tokenHandover);
  return limiter;
}

function buildBackends({settings}: DaemonOptions): BackendParts {
  const {idleReuseMs} = settings.timeouts;
  const connections = new BackendConnections({
    idleReuseMs,
    maxConnections: MAX_SERVER_CONNECTIONS,
  });
  return {
    connections,
    engine: new HttpEngineClient(connections),
    service: new HttpServiceClient(connections),
  };
}

function buildPlacer(
  context: BuildContext,
  environment: ConfigFollower,
  fleet: Fleet,
  backends: BackendParts,
): RoutingNode {
  const {clock, log, platform, settings} = context;
  const {connectMs, firstByteMs, betweenBytesMs} = settings.timeouts;
  return createRoutingNode({
    view: fleet,
    peers: createRoutingPeers(fleet.getCaller<AppRouter>()),
    environment,
    loadReader: new HttpLoadReader(backends.connections, {
      connectTimeoutMs: connectMs,
      firstByteTimeoutMs: firstByteMs,
      idleTimeoutMs: betweenBytesMs,
    }),
    quarantineStore: new QuarantineRows(platform.table),
    clock,
    log,
  });
}

/** What jobs need of the other parts. */
interface JobNeeds extends ConfigParts, BackendParts {
  fleet: Fleet;
  limiter: FleetRateLimiter;
  placer: RoutingNode;
}

function buildJobs(context: BuildContext, needs: JobNeeds): JobParts {
  const {settings, clock, log, platform, incarnation} = context;
  const {fleet, follower} = needs;
  const batch = {
    table: platform.table,
    objects: platform.objects,
    clock,
    log,
    settings: settings.batch,
  };
  const executor = new PlacedItemExecutor({
    ...needs,
    settings,
    clock,
    environment: follower,
    idPrefix: incarnation,
  });
  const worker = createBatchWorker({
    ...batch,
    host: settings.host.id,
    incarnation,
    executor,
    leases: settings.leases,
    listHosts: () => listHostNames(fleet),
    getWorkspaceWeight: (name) =>
      follower.getCurrent()?.findWorkspace(name)?.weight ?? 1,
    isLeaseHolderTerminated: (host, run) => isReplaced(fleet, host, run),
  });
  const peers = fleet.getCaller<AppRouter>();
  const jobs = createJobService(batch, (jobId) => {
    worker.cancelJob(jobId);
    void publishCancelled(fleet, peers, jobId);
  });
  return {jobs, worker, directory: new OperatorJobReader(batch)};
}

function buildOrders(
  context: BuildContext,
  source: ConfigFollower,
  fleet: Fleet,
): EngineOrders {
  const {settings, incarnation, platform, clock, log} = context;
  const {connectMs, idleReuseMs} = settings.timeouts;
  return createEngineOrders({
    environment: settings.host.environment,
    leaseHolder: `${settings.host.id}/${incarnation}`,
    source,
    view: fleet,
    table: platform.table,
    clock,
    log,
    connectMs,
    idleReuseMs,
  });
}

/** What the operators' view needs of the other parts. */
interface ViewNeeds extends ConfigParts, JobParts {
  fleet: Fleet;
  recorder: ServiceLevelRecorder;
}

function buildOperatorView(
  context: BuildContext,
  needs: ViewNeeds,
): OperatorView {
  const {fleet, recorder} = needs;
  const caller = fleet.getCaller<AppRouter>();
  return new OperatorView({
    ...needs,
    environment: context.settings.host.environment,
    clock: context.clock,
    askLevels: (host, query) =>
      fetchLevels(fleet, caller, recorder, host, query),
  });
}

function listHostNames(fleet: Fleet): string[] {
  return fleet
    .listZones()
    .flatMap((zone) => fleet.listAlive(zone))
    .map((peer) => peer.host);
}

/** Tells whether a host is known to run under another incarnation now. */
function isReplaced(fleet: Fleet, host: string, run: string): boolean {
  for (const zone of fleet.listZones()) {
    for (const peer of fleet.listAlive(zone)) {
      if (peer.host !== host) continue;
      return peer.incarnation !== '' && peer.incarnation !== run;
    }
  }
  return false;
}
