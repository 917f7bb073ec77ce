/** All parts of the serving path of one daemon, wired together. */
import type {Clock, EventLog} from '@savoryspur/common';
import {type PeerCaller, PeerPool} from '@savoryspur/fleet';
import type {PeerInfo} from '@savoryspur/schema';
import type {TRPCClient} from '@trpc/client';
import type {ServiceRegistry} from './service_registry.js';
import {createStopController} from './create_stop_controller.js';
import type {EnvironmentView} from './environment.js';
import {JobDirectory} from './jobs/job_directory.js';
import {JobManager} from './jobs/job_manager.js';
import {ItemDurationAverage} from './jobs/job_runner.js';
import {JobService} from './jobs/job_service.js';
import {JOB_TABLE, JobStore} from './jobs/job_store.js';
import {JobSubmitter} from './jobs/job_submitter.js';
import {LIMITS_KEY, RateClient} from './limits/rate_client.js';
import {RequestQuarantine} from './online/request_quarantine.js';
import {OnlineHandler} from './online/online_handler.js';
import type {ServerCaller} from './online/online_types.js';
import {ReachabilityMonitor} from './online/reachability_monitor.js';
import {formatHostIncarnation, Membership} from './peers/membership.js';
import {OwnerDirectory} from './peers/owner_directory.js';
import {
  OwnerSession,
  SYNC_REPLY_GRACE_MS,
  SYNC_LONG_POLL_MS,
} from './peers/owner_session.js';
import {
  createServingRouter,
  type ServingRouter,
} from './peers/serving_router.js';
import {type SlotOwnerCalls, SlotClient} from './slots/slot_client.js';
import {ServingMetrics} from './serving_metrics.js';
import type {BlobStore, RowStore} from './store/row_store.js';
import type {RelayedStore, RelayThroughPeer} from './store/relayed_store.js';
import {TableFollower} from './store/table_follower.js';

/** Bound on a connect to a peer, milliseconds. */
const PEER_CONNECT_MS = 250;

/** Bound on a call to a peer that names none, milliseconds. */
const PEER_CALL_MS = 500;

/** Idle time after which a connection to a peer is not used again, milliseconds. */
const PEER_IDLE_MS = 5000;

/** Time in which changes of jobs gather before they are read, milliseconds: small beside the 3 s in which the end of a job takes effect. */
const JOB_GATHER_MS = 500;

/** Longest wait for the deletion of this daemon's heartbeat row, milliseconds: peers delete it otherwise. */
const REMOVE_MS = 400;

/** What a daemon brings to its serving path. */
export interface ServingNodeOptions {
  self: PeerInfo;
  /** Processor cores that this daemon may use. */
  cores: number;
  /** Secret shared by the daemons of the fleet. */
  secret: string;
  clock: Clock;
  log: EventLog;
  /** The store as this daemon reaches it itself. */
  directStore: RowStore & BlobStore;
  /** The store, through peers where it does not answer this daemon. */
  store: RelayedStore;
  registry: ServiceRegistry<EnvironmentView>;
  servers: ServerCaller;
  random: () => number;
}

/** Serving path of one daemon. */
export class ServingNode {
  readonly metrics = new ServingMetrics();
  readonly members: Membership;
  readonly online: OnlineHandler;
  readonly places: SlotClient;
  readonly jobs: JobService;
  readonly submitter: JobSubmitter;
  readonly jobManager: JobManager;
  /** Which servers this daemon reaches. */
  readonly reachability: ReachabilityMonitor;
  private readonly rates: RateClient;
  private readonly pool: PeerPool<ServingRouter>;
  private readonly jobFollower: TableFollower;
  private readonly rateSession: OwnerSession;
  private readonly stop = createStopController();

  /**
   * @param options - this daemon and what it is connected to
   */
  constructor(private readonly options: ServingNodeOptions) {
    const {clock, log, self, cores, store, registry, random} = options;
    const crashes = new RequestQuarantine(clock);
    this.members = new Membership({self, cores, store, clock, log, crashes});
    const directory = new OwnerDirectory(this.members, clock);
    const reachability = new ReachabilityMonitor(options.servers, clock, log);
    this.reachability = reachability;
    this.pool = createPeerPool(options);
    this.places = new SlotClient({
      clock,
      log,
      members: this.members,
      directory,
      registry,
      calls: createPlaceCalls(this.pool),
      reachability,
      random,
    });
    this.rates = this.createRates();
    this.rateSession = this.createRateSession(directory);
    this.rates.setSession(this.rateSession);
    const shared = {
      clock,
      log,
      registry,
      placer: this.places,
      servers: reachability,
      random,
    };
    this.online = new OnlineHandler({
      ...shared,
      metrics: this.metrics,
      rates: this.rates,
      crashes,
      zone: self.zone,
    });
    const jobStore = new JobStore(store, store, clock);
    const jobs = new JobDirectory(log);
    const runner = formatHostIncarnation(self);
    this.jobs = new JobService(jobStore, jobs, clock, log);
    this.submitter = new JobSubmitter({
      store: jobStore,
      directory: jobs,
      clock,
      log,
      runner,
      onAccepted: () => this.jobFollower.pollNow(),
    });
    this.jobManager = new JobManager({
      ...shared,
      store: jobStore,
      directory: jobs,
      runTimes: new ItemDurationAverage(),
      members: this.members,
      owners: directory,
      runner,
    });
    this.jobFollower = new TableFollower({
      table: JOB_TABLE,
      store,
      clock,
      log,
      listener: jobs,
      isSinglePartition: false,
      coalesceMs: JOB_GATHER_MS,
    });
    this.registerGauges();
  }

  /** Makes the procedures that peers call on this daemon. */
  createRouter() {
    return createServingRouter({
      clock: this.options.clock,
      places: this.places,
      rates: this.rates,
      store: this.options.directStore,
      isStoreReached: () => this.options.store.isReachedDirectly(),
      signal: this.stop.signal,
    });
  }

  /** Starts all tasks. */
  start(): void {
    const {signal} = this.stop;
    void this.options.store.probe(signal);
    void this.members.run(signal);
    void this.rateSession.run(signal);
    void this.jobFollower.run(signal);
    void this.jobManager.run(signal);
  }

  /** Follows the pools of the services that are in force. */
  watchEnvironment(environment: EnvironmentView): void {
    const services = environment.document.services.map(({name}) => name);
    this.places.watchServices(services);
    for (const service of services) this.registerPool(service);
  }

  /** Makes a call to the store through a peer. */
  readonly relay: RelayThroughPeer = (peer, call, timeoutMs) =>
    this.pool.request(
      peer,
      'store.relay',
      (client, signal) => client.store.relay.mutate(call, {signal}),
      timeoutMs,
    );

  /** Hands over what this daemon owns and runs; requests go on. */
  async drain(): Promise<void> {
    await Promise.all([this.members.leave(), this.jobManager.drain()]);
  }

  /** Ends all tasks. */
  async close(): Promise<void> {
    const {clock} = this.options;
    await Promise.race([this.members.remove(), clock.sleep(REMOVE_MS)]);
    this.stop.abort();
    this.places.close();
    this.pool.stop();
  }

  private createRates(): RateClient {
    return new RateClient({
      clock: this.options.clock,
      members: this.members,
      registry: this.options.registry,
      askOwner: (owner, workspace, timeoutMs) =>
        this.pool.request(
          owner,
          'rates.admit',
          (client, signal) => client.rates.admit.mutate({workspace}, {signal}),
          timeoutMs,
        ),
    });
  }

  private createRateSession(directory: OwnerDirectory): OwnerSession {
    const {clock, log} = this.options;
    return new OwnerSession({
      key: LIMITS_KEY,
      directory,
      clock,
      log,
      syncSelf: () => clock.sleep(SYNC_LONG_POLL_MS, this.stop.signal),
      syncPeer: (owner) =>
        this.pool.request(
          owner,
          'rates.sync',
          async (client, signal) => {
            await client.rates.sync.mutate(
              {waitMs: SYNC_LONG_POLL_MS},
              {signal},
            );
          },
          SYNC_LONG_POLL_MS + SYNC_REPLY_GRACE_MS,
        ),
    });
  }

  private registerGauges(): void {
    const {metrics, places, members, jobManager} = this;
    metrics.register('savoryspur_places_used', {class: 'online'}, () =>
      places.countHeldSlots(false),
    );
    metrics.register('savoryspur_places_used', {class: 'batch'}, () =>
      places.countHeldSlots(true),
    );
    metrics.register('savoryspur_members_alive', {}, () =>
      members.countAlive(),
    );
    metrics.register('savoryspur_jobs_run_here', {}, () => jobManager.count());
    metrics.registerAge('members', () => members.getSnapshotAgeMs());
    metrics.registerAge('owner of limits', () => {
      return this.options.clock.now() - this.rateSession.getLastSyncMs();
    });
    metrics.registerAge('jobs', () => this.jobFollower.getAgeMs());
  }

  /** Registers what this daemon knows of the pool of a service. */
  private registerPool(service: string): void {
    const {metrics, places} = this;
    metrics.registerAge(`owner of ${service}`, () =>
      places.getOwnerAgeMs(service),
    );
    for (const state of ['used', 'places', 'waiting'] as const) {
      metrics.register('savoryspur_owned_pool', {service, state}, () =>
        places.countOwnedPool(service, state),
      );
    }
  }
}

function createPeerPool(options: ServingNodeOptions): PeerPool<ServingRouter> {
  return new PeerPool<ServingRouter>({
    secret: options.secret,
    connectTimeoutMs: PEER_CONNECT_MS,
    callTimeoutMs: PEER_CALL_MS,
    clock: options.clock,
    getSelf: () => options.self,
    getIdleReuseMs: () => PEER_IDLE_MS,
  });
}

function createPlaceCalls(
  pool: PeerCaller<TRPCClient<ServingRouter>>,
): SlotOwnerCalls {
  return {
    sync: (owner, input, timeoutMs) =>
      pool
        .request(
          owner,
          'places.sync',
          (client, signal) => client.places.sync.mutate(input, {signal}),
          timeoutMs,
        )
        .map((answer) => answer.yields),
    acquire: (owner, input, timeoutMs) =>
      pool.request(
        owner,
        'places.acquire',
        (client, signal) => client.places.acquire.mutate(input, {signal}),
        timeoutMs,
      ),
    wait: (owner, input, timeoutMs) =>
      pool.request(
        owner,
        'places.wait',
        (client, signal) => client.places.wait.mutate(input, {signal}),
        timeoutMs,
      ),
    release: (owner, input, timeoutMs) =>
      pool.request(
        owner,
        'places.release',
        async (client, signal) => {
          await client.places.release.mutate(input, {signal});
        },
        timeoutMs,
      ),
  };
}
