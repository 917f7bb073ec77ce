/** Creates the components of a daemon and connects them with each other. */
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
import {BatchItemExecutor} from './jobs/item_executor.js';
import {KeyRevocationWatcher} from './online/key_revocation_watcher.js';
import {
  ServiceLevelObserver,
  ObserverList,
} from './online/service_level_observer.js';
import {MetricsObserver} from './online/metrics_observer.js';
import type {OnlineObserver} from './online/observer.js';
import {Metrics} from '@savoryspur/common';
import {type AppRouter, createAppRouter} from './peers/app_router.js';
import {FleetOperatorService} from './operator/fleet_operator_service.js';
import {publishCancelledJob} from './peers/job_router.js';
import {fetchServiceLevels} from './peers/report_router.js';
import {createStorageClients, type StorageClients} from './storage_clients.js';
import {TableQuarantineStore} from './table_quarantine_store.js';

/** Maximum number of connections of this daemon to one backend server. */
const MAX_CONNECTIONS_PER_SERVER = 256;

/** Settings and process-wide services of a daemon. */
export interface DaemonOptions {
  settings: Settings;
  clock: Clock;
  log: EventLog;
}

/** Options, incarnation and storage clients that all components share. */
interface BuildContext extends DaemonOptions {
  incarnation: string;
  storage: StorageClients;
}

/** Components that read and write the configuration. */
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

/** Components that accept and run batch jobs. */
interface JobParts {
  jobs: JobService;
  worker: BatchWorker;
  operatorJobs: OperatorJobReader;
}

/** All components of a daemon. */
export interface DaemonParts extends ConfigParts, BackendParts, JobParts {
  incarnation: string;
  storage: StorageClients;
  fleet: Fleet;
  distributor: ConfigDistributor;
  limiter: FleetRateLimiter;
  slotAllocator: RoutingNode;
  retries: RetryBudget;
  keyRevocations: KeyRevocationWatcher;
  metrics: Metrics;
  observer: OnlineObserver;
  orders: EngineOrders;
  /** tRPC router for the calls of other daemons. */
  router: AppRouter;
  operatorHandlers: OperatorHandler[];
}

/**
 * Creates all components without starting them.
 *
 * @param options - settings, clock and log
 * @param incarnation - id of this daemon process, unique over restarts
 */
export function buildParts(
  options: DaemonOptions,
  incarnation: string,
): DaemonParts {
  const storage = createStorageClients(options.settings);
  const context = {...options, incarnation, storage};
  const config = buildConfig(context);
  const fleet = buildFleet(context, config.follower);
  const distributor = buildDistributor(context, config, fleet);
  const limiter = buildLimiter(context, config.follower, fleet);
  const backends = buildBackends(options);
  const slotAllocator = buildRouting(context, config.follower, fleet, backends);
  const jobParts = buildJobs(context, {
    ...config,
    ...backends,
    fleet,
    limiter,
    slotAllocator,
  });
  const metrics = new Metrics();
  const recorder = new ServiceLevelRecorder(
    options.settings.host.id,
    options.clock,
  );
  const orders = buildEngineOrders(context, config.follower, fleet);
  const router = createAppRouter({
    fleet: fleet.router,
    limits: limiter.router,
    routing: slotAllocator,
    config: distributor,
    recorder,
    cancelJob: (jobId) => jobParts.worker.cancelJob(jobId),
  });
  return {
    ...config,
    ...backends,
    ...jobParts,
    incarnation,
    storage,
    fleet,
    distributor,
    limiter,
    slotAllocator,
    retries: new RetryBudget(options.settings.limits.retryBudget),
    keyRevocations: new KeyRevocationWatcher(config.follower),
    metrics,
    observer: new ObserverList([
      new MetricsObserver(metrics),
      new ServiceLevelObserver(config.follower, recorder),
    ]),
    orders,
    router,
    operatorHandlers: [
      ...createConfigHandlers(config.store),
      ...orders.handlers,
      ...createStatusHandlers(
        buildOperatorService(context, {
          ...config,
          ...jobParts,
          fleet,
          recorder,
        }),
      ),
    ],
  };
}

function buildConfig(context: BuildContext): ConfigParts {
  const {settings, clock, log, storage} = context;
  const {table, objects} = storage;
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
  const {settings, incarnation, clock, log, storage} = context;
  const {hostList, table} = storage;
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
    maxIdleMs: idleReuseMs,
    maxConnections: MAX_CONNECTIONS_PER_SERVER,
  });
  return {
    connections,
    engine: new HttpEngineClient(connections),
    service: new HttpServiceClient(connections),
  };
}

function buildRouting(
  context: BuildContext,
  environment: ConfigFollower,
  fleet: Fleet,
  backends: BackendParts,
): RoutingNode {
  const {clock, log, storage, settings} = context;
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
    quarantineStore: new TableQuarantineStore(storage.table),
    clock,
    log,
  });
}

/** Components on which batch jobs depend. */
interface JobDependencies extends ConfigParts, BackendParts {
  fleet: Fleet;
  limiter: FleetRateLimiter;
  slotAllocator: RoutingNode;
}

function buildJobs(
  context: BuildContext,
  dependencies: JobDependencies,
): JobParts {
  const {settings, clock, log, storage, incarnation} = context;
  const {fleet, follower} = dependencies;
  const batch = {
    table: storage.table,
    objects: storage.objects,
    clock,
    log,
    settings: settings.batch,
  };
  const executor = new BatchItemExecutor({
    ...dependencies,
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
    isLeaseHolderTerminated: (host, holderIncarnation) =>
      isIncarnationReplaced(fleet, host, holderIncarnation),
  });
  const peers = fleet.getCaller<AppRouter>();
  const jobs = createJobService(batch, (jobId) => {
    worker.cancelJob(jobId);
    void publishCancelledJob(fleet, peers, jobId);
  });
  return {jobs, worker, operatorJobs: new OperatorJobReader(batch)};
}

function buildEngineOrders(
  context: BuildContext,
  source: ConfigFollower,
  fleet: Fleet,
): EngineOrders {
  const {settings, incarnation, storage, clock, log} = context;
  const {connectMs, idleReuseMs} = settings.timeouts;
  return createEngineOrders({
    environment: settings.host.environment,
    leaseHolder: `${settings.host.id}/${incarnation}`,
    source,
    view: fleet,
    table: storage.table,
    clock,
    log,
    connectTimeoutMs: connectMs,
    maxIdleMs: idleReuseMs,
  });
}

/** Components on which the operator API depends. */
interface OperatorDependencies extends ConfigParts, JobParts {
  fleet: Fleet;
  recorder: ServiceLevelRecorder;
}

function buildOperatorService(
  context: BuildContext,
  dependencies: OperatorDependencies,
): FleetOperatorService {
  const {fleet, recorder} = dependencies;
  const caller = fleet.getCaller<AppRouter>();
  return new FleetOperatorService({
    ...dependencies,
    environment: context.settings.host.environment,
    clock: context.clock,
    fetchServiceLevels: (host, query) =>
      fetchServiceLevels(fleet, caller, recorder, host, query),
  });
}

function listHostNames(fleet: Fleet): string[] {
  return fleet
    .listZones()
    .flatMap((zone) => fleet.listAlive(zone))
    .map((peer) => peer.host);
}

/**
 * Tells whether the daemon of a host is alive under another incarnation, so
 * that the given one has ended.
 */
function isIncarnationReplaced(
  fleet: Fleet,
  host: string,
  incarnation: string,
): boolean {
  for (const zone of fleet.listZones()) {
    for (const peer of fleet.listAlive(zone)) {
      if (peer.host !== host) continue;
      return peer.incarnation !== '' && peer.incarnation !== incarnation;
    }
  }
  return false;
}
