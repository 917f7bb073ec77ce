/**
 * Acquires slots from the pool owner of each service, or decides standalone while
 * no owner is reachable. Messages between daemons and metrics call a slot a place.
 */
import {type Clock, type EventLog, ServingEvent} from '@savoryspur/common';
import {CallOutcome, type CallTimes, type PeerInfo} from '@savoryspur/schema';
import type {BackendServer, ServiceRegistry} from '../service_registry.js';
import {createStopController} from '../create_stop_controller.js';
import type {EnvironmentView} from '../environment.js';
import type {ReachabilityMonitor} from '../online/reachability_monitor.js';
import type {Membership} from '../peers/membership.js';
import type {OwnerDirectory} from '../peers/owner_directory.js';
import {OwnerSession} from '../peers/owner_session.js';
import {ROLLOUTS_FEATURE} from './call_times.js';
import {addExclusions} from './add_exclusions.js';
import {type HeldGrant, HeldGrants} from './held_grants.js';
import {StandaloneSlots} from './standalone_slots.js';
import {StandaloneWaits} from './standalone_waits.js';
import type {PlacementRule} from './placement_rule.js';
import type {PoolRequest} from './pool_types.js';
import {PoolAuthority} from './pool_authority.js';
import type {SlotOwnerCalls} from './slot_owner_calls.js';
import {createAbortedResult, createStandaloneRefusal} from './slot_refusals.js';
import {PoolCallHandler} from './pool_call_handler.js';
import {RemoteOwners} from './remote_owners.js';
import {
  isOfVersion,
  type SlotAllocator,
  type SlotRequest,
  type SlotResult,
} from './slot_allocator.js';
import {type PoolCounts, PoolOwner} from './pool_owner.js';
import {waitOrAbort} from './wait_or_abort.js';

/** Prefix of the keys by which the pool owner of a service is chosen. */
export const POOL_KEY_PREFIX = 'places:';

/** Dependencies of a slot client. */
export interface SlotClientOptions {
  clock: Clock;
  log: EventLog;
  members: Membership;
  directory: OwnerDirectory;
  registry: ServiceRegistry<EnvironmentView>;
  calls: SlotOwnerCalls;
  /** Tells which servers this daemon can't reach. */
  reachability: Pick<
    ReachabilityMonitor,
    'listUnreachable' | 'getSilentCallsSinceMs' | 'isCutOff'
  >;
  /** Whether calls to the servers of a zone can be forwarded through another daemon. */
  hasForwardPeer: (serverZone: string) => boolean;
  /** Creates the rules that restrict and weigh the servers of the pool of a service; none by default. */
  createRules?: (service: string) => readonly PlacementRule[];
  /** Whether this daemon may use a server without a pool owner; all by default. */
  isStandaloneAllowed?: (server: BackendServer) => boolean;
  /** Returns a random number in [0, 1). */
  random: () => number;
}

/** A request to which an owner has granted a slot. */
interface GrantedRequest {
  request: SlotRequest;
  grantId: string;
  /** Ends the wait of the request. */
  signal: AbortSignal;
}

/** Allocates slots for the requests of this daemon, and holds the pools that this daemon owns. */
export class SlotClient implements SlotAllocator {
  /** Pools that this daemon owns or has owned, by service. */
  private readonly ownedPools = new Map<string, PoolOwner>();
  /** Sessions with the pool owners, by service. */
  private readonly sessions = new Map<string, OwnerSession>();
  private readonly heldGrants: HeldGrants;
  private readonly remoteOwners: RemoteOwners;
  private readonly standalone: StandaloneSlots;
  private readonly standaloneWaits: StandaloneWaits;
  private readonly authority: PoolAuthority;
  /** Answers the calls of other daemons on pools. */
  readonly poolCalls: PoolCallHandler;
  private readonly stop = createStopController();
  private lastGrantNumber = 0;

  /**
   * @param options - membership, service registry and calls to owners
   */
  constructor(private readonly options: SlotClientOptions) {
    this.standalone = new StandaloneSlots(options);
    const {clock, calls, directory} = options;
    this.heldGrants = new HeldGrants(clock, options.reachability);
    this.remoteOwners = new RemoteOwners(calls, clock);
    this.standaloneWaits = new StandaloneWaits({
      clock,
      heldGrants: this.heldGrants,
      standalone: this.standalone,
      getOwner: (service) => this.sessions.get(service)?.getOwner(),
      take: (request) => this.takeStandalone(request),
    });
    const getPool = (service: string): PoolOwner => this.getPoolOwner(service);
    this.authority = new PoolAuthority({
      directory,
      getSession: (service) => this.sessions.get(service),
      getPool,
      hasFeature: (peer, feature) =>
        this.remoteOwners.hasFeature(peer, feature),
      listHeldSlots: (service) => this.heldGrants.listHeldSlots(service),
      self: options.members.self,
      handOver: (...call) => calls.handOver(...call),
    });
    const {authority} = this;
    this.poolCalls = new PoolCallHandler({clock, authority, calls, getPool});
  }

  /** Starts a session with the pool owner of each service that has no session yet. */
  watchServices(services: Iterable<string>): void {
    for (const service of services) {
      if (this.sessions.has(service)) continue;
      const session = this.createSession(service);
      this.sessions.set(service, session);
      void session.run(this.stop.signal);
    }
  }

  /** Ends all sessions. */
  close(): void {
    this.stop.abort();
  }

  /** Counts the slots that this daemon uses for batch items, or those for online requests. */
  countHeldSlots(isBatch: boolean): number {
    return this.heldGrants.count(isBatch);
  }

  /** Gets the time since the owner of a pool was last synchronized with, milliseconds; infinity when it never was. */
  getOwnerAgeMs(service: string): number {
    const syncMs =
      this.sessions.get(service)?.getLastSyncMs() ?? Number.NEGATIVE_INFINITY;
    return this.options.clock.now() - syncMs;
  }

  /** Gets one of the counts of a pool that this daemon owns or has owned; 0 for other pools. */
  countOwnedPool(service: string, state: keyof PoolCounts): number {
    return this.ownedPools.get(service)?.count()[state] ?? 0;
  }

  /** Finds a pool that this daemon owns or has owned. */
  findOwnedPool(service: string): PoolOwner | undefined {
    return this.ownedPools.get(service);
  }

  /** Gets this daemon's state as the owner of a service's pool; creates it on first use. */
  getPoolOwner(service: string): PoolOwner {
    let owner = this.ownedPools.get(service);
    if (!owner) {
      const {clock, log, registry, members} = this.options;
      const rules = this.options.createRules?.(service);
      owner = new PoolOwner(
        service,
        members,
        registry,
        clock,
        log,
        rules,
        () => this.options.reachability.listUnreachable().zones,
      );
      this.ownedPools.set(service, owner);
    }
    return owner;
  }

  /** {@inheritDoc SlotAllocator.acquire} */
  acquire(request: SlotRequest, signal: AbortSignal): Promise<SlotResult> {
    return this.acquireFromOwner(addExclusions(request, this.options), signal);
  }

  /** Acquires a slot from the pool owner; decides standalone when none is reachable. */
  private async acquireFromOwner(
    request: SlotRequest,
    signal: AbortSignal,
  ): Promise<SlotResult> {
    const owner = this.sessions.get(request.service)?.getOwner();
    if (!owner) return this.acquireStandalone(request, signal);
    const grantId = this.createGrantId();
    const granter = this.options.directory.isSelf(owner)
      ? await this.authority.find(request.service)
      : owner;
    return granter
      ? this.acquireFromPeer(request, grantId, granter, signal)
      : this.acquireOwned(request, grantId, owner, signal);
  }

  /** Acquires a slot from the pool that this daemon owns. */
  private async acquireOwned(
    request: SlotRequest,
    grantId: string,
    self: PeerInfo,
    signal: AbortSignal,
  ): Promise<SlotResult> {
    const pool = this.getPoolOwner(request.service);
    const poolRequest: PoolRequest = {
      ...request,
      grantId,
      holder: self.host,
      zone: self.zone,
    };
    const firstDecision = pool.acquire(poolRequest);
    const decision =
      firstDecision.kind === 'queued'
        ? await waitOrAbort(firstDecision.decided, signal)
        : firstDecision;
    if (decision === undefined) {
      pool.cancel(grantId, CallOutcome.ABANDONED);
      return createAbortedResult();
    }
    if (decision.kind === 'refused') return decision;
    return this.acceptGrant(
      {request, grantId, signal},
      decision.serverId,
      self,
    );
  }

  /** Acquires a slot after the owner of the pool changed, or became unavailable, during the wait. */
  private async acquireFromNextOwner(
    request: SlotRequest,
    former: PeerInfo,
    signal: AbortSignal,
  ): Promise<SlotResult> {
    const next = this.sessions.get(request.service)?.getOwner();
    const hasChanged = next?.incarnation !== former.incarnation;
    return next && hasChanged
      ? this.acquireFromOwner(request, signal)
      : this.acquireStandalone(request, signal, former);
  }

  /** Acquires a slot from a pool owner on another daemon; decides standalone when it doesn't answer. */
  private async acquireFromPeer(
    request: SlotRequest,
    grantId: string,
    owner: PeerInfo,
    signal: AbortSignal,
  ): Promise<SlotResult> {
    const session = this.sessions.get(request.service);
    const ownerChange = session?.getOwnerChangeSignal() ?? signal;
    const answer = await waitOrAbort(
      this.remoteOwners.acquire(request, grantId, owner),
      signal,
      ownerChange,
    );
    if (answer === undefined || answer.isErr()) {
      this.sendRelease(owner, request.service, grantId, CallOutcome.ABANDONED);
      if (signal.aborted) return createAbortedResult();
      if (!answer) return this.acquireFromNextOwner(request, owner, signal);
      session?.recordCallError(owner, answer.error);
      return this.acquireStandalone(request, signal, owner);
    }
    const {serverId, retryAfterMs, reason} = answer.value;
    if (serverId === undefined) return {kind: 'refused', reason, retryAfterMs};
    return this.acceptGrant({request, grantId, signal}, serverId, owner);
  }

  /** Accepts a granted slot; when the registry of this daemon doesn't list the server with the version that is asked for, gives the slot back and decides standalone. */
  private async acceptGrant(
    {request, grantId, signal}: GrantedRequest,
    serverId: string,
    owner: PeerInfo,
  ): Promise<SlotResult> {
    const server = this.options.registry.findServer(serverId);
    if (
      !server ||
      !isOfVersion(server, request) ||
      !this.isGrantTrusted(owner, server)
    ) {
      this.sendRelease(owner, request.service, grantId, CallOutcome.ABANDONED);
      return this.acquireStandalone(request, signal, owner);
    }
    this.standalone.recordGrant(serverId);
    return this.createGrant(request, grantId, server, owner);
  }

  /** Whether a grant keeps to the rollout of the service: an owner of an earlier release grants servers of any version. */
  private isGrantTrusted(owner: PeerInfo, server: BackendServer): boolean {
    const {directory, isStandaloneAllowed} = this.options;
    if (
      directory.isSelf(owner) ||
      this.remoteOwners.hasFeature(owner, ROLLOUTS_FEATURE)
    )
      return true;
    return isStandaloneAllowed?.(server) !== false;
  }

  /** Takes a slot without an owner, or waits for one or for another owner than the former one. */
  private async acquireStandalone(
    request: SlotRequest,
    signal: AbortSignal,
    former?: PeerInfo,
  ): Promise<SlotResult> {
    const taken = this.takeStandalone(request);
    if (taken) return taken;
    if (request.isBatch) return createStandaloneRefusal();
    const waited = await this.standaloneWaits.wait(request, signal, former);
    return waited ?? this.acquireFromOwner(request, signal);
  }

  /** Takes a slot without an owner, within the share of a standalone daemon; undefined while none is usable. */
  private takeStandalone(request: SlotRequest): SlotResult | undefined {
    const taken = this.standalone.acquire(request);
    if (!taken) return undefined;
    const {server, sharedWorkspace} = taken;
    if (!request.isBatch) this.abortBatchItemOn(server.id);
    const grantId = this.createGrantId();
    return this.createGrant(
      request,
      grantId,
      server,
      undefined,
      sharedWorkspace,
    );
  }

  /** Preempts a batch item of this daemon on a server to which an online request is sent without an owner's grant. */
  private abortBatchItemOn(serverId: string): void {
    const item = this.heldGrants.findBatchItemOn(serverId);
    if (item) this.abortPreempted([item.grantId]);
  }

  private createGrant(
    request: SlotRequest,
    grantId: string,
    server: BackendServer,
    owner: PeerInfo | undefined,
    sharedWorkspace?: string,
  ): SlotResult {
    const preemption = new AbortController();
    const grant: HeldGrant = {
      grantId,
      service: request.service,
      server,
      grantedMs: this.options.clock.now(),
      isBatch: request.isBatch,
      workspace: request.workspace,
      sharedWorkspace,
      dueMs: request.dueMs,
      preemption,
    };
    this.heldGrants.add(grant);
    return {
      kind: 'placed',
      server,
      grantedBy: owner?.host ?? this.options.members.self.host,
      preemptionSignal: preemption.signal,
      release: (outcome, times) => this.release(grant, owner, outcome, times),
    };
  }

  private release(
    grant: HeldGrant,
    grantedBy: PeerInfo | undefined,
    outcome: CallOutcome,
    times?: CallTimes,
  ): void {
    const {grantId, service} = grant;
    if (!this.heldGrants.remove(grantId)) return;
    this.standalone.release(grant, outcome, times);
    // The current owner knows the slot from a synchronization even when a former
    // owner granted it, where requests may still wait.
    const owner = this.sessions.get(service)?.getOwner();
    if (owner) this.sendRelease(owner, service, grantId, outcome, times);
    if (!grantedBy || owner?.incarnation === grantedBy.incarnation) return;
    this.sendRelease(grantedBy, service, grantId, outcome, times);
  }

  private sendRelease(
    owner: PeerInfo,
    service: string,
    grantId: string,
    outcome: CallOutcome,
    times?: CallTimes,
  ): void {
    if (this.options.directory.isSelf(owner)) {
      const input = {pool: service, grantId, outcome, times};
      void this.poolCalls.release(input, this.options.members.self);
      return;
    }
    this.remoteOwners.release(owner, service, grantId, outcome, times);
  }

  private createSession(service: string): OwnerSession {
    const {directory, clock, log, members} = this.options;
    return new OwnerSession({
      key: `${POOL_KEY_PREFIX}${service}`,
      directory,
      clock,
      log,
      countDaemons: () => members.countAlive(),
      syncSelf: async (waitMs) => {
        const holdings = this.heldGrants.listHeldSlots(service);
        const input = {pool: service, holdings, waitMs};
        const answer = await this.poolCalls.sync(input, members.self);
        this.abortPreempted(answer.yields);
      },
      syncPeer: (owner, waitMs, timeoutMs) => {
        const holdings = this.heldGrants.listHeldSlots(service);
        const input = {pool: service, holdings, waitMs};
        return this.remoteOwners
          .sync(owner, input, timeoutMs)
          .map((yields) => this.abortPreempted(yields));
      },
    });
  }

  /** Aborts the batch items of preempted grants, so that their slots are released. */
  private abortPreempted(grantIds: readonly string[]): void {
    for (const grantId of grantIds) {
      const grant = this.heldGrants.find(grantId);
      if (!grant) continue;
      this.options.log.record(ServingEvent.ITEM_PREEMPTED, {
        grantId,
        peer: grant.server.id,
      });
      grant.preemption.abort();
    }
  }

  private createGrantId(): string {
    this.lastGrantNumber += 1;
    return `${this.options.members.self.incarnation}-${this.lastGrantNumber}`;
  }
}
