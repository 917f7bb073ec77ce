/** Decides on the slots of one service for all daemons that take this daemon for the pool owner. */
import {
  type Clock,
  type EventLog,
  ServingEvent,
  Timeout,
} from '@savoryspur/common';
import type {
  CallOutcome,
  CallTimes,
  HandedGrant,
  HeldSlot,
  RelayedHolder,
} from '@savoryspur/schema';
import type {ServiceRegistry} from '../service_registry.js';
import type {EnvironmentView} from '../environment.js';
import {computeOwnerShare} from '../peers/fleet_share.js';
import type {Membership} from '../peers/membership.js';
import {computeColdLimit} from './cold_limit.js';
import {HolderContacts} from './holder_contacts.js';
import type {PlacementRule} from './placement_rule.js';
import {
  type FinalDecision,
  type PoolRequest,
  RefusalReason,
  type DecidedRequest,
} from './pool_types.js';
import {RefusalRecord} from './refusal_record.js';
import {SlotPool} from './slot_pool.js';

/** Reason of the decision on a request that its holder has cancelled. */
const CANCELLED_REASON = 'the request was cancelled';

/** Period of the re-evaluation of the wait queue, milliseconds; servers and limits are read from the registry at most once a period. */
const UPDATE_PERIOD_MS = 20;

/** Retry-After of the queued requests of an expired holder, milliseconds: it synchronizes again by then if it still runs. */
const EXPIRED_RETRY_AFTER_MS = 400;

/** Age up to which a grant that its holder doesn't list is kept, milliseconds: the answer with the grant may not have arrived yet. */
const UNLISTED_GRANT_GRACE_MS = 500;

/** Length of the grant recovery after the first holder has synchronized, milliseconds: holders report their held slots, and batch items are refused. */
const GRANT_RECOVERY_MS = 600;

/** Time for which the decision on a queued request is kept after it is made, so that the requesting daemon can fetch it, milliseconds. */
const DECISION_RETENTION_MS = 1000;

/** Counts of one pool. The field names are values of the metric label `state`, which calls a slot a place. */
export interface PoolCounts {
  /** Slots in use. */
  used: number;
  /** Slots of all servers that accept new work, in use or not. */
  places: number;
  /** Queued requests. */
  waiting: number;
}

/** Decision on a request, or a promise of the decision while the request is queued. */
export type OwnerDecision =
  FinalDecision | {kind: 'queued'; decided: Promise<FinalDecision>};

/** Long poll of one holder for preemptions. */
interface PreemptionPoll {
  finish: () => void;
}

/** A queued request and the function that settles its decision. */
export interface QueuedRequest {
  request: PoolRequest;
  resolve: (decision: FinalDecision) => void;
}

/** Owner of the pool of one service. */
export class PoolOwner {
  private readonly pool: SlotPool;
  /** Resolvers of the decisions on queued requests, by grant id. */
  private readonly resolvers = new Map<
    string,
    (decision: FinalDecision) => void
  >();
  /** Decisions on requests of other daemons that were queued, by grant id. */
  private readonly queuedDecisions = new Map<string, Promise<FinalDecision>>();
  private readonly contacts = new HolderContacts();
  private readonly preemptionPolls = new Map<string, PreemptionPoll>();
  /** Requests that were queued when the pool was handed over. */
  private readonly handedOver: PoolRequest[] = [];
  private readonly refusals = new RefusalRecord();
  private updateTimer: Timeout | undefined;
  /** Time of the latest update of servers and limits, monotonic milliseconds. */
  private registryReadMs = Number.NEGATIVE_INFINITY;
  /** Environment whose workspaces the pool has. */
  private environment: EnvironmentView | undefined;
  /** Start of the grant recovery: time of the first synchronization while there were no holders, monotonic milliseconds. */
  private recoveryStartedMs = Number.POSITIVE_INFINITY;

  /**
   * @param service - service whose slots this daemon decides on
   * @param members - membership of the fleet, for this owner's share of the
   *     warm-up rate limit
   * @param registry - environment and servers in force
   * @param clock - source of time
   * @param log - event log
   * @param rules - rules that restrict and weigh the servers of the pool
   * @param listUnreachableZones - lists the zones whose servers don't respond to
   *     this daemon
   */
  constructor(
    private readonly service: string,
    private readonly members: Pick<Membership, 'getMembershipView'>,
    private readonly registry: ServiceRegistry<EnvironmentView>,
    private readonly clock: Clock,
    private readonly log: EventLog,
    rules: readonly PlacementRule[] = [],
    private readonly listUnreachableZones: () => readonly string[] = () => [],
  ) {
    this.pool = new SlotPool(rules);
  }

  /** Counts the slots in use, all slots and the queued requests. */
  count(): PoolCounts {
    return {
      used: this.pool.countGrants(),
      places: this.pool.countSlots(),
      waiting: this.pool.countWaiting(),
    };
  }

  /** Counts the refused online requests for a reason since the start. */
  countRefusals(reason: RefusalReason): number {
    return this.refusals.count(reason);
  }

  /** Gets the share of the workspace with the most queued online requests in all of them; 0 while none waits, or requests aren't queued by workspace. */
  getLargestShare(): number {
    return this.pool.findLargestWorkspace()?.share ?? 0;
  }

  /**
   * Decides on a slot request at once, or queues the request.
   *
   * @param request - the slot request
   * @returns the decision; when the request is queued, a promise of it
   */
  acquire(request: PoolRequest): OwnerDecision {
    const nowMs = this.clock.now();
    this.updateServers();
    if (request.isBatch && nowMs - this.recoveryStartedMs < GRANT_RECOVERY_MS) {
      return {
        kind: 'refused',
        reason: RefusalReason.NO_SLOT_IN_TIME,
        retryAfterMs: GRANT_RECOVERY_MS,
      };
    }
    const decision = this.pool.acquire(request, nowMs);
    if (decision.kind !== 'queued') return this.describe(request, decision);
    this.notifyPreempted();
    this.scheduleUpdate();
    const decided = new Promise<FinalDecision>((resolve) => {
      this.resolvers.set(request.grantId, resolve);
    });
    return {kind: 'queued', decided};
  }

  /** Keeps the decision on a queued request until {@link DECISION_RETENTION_MS} after it is made, for the daemon that fetches it. */
  keepDecision(grantId: string, decided: Promise<FinalDecision>): void {
    this.queuedDecisions.set(grantId, decided);
    void decided.then(() => {
      setTimeout(
        () => this.queuedDecisions.delete(grantId),
        DECISION_RETENTION_MS,
      );
    });
  }

  /** Finds the decision on a queued request; undefined when none is kept. */
  findDecision(grantId: string): Promise<FinalDecision> | undefined {
    return this.queuedDecisions.get(grantId);
  }

  /**
   * Cancels a request in any state: removes it from the wait queue, or releases
   * its slot.
   *
   * @param grantId - id of the request
   * @param outcome - how the call to the server ended, if there was one
   * @param times - times of the call, if its holder reported them
   */
  cancel(grantId: string, outcome: CallOutcome, times?: CallTimes): void {
    this.pool.cancel(grantId);
    // The wait of another daemon must end, or its call takes this owner for lost.
    this.resolvers.get(grantId)?.({
      kind: 'refused',
      reason: CANCELLED_REASON,
      retryAfterMs: 0,
    });
    this.resolvers.delete(grantId);
    this.queuedDecisions.delete(grantId);
    this.release(grantId, outcome, times);
  }

  /**
   * Releases a slot and grants it to a queued request.
   *
   * @param grantId - the grant of the slot; an unknown id is ignored
   * @param outcome - how the call to the server ended
   * @param times - times of the call, if its holder reported them
   */
  release(grantId: string, outcome: CallOutcome, times?: CallTimes): void {
    const nowMs = this.clock.now();
    const suspended = this.pool.release(grantId, outcome, nowMs, times);
    if (suspended !== undefined) {
      const {serverId, holder, isForAll} = suspended;
      this.log.record(ServingEvent.SERVER_SUSPENDED, {
        peer: serverId,
        pool: this.service,
        holder,
        isForAll,
        outcome,
        grantId,
      });
    }
    this.grantFreeSlots();
  }

  /**
   * Synchronizes with a holder: takes the list of its held slots, then waits
   * until one of them is preempted.
   *
   * @param holder - the daemon
   * @param heldSlots - slots that the daemon uses
   * @param waitMs - longest wait, milliseconds
   * @returns ids of preempted grants, which the holder has to release; empty when
   *     the wait has ended without a preemption
   */
  async sync(
    holder: RelayedHolder,
    heldSlots: readonly HeldSlot[],
    waitMs: number,
  ): Promise<string[]> {
    const {host} = holder;
    this.expireHolders();
    this.checkOverloadEnded();
    // Later than any check of the holder that begins now, which this call answers.
    const nowMs = this.clock.now();
    if (this.contacts.isEmpty()) this.recoveryStartedMs = nowMs;
    this.contacts.recordArrival(holder, waitMs, nowMs);
    this.pool.updateHolder(host, heldSlots, nowMs, UNLISTED_GRANT_GRACE_MS);
    this.grantFreeSlots();
    if (!this.pool.hasPreemptions(host))
      await this.waitForPreemptions(host, waitMs);
    this.contacts.recordPollEnd(host, this.clock.now());
    return this.pool.takePreemptions(host);
  }

  /** Stops granting slots, as another daemon does from now on; gives the grants. */
  withdrawGrants(): HandedGrant[] {
    const nowMs = this.clock.now();
    const {grants, queued} = this.pool.removeAll();
    this.handedOver.push(...queued);
    this.contacts.clear();
    for (const poll of [...this.preemptionPolls.values()]) poll.finish();
    return grants.map((grant) => ({
      grantId: grant.grantId,
      holder: grant.holder,
      zone: grant.zone,
      serverId: grant.serverId,
      isBatch: grant.isBatch,
      ...(grant.route !== undefined && {route: grant.route}),
      workspace: grant.workspace,
      dueInMs: grant.dueMs - nowMs,
      ageMs: Math.max(0, nowMs - grant.grantedMs),
    }));
  }

  /** Takes the requests that were queued when the pool was handed over, with the functions that settle them. */
  takeQueued(): QueuedRequest[] {
    const taken: QueuedRequest[] = [];
    for (const request of this.handedOver.splice(0)) {
      const resolve = this.resolvers.get(request.grantId);
      this.resolvers.delete(request.grantId);
      if (resolve) taken.push({request, resolve});
    }
    return taken;
  }

  /** Takes the grants of the former owner over. */
  takeOverGrants(handed: readonly HandedGrant[]): void {
    const nowMs = this.clock.now();
    const grants = handed.map(({dueInMs, ageMs, ...grant}) => ({
      ...grant,
      dueMs: nowMs + dueInMs,
      grantedMs: nowMs - ageMs,
      isPreempted: false,
    }));
    grants.sort((a, b) => a.grantedMs - b.grantedMs);
    this.updateServers();
    this.pool.addGrants(grants);
    for (const {holder, zone} of grants) {
      this.contacts.recordArrival({host: holder, zone}, 0, nowMs);
    }
    // The holders' slots are known, so batch items need not wait for their reports.
    if (grants.length > 0) this.recoveryStartedMs = Number.NEGATIVE_INFINITY;
  }

  /** Waits for preemptions of a holder; ends the holder's previous wait, if any. */
  private waitForPreemptions(holder: string, waitMs: number): Promise<void> {
    this.preemptionPolls.get(holder)?.finish();
    return new Promise((resolve) => {
      const finish = (): void => {
        clearTimeout(timer);
        if (this.preemptionPolls.get(holder) === poll) {
          this.preemptionPolls.delete(holder);
        }
        resolve();
      };
      const poll = {finish};
      const timer = setTimeout(finish, waitMs);
      this.preemptionPolls.set(holder, poll);
    });
  }

  private notifyPreempted(): void {
    for (const [holder, poll] of this.preemptionPolls) {
      if (this.pool.hasPreemptions(holder)) poll.finish();
    }
  }

  /** Reads the servers and the warm-up rate limit from the registry, at most once in each update period. */
  private updateServers(): void {
    const nowMs = this.clock.now();
    if (nowMs - this.registryReadMs < UPDATE_PERIOD_MS) return;
    this.registryReadMs = nowMs;
    this.updateWorkspaces();
    this.pool.setColdServerLimit(this.computeColdLimit());
    this.pool.setServers(this.registry.listServers(this.service), nowMs);
  }

  private updateWorkspaces(): void {
    const environment = this.registry.getEnvironment();
    if (environment === this.environment) return;
    this.environment = environment;
    // An environment without workspaces needs no keys, and gives no names to share by.
    const limits = environment?.needsKeys
      ? new Map(
          environment
            .listWorkspaces()
            .map(({name, ratePerSecond}) => [name, ratePerSecond]),
        )
      : undefined;
    this.pool.setWorkspaces(limits);
  }

  /** Computes the requests a second that this owner may send to a cold server: its share of the fleet-wide warm-up rate limit. */
  private computeColdLimit(): number {
    return computeColdLimit(this.registry.getEnvironment(), this.service, () =>
      computeOwnerShare(
        this.contacts.computeDelegatedShares(this.clock.now()),
        this.members.getMembershipView(),
      ),
    );
  }

  private updateWaitQueue(): void {
    this.expireHolders();
    if (this.pool.countWaiting() > 0) {
      this.updateServers();
      this.resolveDecided(this.pool.updateWaitQueue(this.clock.now()));
      this.scheduleUpdate();
    }
    this.notifyPreempted();
  }

  private grantFreeSlots(): void {
    if (this.pool.countWaiting() === 0) return;
    this.updateServers();
    this.resolveDecided(this.pool.grantFreeSlots(this.clock.now()));
  }

  private resolveDecided(decided: readonly DecidedRequest[]): void {
    for (const {request, decision} of decided) {
      const resolve = this.resolvers.get(request.grantId);
      this.resolvers.delete(request.grantId);
      resolve?.(this.describe(request, decision));
    }
  }

  /** Adds the counts of the pool to the reason of a refusal, for the log of the requesting daemon. */
  private describe(
    request: PoolRequest,
    decision: FinalDecision,
  ): FinalDecision {
    if (decision.kind !== 'refused') return decision;
    const {used, places, waiting} = this.count();
    if (!request.isBatch) this.recordRefusal(request, decision);
    const reason = `${decision.reason} (${used} of ${places} slots used, ${waiting} waiting)`;
    return {...decision, reason};
  }

  private recordRefusal(
    {workspace}: PoolRequest,
    {reason, retryAfterMs}: FinalDecision & {kind: 'refused'},
  ): void {
    const nowMs = this.clock.now();
    if (!this.refusals.record(reason, retryAfterMs, nowMs)) return;
    const largest = this.pool.findLargestWorkspace();
    this.log.record(ServingEvent.POOL_OVERLOADED, {
      pool: this.service,
      reason,
      workspace,
      largestWorkspace: largest?.workspace,
      largestShare: largest?.share,
      ...this.count(),
    });
  }

  private checkOverloadEnded(): void {
    const refused = this.refusals.takeEnded(this.clock.now());
    if (refused === undefined) return;
    const pool = this.service;
    this.log.record(ServingEvent.POOL_OVERLOAD_ENDED, {pool, refused});
  }

  /** Updates the wait queue after a period, once the releases that have arrived were read: they decide whether a request is refused. */
  private scheduleUpdate(): void {
    this.updateTimer ??= new Timeout(UPDATE_PERIOD_MS, () => {
      this.updateTimer = undefined;
      this.updateWaitQueue();
    });
  }

  /** Frees the slots of holders that have stopped synchronizing, and drops their requests. */
  private expireHolders(): void {
    const nowMs = this.clock.now();
    const zones = this.listUnreachableZones();
    for (const holder of this.contacts.checkZones(zones, nowMs)) {
      this.preemptionPolls.get(holder)?.finish();
    }
    const isPolling = (holder: string): boolean =>
      this.preemptionPolls.has(holder);
    for (const holder of this.contacts.takeExpired(isPolling, nowMs)) {
      // The holder may still wait: it is this daemon after another one owned the
      // pool for a while, or a daemon whose synchronization was late.
      for (const grantId of this.pool.dropHolder(holder)) {
        this.resolvers.get(grantId)?.({
          kind: 'refused',
          reason: RefusalReason.NO_SLOT_IN_TIME,
          retryAfterMs: EXPIRED_RETRY_AFTER_MS,
        });
        this.resolvers.delete(grantId);
      }
      this.log.record(ServingEvent.HOLDER_EXPIRED, {
        peer: holder,
        pool: this.service,
      });
    }
  }
}
