/** Gets places from the owner of each pool, or decides alone while there is none. */
import {
  type Clock,
  ErrorCode,
  type EventLog,
  type SavoryspurError,
  ServingEvent,
} from '@savoryspur/common';
import {
  CallOutcome,
  type PeerInfo,
  type SlotAcquireAnswer,
  type SlotAcquireRequest,
  type HeldSlot,
  type SlotReleaseRequest,
  type SlotSyncRequest,
  type SlotWaitRequest,
} from '@savoryspur/schema';
import {okAsync, type ResultAsync} from 'neverthrow';
import type {BackendServer, ServiceRegistry} from '../service_registry.js';
import {createStopController} from '../create_stop_controller.js';
import type {EnvironmentView} from '../environment.js';
import {
  computeStandaloneShare,
  type MembershipView,
} from '../peers/fleet_share.js';
import type {ReachabilityMonitor} from '../online/reachability_monitor.js';
import type {Membership} from '../peers/membership.js';
import type {OwnerDirectory} from '../peers/owner_directory.js';
import {
  OwnerSession,
  SYNC_REPLY_GRACE_MS,
  SYNC_LONG_POLL_MS,
} from '../peers/owner_session.js';
import {LocalSlots} from './local_slots.js';
import type {PoolRequest} from './slot_pool.js';
import type {SlotResult, SlotAllocator, SlotRequest} from './slot_allocator.js';
import {type PoolCounts, PoolOwner} from './pool_owner.js';

/** Start of the keys of pool owners. */
const POOL_KEY_PREFIX = 'places:';

/** Time beyond the wait of a request after which an owner's answer is overdue, milliseconds. */
const ANSWER_MARGIN_MS = 200;

/** Time in which an owner decides on online work or tells that it waits, milliseconds: many times the way to another zone, and short beside target latencies. */
const DECIDE_MS = 120;

/** Bound on giving a place back, milliseconds. */
const RELEASE_MS = 500;

/** Retry-After of a daemon that decides alone and has no place, milliseconds: by then it may have an owner. */
const LONE_RETRY_MS = 400;

/** Calls to pool owners that are other daemons. */
export interface SlotOwnerCalls {
  sync(
    owner: PeerInfo,
    input: SlotSyncRequest,
    timeoutMs: number,
  ): ResultAsync<string[], SavoryspurError>;
  acquire(
    owner: PeerInfo,
    input: SlotAcquireRequest,
    timeoutMs: number,
  ): ResultAsync<SlotAcquireAnswer, SavoryspurError>;
  wait(
    owner: PeerInfo,
    input: SlotWaitRequest,
    timeoutMs: number,
  ): ResultAsync<SlotAcquireAnswer, SavoryspurError>;
  release(
    owner: PeerInfo,
    input: SlotReleaseRequest,
    timeoutMs: number,
  ): ResultAsync<void, SavoryspurError>;
}

/** What the client needs. */
export interface SlotClientOptions {
  clock: Clock;
  log: EventLog;
  members: Membership;
  directory: OwnerDirectory;
  registry: ServiceRegistry<EnvironmentView>;
  calls: SlotOwnerCalls;
  /** Which servers this daemon does not reach. */
  reachability: Pick<ReachabilityMonitor, 'listUnreachable'>;
  /** Gives a random number from 0 up to 1. */
  random: () => number;
}

/** A place that this daemon uses. */
interface Holding {
  grantId: string;
  service: string;
  serverId: string;
  isBatch: boolean;
  workspace: string;
  dueMs: number;
  yielded: AbortController;
}

/** Places for the work of one daemon; owns pools for the fleet too. */
export class SlotClient implements SlotAllocator {
  private readonly owners = new Map<string, PoolOwner>();
  private readonly sessions = new Map<string, OwnerSession>();
  private readonly holdings = new Map<string, Holding>();
  private readonly local: LocalSlots;
  private readonly stop = createStopController();
  private nextGrant = 0;

  /**
   * @param options - membership, servers and calls to owners
   */
  constructor(private readonly options: SlotClientOptions) {
    this.local = new LocalSlots(options.random);
  }

  /** Starts a session with the owner of each service that has none yet. */
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

  /** Counts the places in use by class. */
  countHoldings(isBatch: boolean): number {
    let count = 0;
    for (const holding of this.holdings.values()) {
      if (holding.isBatch === isBatch) count += 1;
    }
    return count;
  }

  /** Gets how long ago the owner of a pool last answered, milliseconds. */
  getOwnerAgeMs(service: string): number {
    const syncMs =
      this.sessions.get(service)?.getLastSyncMs() ?? Number.NEGATIVE_INFINITY;
    return this.options.clock.now() - syncMs;
  }

  /** Counts what this daemon knows of a pool as its owner; 0 when it never was. */
  countOwnedPool(service: string, state: keyof PoolCounts): number {
    return this.owners.get(service)?.count()[state] ?? 0;
  }

  /** Gets this daemon's part as the owner of a pool. */
  getPoolOwner(service: string): PoolOwner {
    let owner = this.owners.get(service);
    if (!owner) {
      const {clock, log, registry, members} = this.options;
      owner = new PoolOwner(service, members, registry, clock, log);
      this.owners.set(service, owner);
    }
    return owner;
  }

  /** {@inheritDoc Placer.acquire} */
  acquire(work: SlotRequest, signal: AbortSignal): Promise<SlotResult> {
    return this.acquireReached(this.addAvoidance(work), signal);
  }

  /** Adds what this daemon does not reach to what work avoids; nothing when that is all there is. */
  private addAvoidance(work: SlotRequest): SlotRequest {
    const {zones, serverIds} = this.options.reachability.listUnreachable();
    if (zones.length === 0 && serverIds.length === 0) return work;
    const servers = this.options.registry.listServers(work.service);
    const isOpen = servers.some(
      (server) =>
        !zones.includes(server.zone) && !serverIds.includes(server.id),
    );
    if (!isOpen) return work;
    const excluded = [...work.excluded, ...serverIds];
    return {...work, excluded, avoidedZones: zones};
  }

  private async acquireReached(
    work: SlotRequest,
    signal: AbortSignal,
  ): Promise<SlotResult> {
    const owner = this.sessions.get(work.service)?.getOwner();
    if (!owner) return this.acquireAlone(work);
    const grantId = this.createGrantId();
    if (this.options.directory.isSelf(owner)) {
      return this.acquireOwned(work, grantId, owner, signal);
    }
    return this.acquireRemote(work, grantId, owner, signal);
  }

  private async acquireOwned(
    work: SlotRequest,
    grantId: string,
    self: PeerInfo,
    signal: AbortSignal,
  ): Promise<SlotResult> {
    const pool = this.getPoolOwner(work.service);
    const request: PoolRequest = {
      ...work,
      grantId,
      holder: self.host,
      zone: self.zone,
    };
    const first = pool.acquire(request);
    const decision =
      first.kind === 'queued'
        ? await waitOrAbort(first.decided, signal)
        : first;
    if (decision === undefined) {
      pool.cancel(grantId, CallOutcome.ABANDONED);
      return createLeft();
    }
    if (decision.kind === 'refused') return decision;
    return this.createHeld(work, grantId, decision.serverId, self);
  }

  private async acquireRemote(
    work: SlotRequest,
    grantId: string,
    owner: PeerInfo,
    signal: AbortSignal,
  ): Promise<SlotResult> {
    const session = this.sessions.get(work.service);
    const ended = session?.getOwnerChangeSignal() ?? signal;
    const answer = await waitOrAbort(
      this.requestPlace(work, grantId, owner),
      signal,
      ended,
    );
    if (answer === undefined || answer.isErr()) {
      this.sendRelease(owner, work.service, grantId, CallOutcome.ABANDONED);
      if (signal.aborted) return createLeft();
      // An owner that is slow with one request is not gone; its session tells.
      const isSlow = answer?.isErr() && answer.error.code === ErrorCode.TIMEOUT;
      if (answer && !isSlow) session?.recordFailure(owner);
      return this.acquireAlone(work);
    }
    const {serverId, retryAfterMs, reason} = answer.value;
    if (serverId === undefined) return {kind: 'refused', reason, retryAfterMs};
    return this.createHeld(work, grantId, serverId, owner);
  }

  /** Asks an owner, and waits for its decision when the work is queued. */
  private requestPlace(
    work: SlotRequest,
    grantId: string,
    owner: PeerInfo,
  ): ResultAsync<SlotAcquireAnswer, SavoryspurError> {
    const {calls, clock} = this.options;
    const nowMs = clock.now();
    const pool = work.service;
    const giveUpInMs = Math.max(0, work.giveUpMs - nowMs);
    const waitMs = giveUpInMs + ANSWER_MARGIN_MS;
    const asked = calls.acquire(
      owner,
      {
        pool,
        grantId,
        isBatch: work.isBatch,
        workspace: work.workspace,
        priority: work.priority,
        dueInMs: work.dueMs - nowMs,
        refuseInMs: work.refuseByMs - nowMs,
        giveUpInMs,
        prefix: [...work.prefix],
        excluded: [...work.excluded],
        avoidedZones: [...(work.avoidedZones ?? [])],
      },
      work.isBatch ? waitMs : DECIDE_MS,
    );
    return asked.andThen((answer) =>
      answer.isQueued
        ? calls.wait(owner, {pool, grantId}, waitMs)
        : okAsync(answer),
    );
  }

  /** Holds a granted place; refuses when the server is unknown or gone here. */
  private createHeld(
    work: SlotRequest,
    grantId: string,
    serverId: string,
    owner: PeerInfo,
  ): SlotResult {
    const server = this.options.registry.findServer(serverId);
    if (!server) {
      this.sendRelease(owner, work.service, grantId, CallOutcome.ABANDONED);
      return this.acquireAlone(work);
    }
    this.local.add(serverId);
    return this.createPlacement(work, grantId, server, owner);
  }

  private acquireAlone(work: SlotRequest): SlotResult {
    const {registry, members, clock} = this.options;
    const service = registry.getEnvironment()?.findService(work.service);
    const server = this.local.acquire(
      registry.listServers(work.service),
      {
        zone: members.self.zone,
        daemons: members.countAlive(),
        coldRequestsPerSecond: computeColdPart(
          service?.coldRequestsPerSecond ?? 0,
          members.getMembershipView(),
        ),
        isBatch: work.isBatch,
        excluded: work.excluded,
        avoidedZones: work.avoidedZones ?? [],
      },
      clock.now(),
    );
    if (server) {
      if (!work.isBatch) this.revokeBatchOn(server.id);
      return this.createPlacement(
        work,
        this.createGrantId(),
        server,
        undefined,
      );
    }
    return {
      kind: 'refused',
      reason: 'no owner of the pool is reachable and no server is free here',
      retryAfterMs: LONE_RETRY_MS,
    };
  }

  /** Frees a place of a batch item of this daemon on a server that online work was sent to without an owner. */
  private revokeBatchOn(serverId: string): void {
    for (const holding of this.holdings.values()) {
      const isFound = holding.isBatch && holding.serverId === serverId;
      if (!isFound || holding.yielded.signal.aborted) continue;
      this.revoke([holding.grantId]);
      return;
    }
  }

  private createPlacement(
    work: SlotRequest,
    grantId: string,
    server: BackendServer,
    owner: PeerInfo | undefined,
  ): SlotResult {
    const yielded = new AbortController();
    const holding: Holding = {
      grantId,
      service: work.service,
      serverId: server.id,
      isBatch: work.isBatch,
      workspace: work.workspace,
      dueMs: work.dueMs,
      yielded,
    };
    this.holdings.set(grantId, holding);
    return {
      kind: 'placed',
      server,
      grantedBy: owner?.host ?? this.options.members.self.host,
      preemptionSignal: yielded.signal,
      release: (outcome) => this.release(holding, owner, outcome),
    };
  }

  private release(
    holding: Holding,
    grantedBy: PeerInfo | undefined,
    outcome: CallOutcome,
  ): void {
    const {grantId, service, serverId} = holding;
    if (!this.holdings.delete(grantId)) return;
    this.local.release(serverId, outcome, this.options.clock.now());
    // The present owner knows the place from a synchronization, whoever granted it.
    const owner = this.sessions.get(service)?.getOwner() ?? grantedBy;
    if (owner) this.sendRelease(owner, service, grantId, outcome);
  }

  private sendRelease(
    owner: PeerInfo,
    service: string,
    grantId: string,
    outcome: CallOutcome,
  ): void {
    if (this.options.directory.isSelf(owner)) {
      this.getPoolOwner(service).cancel(grantId, outcome);
      return;
    }
    // A lost release is made up for by the next synchronization.
    void this.options.calls.release(
      owner,
      {pool: service, grantId, outcome},
      RELEASE_MS,
    );
  }

  private createSession(service: string): OwnerSession {
    const {directory, clock, log, calls, members} = this.options;
    return new OwnerSession({
      key: `${POOL_KEY_PREFIX}${service}`,
      directory,
      clock,
      log,
      syncSelf: async () => {
        const yields = await this.getPoolOwner(service).sync(
          members.self.host,
          this.listHoldings(service),
          SYNC_LONG_POLL_MS,
        );
        this.revoke(yields);
      },
      syncPeer: (owner) =>
        calls
          .sync(
            owner,
            {
              pool: service,
              holdings: this.listHoldings(service),
              waitMs: SYNC_LONG_POLL_MS,
            },
            SYNC_LONG_POLL_MS + SYNC_REPLY_GRACE_MS,
          )
          .map((yields) => this.revoke(yields)),
    });
  }

  private revoke(grantIds: readonly string[]): void {
    for (const grantId of grantIds) {
      const holding = this.holdings.get(grantId);
      if (!holding) continue;
      this.options.log.record(ServingEvent.ITEM_PREEMPTED, {
        grantId,
        peer: holding.serverId,
      });
      holding.yielded.abort();
    }
  }

  private listHoldings(service: string): HeldSlot[] {
    const nowMs = this.options.clock.now();
    const list: HeldSlot[] = [];
    for (const holding of this.holdings.values()) {
      if (holding.service !== service) continue;
      const {grantId, serverId, isBatch, workspace, dueMs} = holding;
      const dueInMs = dueMs - nowMs;
      list.push({grantId, serverId, isBatch, workspace, dueInMs});
    }
    return list;
  }

  private createGrantId(): string {
    this.nextGrant += 1;
    return `${this.options.members.self.incarnation}-${this.nextGrant}`;
  }
}

function createLeft(): SlotResult {
  return {kind: 'refused', reason: 'the wait was ended', retryAfterMs: 0};
}

/** Computes the requests a second to a cold server of a daemon that decides alone. */
function computeColdPart(
  requestsPerSecond: number,
  view: MembershipView,
): number {
  if (requestsPerSecond <= 0) return Number.POSITIVE_INFINITY;
  return requestsPerSecond * computeStandaloneShare(view);
}

/** Waits for a promise; gives undefined once one of the signals is aborted first. */
function waitOrAbort<T>(
  promise: PromiseLike<T>,
  ...signals: AbortSignal[]
): Promise<T | undefined> {
  if (signals.some((signal) => signal.aborted)) {
    return Promise.resolve(undefined);
  }
  return new Promise((resolve, reject) => {
    // Signals that outlive many waits must not keep their listeners.
    const removeListeners = (): void => {
      for (const signal of signals) {
        signal.removeEventListener('abort', finish);
      }
    };
    const finish = (): void => {
      removeListeners();
      resolve(undefined);
    };
    for (const signal of signals) signal.addEventListener('abort', finish);
    promise.then(
      (value) => {
        removeListeners();
        resolve(value);
      },
      (reason: unknown) => {
        removeListeners();
        reject(reason instanceof Error ? reason : new Error(String(reason)));
      },
    );
  });
}
