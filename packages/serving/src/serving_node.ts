/** Assembles the serving path of one daemon from its components. */
import {REFUSAL_LABELS} from './slots/refusal_record.js';
import type {Clock, EventLog} from '@savoryspur/common';
import {PeerPool} from '@savoryspur/fleet';
import type {
  PeerInfo,
  PoolHandOverAnswer,
  ProbeAnswer,
  RateAdmitAnswer,
  RelayAnswer,
  SlotAcquireAnswer,
  SlotSyncAnswer,
} from '@savoryspur/schema';
import type {AnyRouter} from '@trpc/server';
import type {ServiceRegistry} from './service_registry.js';
import {createStopController} from './create_stop_controller.js';
import type {EnvironmentView} from './environment.js';
import {CallForwarding} from './forwarding/call_forwarding.js';
import {JobDirectory} from './jobs/job_directory.js';
import {JobManager} from './jobs/job_manager.js';
import {JobPayloads} from './jobs/job_payloads.js';
import {ItemDurationAverage} from './jobs/job_runner.js';
import {JobService} from './jobs/job_service.js';
import {JOB_TABLE, JobStore} from './jobs/job_store.js';
import {JobSubmitter} from './jobs/job_submitter.js';
import {RATE_LIMITS_KEY, RateClient} from './limits/rate_client.js';
import {MemoryBudget, MemoryUse} from './memory/memory_budget.js';
import {PromptQuarantine} from './online/prompt_quarantine.js';
import {StreamOrigins} from './online/stream_origins.js';
import {RequestQuarantine} from './online/request_quarantine.js';
import {OnlineHandler} from './online/online_handler.js';
import {OverdueTimes} from './online/overdue_times.js';
import type {ServerCaller} from './online/online_types.js';
import {ReachabilityMonitor} from './online/reachability_monitor.js';
import {formatHostIncarnation} from './peers/incarnation.js';
import {Membership} from './peers/membership.js';
import {OwnerDirectory} from './peers/owner_directory.js';
import {OwnerSession} from './peers/owner_session.js';
import {
  createServingProcedures,
  ProcedurePath,
} from './peers/serving_procedures.js';
import type {PlacementRule} from './slots/placement_rule.js';
import {ServerRules} from './slots/server_rules.js';
import {createRolloutCoordinator} from './rollout/create_rollout_coordinator.js';
import type {RolloutCoordinator} from './rollout/rollout_coordinator.js';
import {RolloutRule} from './rollout/rollout_rule.js';
import {
  type EncodeRolloutStatus,
  type RolloutBounds,
} from './rollout/rollout_types.js';
import {SlotClient} from './slots/slot_client.js';
import type {SlotOwnerCalls} from './slots/slot_owner_calls.js';
import {ServingMetrics} from './serving_metrics.js';
import type {BlobStore, RowStore, StoreLimits} from './store/row_store.js';
import type {RelayedStore, RelayThroughPeer} from './store/relayed_store.js';
import {TableFollower} from './store/table_follower.js';

/** Timeout of connecting to a peer, milliseconds. */
const PEER_CONNECT_TIMEOUT_MS = 250;

/** Timeout of connecting to a peer that makes a call to a server, milliseconds: a request waits for it. */
const FORWARD_CONNECT_TIMEOUT_MS = 120;

/** Default timeout of a call to a peer, milliseconds. */
const PEER_CALL_TIMEOUT_MS = 500;

/** Idle time after which a connection to a peer is no longer reused, milliseconds. */
const PEER_IDLE_REUSE_MS = 5000;

/** Time in which changes of jobs are coalesced before they are read, milliseconds: short compared to the 3 s in which the cancellation of a job must take effect. */
const JOB_COALESCE_MS = 500;

/** Settings and dependencies of a serving node. */
export interface ServingNodeOptions {
  self: PeerInfo;
  /** Processor cores that this daemon may use. */
  cores: number;
  /** Secret by which the daemons of the fleet authenticate to each other. */
  secret: string;
  clock: Clock;
  log: EventLog;
  /** The store as this daemon reaches it directly. */
  directStore: RowStore & BlobStore;
  /** The store, reached through peers while it doesn't answer this daemon directly. */
  store: RelayedStore;
  storeLimits: StoreLimits;
  registry: ServiceRegistry<EnvironmentView>;
  servers: ServerCaller;
  /** Whether servers are paced after their start and weighed by their speed while this daemon owns their pool. */
  isServerRuleUsed: boolean;
  /** Bounds of rollouts. */
  rolloutBounds: RolloutBounds;
  /** Encodes the row by which the operator learns the state of a rollout. */
  encodeRolloutStatus: EncodeRolloutStatus;
  /** Returns a random number in [0, 1). */
  random: () => number;
}

/** Serving path of one daemon. */
export class ServingNode {
  readonly metrics = new ServingMetrics();
  /** Memory that large requests, payloads and answers may take. */
  readonly memory = new MemoryBudget();
  readonly members: Membership;
  readonly online: OnlineHandler;
  readonly slots: SlotClient;
  readonly jobs: JobService;
  readonly submitter: JobSubmitter;
  readonly jobManager: JobManager;
  /** Detects which servers this daemon can't reach. */
  readonly reachability: ReachabilityMonitor;
  /** Calls to servers that daemons make for each other. */
  readonly forwarding: CallForwarding;
  /** Software versions of the streams of this daemon. */
  readonly streamOrigins: StreamOrigins;
  private readonly serverRules: ServerRules;
  /** Rollouts of the services. */
  readonly rollouts: RolloutCoordinator;
  private readonly rates: RateClient;
  private readonly peerPool: PeerPool<AnyRouter>;
  private readonly jobFollower: TableFollower;
  private readonly promptQuarantine: PromptQuarantine;
  private readonly rateSession: OwnerSession;
  private readonly stop = createStopController();

  /**
   * @param options - identity, settings and dependencies of this daemon
   */
  constructor(private readonly options: ServingNodeOptions) {
    const {clock, log, self, store, registry, random} = options;
    const quarantine = new RequestQuarantine(clock);
    const reachability = new ReachabilityMonitor(options.servers, clock, log);
    this.reachability = reachability;
    this.members = this.createMembership(quarantine);
    const directory = new OwnerDirectory(this.members, clock);
    this.peerPool = createPeerPool(options);
    this.forwarding = this.createForwarding(directory);
    const {servers} = this.forwarding;
    this.serverRules = new ServerRules(clock, log);
    this.rollouts = createRolloutCoordinator({
      ...options,
      bounds: options.rolloutBounds,
      directory,
    });
    this.slots = this.createSlots(directory);
    this.rates = this.createRates();
    this.rateSession = this.createRateSession(directory);
    this.rates.setSession(this.rateSession);
    this.promptQuarantine = this.createPromptQuarantine();
    this.streamOrigins = this.createStreamOrigins();
    const shared = {
      clock,
      log,
      registry,
      slotAllocator: this.slots,
      servers,
      reachability,
      streamOrigins: this.streamOrigins,
      memory: this.memory,
      random,
    };
    this.online = new OnlineHandler({
      ...shared,
      metrics: this.metrics,
      rates: this.rates,
      quarantine,
      promptQuarantine: this.promptQuarantine,
      overdueTimes: new OverdueTimes(),
      zone: self.zone,
    });
    const jobStore = new JobStore(store, store, clock, options.storeLimits);
    const jobs = new JobDirectory(log);
    const payloads = new JobPayloads(jobStore, this.memory);
    this.jobs = new JobService(
      jobStore,
      jobs,
      payloads,
      this.memory,
      clock,
      log,
    );
    this.submitter = this.createSubmitter(jobStore, jobs);
    this.jobManager = new JobManager({
      ...shared,
      store: jobStore,
      directory: jobs,
      payloads,
      itemDurations: new ItemDurationAverage(),
      members: this.members,
      owners: directory,
      hostIncarnation: formatHostIncarnation(self),
    });
    this.jobFollower = this.createJobFollower(jobs);
    this.registerGauges();
  }

  /** Creates the procedures that peers call on this daemon. */
  createProcedures() {
    return createServingProcedures({
      clock: this.options.clock,
      slots: this.slots,
      rates: this.rates,
      store: this.options.directStore,
      memory: this.memory,
      isStoreReachedDirectly: () => this.options.store.isReachedDirectly(),
      forwardedCalls: this.forwarding.handler,
      signal: this.stop.signal,
    });
  }

  /** Starts the background tasks. */
  start(): void {
    const {signal} = this.stop;
    void this.options.store.watchRecovery(signal);
    void this.members.run(signal);
    void this.rateSession.run(signal);
    void this.jobFollower.run(signal);
    void this.promptQuarantine.run(signal);
    void this.streamOrigins.run(signal);
    void this.jobManager.run(signal);
    this.rollouts.start(signal);
  }

  /** Starts to acquire slots of the services of a new environment, and registers the metrics of their pools. */
  watchEnvironment(environment: EnvironmentView): void {
    const services = environment.document.services.map(({name}) => name);
    this.slots.watchServices(services);
    for (const service of services) this.registerPool(service);
  }

  /** Relays a call to the store through a peer. */
  readonly relay: RelayThroughPeer = (peer, call, timeoutMs) =>
    this.peerPool.call<RelayAnswer>(
      peer,
      ProcedurePath.RELAY_STORE_CALL,
      call,
      timeoutMs,
    );

  /** Hands over the ownership of keys and the jobs of this daemon; its online requests continue. */
  async drain(): Promise<void> {
    this.forwarding.handler.refuseNewCalls();
    await Promise.all([this.members.leave(), this.jobManager.drain()]);
  }

  /** Deletes this daemon's heartbeat row; when it fails, peers delete the row. */
  removeHeartbeat(): Promise<void> {
    return this.members.remove();
  }

  /** Stops the background tasks. */
  close(): void {
    this.stop.abort();
    this.slots.close();
    this.peerPool.stop();
    void this.forwarding.stop();
  }

  private createMembership(quarantine: RequestQuarantine): Membership {
    const {self, cores, store, clock, log} = this.options;
    return new Membership({
      self,
      cores,
      store,
      clock,
      log,
      quarantine,
      isCutOff: () => this.reachability.isCutOffForPeers(),
    });
  }

  private createSlots(directory: OwnerDirectory): SlotClient {
    const {clock, log, registry, random} = this.options;
    return new SlotClient({
      clock,
      log,
      members: this.members,
      directory,
      registry,
      calls: createSlotOwnerCalls(this.peerPool),
      reachability: this.reachability,
      hasForwardPeer: (zone) => this.forwarding.servers.hasForwardPeer(zone),
      createRules: (service) => this.createRules(service),
      isStandaloneAllowed: ({service, softwareVersion}) =>
        this.rollouts.isStandaloneAllowed(service, softwareVersion),
      random,
    });
  }

  /** Creates the placement rules of the pool of a service. */
  private createRules(service: string): PlacementRule[] {
    const {metrics} = this;
    const count = (name: string, labels: Record<string, string>): void =>
      metrics.addToCounter(name, {service, ...labels});
    const rules: PlacementRule[] = [
      new RolloutRule({
        getRollout: () => this.rollouts.getRollout(service),
        bounds: this.options.rolloutBounds,
        countGrant: (version) =>
          count('savoryspur_rollout_grants_total', {version}),
        countOutcome: (version, outcome) =>
          count('savoryspur_rollout_calls_total', {version, outcome}),
      }),
    ];
    if (this.options.isServerRuleUsed) {
      rules.push(this.serverRules.create(service));
    }
    return rules;
  }

  private createForwarding(directory: OwnerDirectory): CallForwarding {
    const {self, secret, clock, log, registry, random} = this.options;
    return new CallForwarding({
      self,
      secret,
      connectTimeoutMs: FORWARD_CONNECT_TIMEOUT_MS,
      clock,
      log,
      members: this.members,
      isPeerReachable: (peer) => directory.isReachable(peer),
      registry,
      direct: this.reachability,
      probeThroughPeer: (peer, serverId, timeoutMs) =>
        this.peerPool.call<ProbeAnswer>(
          peer,
          ProcedurePath.PROBE_SERVER,
          {serverId},
          timeoutMs,
        ),
      random,
    });
  }

  private createPromptQuarantine(): PromptQuarantine {
    const {clock, log, self, store, random} = this.options;
    return new PromptQuarantine({
      host: self.host,
      store,
      clock,
      log,
      countDaemons: () => this.members.countAlive(),
      random,
    });
  }

  private createStreamOrigins(): StreamOrigins {
    const {clock, log, self, store, registry, random} = this.options;
    return new StreamOrigins({
      host: self.host,
      store,
      clock,
      log,
      registry,
      isOutageShared: () => store.isOutageShared(),
      countDaemons: () => this.members.countAlive(),
      random,
    });
  }

  private createJobFollower(jobs: JobDirectory): TableFollower {
    const {clock, log, store} = this.options;
    return new TableFollower({
      table: JOB_TABLE,
      store,
      clock,
      log,
      listener: jobs,
      isSinglePartition: false,
      coalesceMs: JOB_COALESCE_MS,
    });
  }

  private createSubmitter(
    store: JobStore,
    directory: JobDirectory,
  ): JobSubmitter {
    const {clock, log, self} = this.options;
    return new JobSubmitter({
      store,
      directory,
      clock,
      log,
      hostIncarnation: formatHostIncarnation(self),
      onAccepted: () => this.jobFollower.pollNow(),
    });
  }

  private createRates(): RateClient {
    return new RateClient({
      clock: this.options.clock,
      members: this.members,
      registry: this.options.registry,
      askOwner: (owner, workspace, timeoutMs) =>
        this.peerPool.call<RateAdmitAnswer>(
          owner,
          ProcedurePath.ADMIT_REQUEST,
          {workspace},
          timeoutMs,
        ),
    });
  }

  private createRateSession(directory: OwnerDirectory): OwnerSession {
    const {clock, log} = this.options;
    return new OwnerSession({
      key: RATE_LIMITS_KEY,
      directory,
      clock,
      log,
      countDaemons: () => this.members.countAlive(),
      syncSelf: (waitMs) => clock.sleep(waitMs, this.stop.signal),
      syncPeer: (owner, waitMs, timeoutMs) =>
        this.peerPool.call<void>(
          owner,
          ProcedurePath.SYNC_RATES,
          {waitMs},
          timeoutMs,
        ),
    });
  }

  private registerGauges(): void {
    const {metrics, slots, members, jobManager} = this;
    metrics.registerGauge('savoryspur_places_used', {class: 'online'}, () =>
      slots.countHeldSlots(false),
    );
    metrics.registerGauge('savoryspur_places_used', {class: 'batch'}, () =>
      slots.countHeldSlots(true),
    );
    metrics.registerGauge('savoryspur_members_alive', {}, () =>
      members.countAlive(),
    );
    metrics.registerGauge('savoryspur_jobs_run_here', {}, () =>
      jobManager.count(),
    );
    for (const use of Object.values(MemoryUse)) {
      metrics.registerGauge('savoryspur_memory_reserved_bytes', {use}, () =>
        this.memory.getUsedBytes(use),
      );
    }
    metrics.registerStaleness('members', () => members.getSnapshotAgeMs());
    metrics.registerStaleness('owner of limits', () => {
      return this.options.clock.now() - this.rateSession.getLastSyncMs();
    });
    metrics.registerStaleness('jobs', () => this.jobFollower.getAgeMs());
    metrics.registerStaleness('prompt crashes', () =>
      this.promptQuarantine.getAgeMs(),
    );
  }

  /** Registers the metrics of the pool of a service; the metric names and labels call a slot a place. */
  private registerPool(service: string): void {
    const {metrics, slots} = this;
    metrics.registerStaleness(`owner of ${service}`, () =>
      slots.getOwnerAgeMs(service),
    );
    for (const state of ['used', 'places', 'waiting'] as const) {
      metrics.registerGauge('savoryspur_owned_pool', {service, state}, () =>
        slots.countOwnedPool(service, state),
      );
    }
    metrics.registerGauge('savoryspur_servers_paced', {service}, () =>
      this.serverRules.count(service, 'paced'),
    );
    for (const speed of ['slow', 'alike', 'fast', 'unknown'] as const) {
      metrics.registerGauge('savoryspur_servers', {service, speed}, () =>
        this.serverRules.count(service, speed),
      );
    }
    metrics.registerGauge(
      'savoryspur_owned_pool_largest_share',
      {service},
      () => slots.findOwnedPool(service)?.getLargestShare() ?? 0,
    );
    for (const [reason, value] of Object.entries(REFUSAL_LABELS)) {
      const labels = {service, reason};
      metrics.registerGauge(
        'savoryspur_owned_pool_refusals',
        labels,
        () => slots.findOwnedPool(service)?.countRefusals(value) ?? 0,
      );
    }
  }
}

function createPeerPool(options: ServingNodeOptions): PeerPool<AnyRouter> {
  return new PeerPool<AnyRouter>({
    secret: options.secret,
    connectTimeoutMs: PEER_CONNECT_TIMEOUT_MS,
    callTimeoutMs: PEER_CALL_TIMEOUT_MS,
    clock: options.clock,
    getSelf: () => options.self,
    getMaxIdleMs: () => PEER_IDLE_REUSE_MS,
  });
}

/** Creates the calls to pool owners. */
function createSlotOwnerCalls(pool: PeerPool<AnyRouter>): SlotOwnerCalls {
  return {
    sync: (owner, input, timeoutMs) =>
      pool.call<SlotSyncAnswer>(
        owner,
        ProcedurePath.SYNC_SLOTS,
        input,
        timeoutMs,
      ),
    acquire: (owner, input, timeoutMs) =>
      pool.call<SlotAcquireAnswer>(
        owner,
        ProcedurePath.ACQUIRE_SLOT,
        input,
        timeoutMs,
      ),
    wait: (owner, input, timeoutMs) =>
      pool.call<SlotAcquireAnswer>(
        owner,
        ProcedurePath.WAIT_FOR_SLOT,
        input,
        timeoutMs,
      ),
    handOver: (former, input, timeoutMs) =>
      pool.call<PoolHandOverAnswer>(
        former,
        ProcedurePath.HAND_OVER_POOL,
        input,
        timeoutMs,
      ),
    release: (owner, input, timeoutMs) =>
      pool.call<void>(owner, ProcedurePath.RELEASE_SLOT, input, timeoutMs),
  };
}
