/**
 * Acquires slots from the pool owner of each service, or decides standalone while
 * no owner is reachable. Messages between daemons and metrics call a slot a place.
 */
import {
  type Clock,
  type EventLog,
  type SavoryspurError,
  ServingEvent,
} from '@savoryspur/common';
import {
  CallOutcome,
  type CallTimes,
  type HeldSlot,
  type PeerInfo,
  type SlotAcquireAnswer,
} from '@savoryspur/schema';
import {okAsync, type ResultAsync} from 'neverthrow';
import type {BackendServer, ServiceRegistry} from '../service_registry.js';
import {createStopController} from '../create_stop_controller.js';
import type {EnvironmentView} from '../environment.js';
import type {ReachabilityMonitor} from '../online/reachability_monitor.js';
import {formatHostIncarnation, type Membership} from '../peers/membership.js';
import type {OwnerDirectory} from '../peers/owner_directory.js';
import {OwnerSession} from '../peers/owner_session.js';
import {CALL_TIMES_FEATURE, ROLLOUTS_FEATURE} from './call_times.js';
import {encodeSlotRequest} from './slot_request_codec.js';
import {listExcluded} from './list_excluded.js';
import {computeStandaloneColdLimit} from './standalone_cold_limit.js';
import {LocalSlots} from './local_slots.js';
import type {PlacementRule} from './placement_rule.js';
import type {PoolRequest} from './pool_types.js';
import {PoolAuthority} from './pool_authority.js';
import type {SlotOwnerCalls} from './slot_owner_calls.js';
import {createAbortedResult, createStandaloneRefusal} from './slot_refusals.js';
import {PoolCallHandler} from './pool_call_handler.js';
import {splitUnreachable} from './split_unreachable.js';
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

/** Time beyond the longest wait of a request after which the owner's answer is overdue, milliseconds. */
const ANSWER_GRACE_MS = 200;

/** Timeout for the owner's answer that an online request is granted, refused or queued, milliseconds: many times the round trip to another zone, and short compared to target latencies. */
const ONLINE_DECISION_TIMEOUT_MS = 120;

/** Timeout of the call that releases a slot, milliseconds. */
const RELEASE_TIMEOUT_MS = 500;

/** Time after the start of a daemon in which it grants itself no slots for batch items, milliseconds: all daemons may have been killed, and an owner is known by then. */
const STARTUP_BATCH_PAUSE_MS = 1500;

/** Time after which a server that has become unreachable has probably ended the calls of this daemon, milliseconds: longer than most streams last. */
const MAX_LOST_CALL_MS = 1000;

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

/** A slot that this daemon uses. */
interface HeldGrant {
  grantId: string;
  service: string;
  server: BackendServer;
  /** When this daemon got the grant, monotonic milliseconds. */
  grantedMs: number;
  isBatch: boolean;
  workspace: string;
  /** Workspace whose part of the standalone slots the grant uses, if any. */
  sharedWorkspace: string | undefined;
  /** Due time of the request, monotonic milliseconds. */
  dueMs: number;
  /** Aborted when the batch item is preempted. */
  preemption: AbortController;
}

/** Allocates slots for the requests of this daemon, and holds the pools that this daemon owns. */
export class SlotClient implements SlotAllocator {
  /** Pools that this daemon owns or has owned, by service. */
  private readonly ownedPools = new Map<string, PoolOwner>();
  /** Sessions with the pool owners, by service. */
  private readonly sessions = new Map<string, OwnerSession>();
  private readonly heldGrants = new Map<string, HeldGrant>();
  /** Features that the daemons have announced as owners, by host. */
  private readonly ownerFeatures = new Map<string, ReadonlySet<string>>();
  private readonly localSlots: LocalSlots;
  private readonly authority: PoolAuthority;
  /** Answers the calls of other daemons on pools. */
  readonly poolCalls: PoolCallHandler;
  private readonly stop = createStopController();
  private lastGrantNumber = 0;
  private readonly startedMs: number;

  /**
   * @param options - membership, service registry and calls to owners
   */
  constructor(private readonly options: SlotClientOptions) {
    this.localSlots = new LocalSlots(options.random);
    this.startedMs = options.clock.now();
    const {clock, calls, directory} = options;
    const getPool = (service: string): PoolOwner => this.getPoolOwner(service);
    this.authority = new PoolAuthority({
      directory,
      getSession: (service) => this.sessions.get(service),
      getPool,
      hasFeature: (peer, feature) => this.hasFeature(peer, feature),
      listHeldSlots: (service) => this.listHeldSlots(service),
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
    let count = 0;
    for (const grant of this.heldGrants.values()) {
      if (grant.isBatch === isBatch) count += 1;
    }
    return count;
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
    return this.acquireFromOwner(this.addExclusions(request), signal);
  }

  /**
   * Adds the servers that leave, which a pool owner may not know of, to those
   * that a request avoids, and the servers that this daemon can't reach. The
   * latter are only marked if they can be called through another daemon, and
   * are not avoided if this would exclude every server of the service.
   */
  private addExclusions(request: SlotRequest): SlotRequest {
    const {reachability, registry} = this.options;
    const {zones, serverIds} = reachability.listUnreachable();
    const adjusted = {...request, excluded: listExcluded(request, registry)};
    if (zones.length === 0 && serverIds.length === 0) return adjusted;
    const servers = registry.listServers(request.service);
    const unreachable = splitUnreachable(
      servers,
      {zones, serverIds, isCutOff: reachability.isCutOff()},
      this.options.hasForwardPeer,
    );
    const {forwardedZones, forwardedServerIds} = unreachable;
    const marked = {...adjusted, forwardedZones, forwardedServerIds};
    const isAnyReachable = servers.some(
      (server) =>
        isOfVersion(server, request) &&
        !unreachable.zones.includes(server.zone) &&
        !unreachable.serverIds.includes(server.id),
    );
    if (!isAnyReachable) return marked;
    const excluded = [...marked.excluded, ...unreachable.serverIds];
    return {...marked, excluded, unreachableZones: unreachable.zones};
  }

  /** Acquires a slot from the pool owner; decides standalone when none is reachable. */
  private async acquireFromOwner(
    request: SlotRequest,
    signal: AbortSignal,
  ): Promise<SlotResult> {
    const owner = this.sessions.get(request.service)?.getOwner();
    if (!owner) return this.acquireStandalone(request);
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
    return this.acceptGrant(request, grantId, decision.serverId, self);
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
      : this.acquireStandalone(request);
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
      this.requestSlot(request, grantId, owner),
      signal,
      ownerChange,
    );
    if (answer === undefined || answer.isErr()) {
      this.sendRelease(owner, request.service, grantId, CallOutcome.ABANDONED);
      if (signal.aborted) return createAbortedResult();
      if (!answer) return this.acquireFromNextOwner(request, owner, signal);
      session?.recordCallError(owner, answer.error);
      return this.acquireStandalone(request);
    }
    const {serverId, retryAfterMs, reason} = answer.value;
    if (serverId === undefined) return {kind: 'refused', reason, retryAfterMs};
    return this.acceptGrant(request, grantId, serverId, owner);
  }

  /** Sends a slot request to an owner, and waits for its decision when the request is queued. */
  private requestSlot(
    request: SlotRequest,
    grantId: string,
    owner: PeerInfo,
  ): ResultAsync<SlotAcquireAnswer, SavoryspurError> {
    const {calls, clock} = this.options;
    const nowMs = clock.now();
    const pool = request.service;
    const giveUpInMs = Math.max(0, request.waitDeadlineMs - nowMs);
    const waitMs = giveUpInMs + ANSWER_GRACE_MS;
    const firstAnswer = calls.acquire(
      owner,
      encodeSlotRequest(request, grantId, nowMs, (feature) =>
        this.hasFeature(owner, feature),
      ),
      request.isBatch ? waitMs : ONLINE_DECISION_TIMEOUT_MS,
    );
    return firstAnswer.andThen((answer) =>
      answer.isQueued
        ? calls.wait(owner, {pool, grantId}, waitMs)
        : okAsync(answer),
    );
  }

  /** Accepts a granted slot; when the registry of this daemon doesn't list the server with the version that is asked for, gives the slot back and decides standalone. */
  private acceptGrant(
    request: SlotRequest,
    grantId: string,
    serverId: string,
    owner: PeerInfo,
  ): SlotResult {
    const server = this.options.registry.findServer(serverId);
    if (
      !server ||
      !isOfVersion(server, request) ||
      !this.isGrantTrusted(owner, server)
    ) {
      this.sendRelease(owner, request.service, grantId, CallOutcome.ABANDONED);
      return this.acquireStandalone(request);
    }
    this.localSlots.recordGrant(serverId);
    return this.createGrant(request, grantId, server, owner);
  }

  /** Whether a grant keeps to the rollout of the service: an owner of an earlier release grants servers of any version. */
  private isGrantTrusted(owner: PeerInfo, server: BackendServer): boolean {
    const {directory, isStandaloneAllowed} = this.options;
    if (directory.isSelf(owner) || this.hasFeature(owner, ROLLOUTS_FEATURE))
      return true;
    return isStandaloneAllowed?.(server) !== false;
  }

  /** Takes a slot without an owner, within the share of a standalone daemon. */
  private acquireStandalone(request: SlotRequest): SlotResult {
    const {registry, members, clock, isStandaloneAllowed} = this.options;
    const nowMs = clock.now();
    const isStartingUp = nowMs - this.startedMs < STARTUP_BATCH_PAUSE_MS;
    if (request.isBatch && isStartingUp) return createStandaloneRefusal();
    const environment = registry.getEnvironment();
    const service = environment?.findService(request.service);
    const workspace =
      environment?.needsKeys && !request.isBatch
        ? request.workspace
        : undefined;
    const server = this.localSlots.acquire(
      registry
        .listServers(request.service)
        .filter(
          (listed) =>
            isOfVersion(listed, request) &&
            isStandaloneAllowed?.(listed) !== false,
        ),
      {
        zone: members.self.zone,
        daemons: members.countAlive(),
        coldRequestsPerSecond: computeStandaloneColdLimit(
          service?.coldRequestsPerSecond ?? 0,
          members.getMembershipView(),
        ),
        isBatch: request.isBatch,
        workspace,
        excluded: request.excluded,
        unreachableZones: request.unreachableZones ?? [],
      },
      nowMs,
    );
    if (server) {
      if (!request.isBatch) this.abortBatchItemOn(server.id);
      const grantId = this.createGrantId();
      return this.createGrant(request, grantId, server, undefined, workspace);
    }
    return createStandaloneRefusal();
  }

  /** Preempts a batch item of this daemon on a server to which an online request is sent without an owner's grant. */
  private abortBatchItemOn(serverId: string): void {
    for (const grant of this.heldGrants.values()) {
      const isMatch = grant.isBatch && grant.server.id === serverId;
      if (!isMatch || grant.preemption.signal.aborted) continue;
      this.abortPreempted([grant.grantId]);
      return;
    }
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
    this.heldGrants.set(grantId, grant);
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
    const {grantId, service, server} = grant;
    if (!this.heldGrants.delete(grantId)) return;
    const nowMs = this.options.clock.now();
    this.localSlots.release(
      server.id,
      outcome,
      nowMs,
      grant.grantedMs,
      grant.sharedWorkspace,
    );
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
    // If this call is lost, the owner learns of the release from the next synchronization.
    void this.options.calls.release(
      owner,
      {
        pool: service,
        grantId,
        outcome,
        ...(times && this.hasFeature(owner, CALL_TIMES_FEATURE) && {times}),
      },
      RELEASE_TIMEOUT_MS,
    );
  }

  private createSession(service: string): OwnerSession {
    const {directory, clock, log, calls, members} = this.options;
    return new OwnerSession({
      key: `${POOL_KEY_PREFIX}${service}`,
      directory,
      clock,
      log,
      countDaemons: () => members.countAlive(),
      syncSelf: async (waitMs) => {
        const holdings = this.listHeldSlots(service);
        const input = {pool: service, holdings, waitMs};
        const answer = await this.poolCalls.sync(input, members.self);
        this.abortPreempted(answer.yields);
      },
      syncPeer: (owner, waitMs, timeoutMs) =>
        calls
          .sync(
            owner,
            {
              pool: service,
              holdings: this.listHeldSlots(service),
              waitMs,
            },
            timeoutMs,
          )
          .map(({yields, features}) => {
            const incarnation = formatHostIncarnation(owner);
            this.ownerFeatures.set(incarnation, new Set(features));
            this.abortPreempted(yields);
          }),
    });
  }

  /** Aborts the batch items of preempted grants, so that their slots are released. */
  private abortPreempted(grantIds: readonly string[]): void {
    for (const grantId of grantIds) {
      const grant = this.heldGrants.get(grantId);
      if (!grant) continue;
      this.options.log.record(ServingEvent.ITEM_PREEMPTED, {
        grantId,
        peer: grant.server.id,
      });
      grant.preemption.abort();
    }
  }

  private listHeldSlots(service: string): HeldSlot[] {
    const nowMs = this.options.clock.now();
    const heldSlots: HeldSlot[] = [];
    for (const grant of this.heldGrants.values()) {
      if (grant.service !== service) continue;
      if (this.isLost(grant, nowMs)) continue;
      const {grantId, server, isBatch, workspace, dueMs} = grant;
      const serverId = server.id;
      const dueInMs = dueMs - nowMs;
      heldSlots.push({grantId, serverId, isBatch, workspace, dueInMs});
    }
    return heldSlots;
  }

  /**
   * Whether the server of a grant has been unreachable since a call was sent to
   * it, for so long that it has ended the call: its slot is of no use to this
   * daemon, and free for others.
   */
  private isLost({server, grantedMs}: HeldGrant, nowMs: number): boolean {
    const sinceMs = this.options.reachability.getSilentCallsSinceMs(server);
    if (sinceMs === undefined || sinceMs < grantedMs) return false;
    return nowMs - sinceMs > MAX_LOST_CALL_MS;
  }

  /** Whether a daemon that owns a pool has announced a feature; one of an earlier release announces none. */
  private hasFeature(peer: PeerInfo, feature: string): boolean {
    const features = this.ownerFeatures.get(formatHostIncarnation(peer));
    return features?.has(feature) === true;
  }

  private createGrantId(): string {
    this.lastGrantNumber += 1;
    return `${this.options.members.self.incarnation}-${this.lastGrantNumber}`;
  }
}
