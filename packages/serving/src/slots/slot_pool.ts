/**
 * Allocates the slots on the backend servers of one service: decides which
 * request gets a slot on which server, which one waits or is refused, and which
 * batch item is preempted. Performs no I/O; the current time is an argument of
 * each call.
 */
import {CallOutcome, type CallTimes, type HeldSlot} from '@savoryspur/schema';
import {Admission} from './admission.js';
import {BatchPreemptions} from './batch_preemptions.js';
import type {Grant} from './grant_table.js';
import {OutcomeRecorder} from './outcome_recorder.js';
import type {PlacementRule} from './placement_rule.js';
import {PoolSlots} from './pool_slots.js';
import {
  type DecidedRequest,
  type FinalDecision,
  type PoolDecision,
  type PoolRequest,
  type PoolServer,
  RefusalReason,
  type Suspension,
} from './pool_types.js';
import {ServerChooser} from './server_chooser.js';
import {recordPrefix} from './server_score.js';
import {ServerHealth} from './server_health.js';
import {WaitQueue} from './wait_queue.js';
import {WorkspaceShares} from './workspace_shares.js';
import {ZoneCircuitBreakers} from './zone_circuit_breakers.js';

/** Fraction of all slots that batch items leave free for arriving online requests. */
const ONLINE_RESERVE_FRACTION = 0.05;

/** Time between two checks of the whole wait queue for each request in it, milliseconds: a check takes time for each of them. */
const CHECK_PERIOD_MS_PER_REQUEST = 0.1;

/** Longest time between two checks of the whole wait queue, milliseconds. */
const MAX_CHECK_PERIOD_MS = 100;

/** Retry-After of a request for a software version without servers, milliseconds: a server that crashed may be back by then. */
const NO_VERSION_RETRY_AFTER_MS = 1000;

const NO_SERVER_OF_VERSION: FinalDecision = {
  kind: 'refused',
  reason: RefusalReason.NO_SERVER_OF_VERSION,
  retryAfterMs: NO_VERSION_RETRY_AFTER_MS,
};

/** Slots on the servers of one service. */
export class SlotPool {
  private readonly slots = new PoolSlots();
  private readonly health = new ServerHealth();
  private readonly admission: Admission = new Admission(
    this.slots.grants,
    () => this.waitQueue.listOnline(),
    (nowMs) => this.health.getFirstResumeMs(this.slots.listServerIds(), nowMs),
  );
  private readonly shares = new WorkspaceShares();
  private readonly waitQueue = new WaitQueue(
    this.shares,
    this.admission.estimates,
  );
  private readonly preemptions = new BatchPreemptions(
    this.slots,
    this.waitQueue,
    this.health,
  );
  private readonly outcomes: OutcomeRecorder;
  /** Time of the latest check of the whole wait queue, monotonic milliseconds. */
  private checkedMs = Number.NEGATIVE_INFINITY;
  private readonly chooser: ServerChooser;

  /**
   * @param rules - rules that restrict and weigh the servers
   */
  constructor(private readonly rules: readonly PlacementRule[] = []) {
    const {slots, health} = this;
    const zoneBreakers = new ZoneCircuitBreakers();
    this.chooser = new ServerChooser(slots, health, zoneBreakers, rules);
    this.outcomes = new OutcomeRecorder(slots, health, zoneBreakers, rules);
  }

  /**
   * Sets the warm-up rate limit of cold servers.
   *
   * @param requestsPerSecond - requests a second that this pool may send to each
   *     cold server; infinity for no limit
   */
  setColdServerLimit(requestsPerSecond: number): void {
    this.chooser.setColdServerLimit(requestsPerSecond);
  }

  /**
   * Sets the workspaces over which online requests are queued fairly.
   *
   * @param limits - rate limit of each workspace, requests a second, 0 for no
   *     limit; undefined where the environment names no workspaces
   */
  setWorkspaces(limits: ReadonlyMap<string, number> | undefined): void {
    const wasEnabled = this.shares.isEnabled();
    this.shares.setLimits(limits);
    if (this.shares.isEnabled() !== wasEnabled) this.waitQueue.replaceFlows();
  }

  /**
   * Replaces the servers that accept new work. Grants on other servers are kept
   * until they are released.
   *
   * @param allServers - the servers; those that a rule doesn't list are left out
   * @param nowMs - current time, monotonic milliseconds
   */
  setServers(allServers: readonly PoolServer[], nowMs = 0): void {
    for (const rule of this.rules) rule.setServers(allServers, nowMs);
    const servers = allServers.filter((server) =>
      this.rules.every((rule) => rule.isListed?.(server) !== false),
    );
    this.slots.setServers(servers);
    const ids = new Set(servers.map((server) => server.id));
    this.outcomes.keepOnly(ids);
  }

  /** Counts the queued requests. */
  countWaiting(): number {
    return this.waitQueue.count();
  }

  /** Finds the workspace with the most queued online requests, and its share of them; undefined while none waits, or requests aren't queued by workspace. */
  findLargestWorkspace(): {workspace: string; share: number} | undefined {
    const largest = this.waitQueue.findLargestWorkspace();
    if (!largest) return undefined;
    const {workspace, waiting} = largest;
    return {workspace, share: waiting / this.waitQueue.countOnline()};
  }

  /** Counts the slots in use, also on servers that no longer accept new work. */
  countGrants(): number {
    return this.slots.grants.count();
  }

  /** Counts the slots of all servers that accept new work, in use or not. */
  countSlots(): number {
    return this.slots.countAll();
  }

  /**
   * Grants a slot to a request, queues the request or refuses it.
   *
   * @param request - the slot request
   * @param nowMs - current time, monotonic milliseconds
   */
  acquire(request: PoolRequest, nowMs: number): PoolDecision {
    if (!this.slots.hasServerOfVersion(request)) return NO_SERVER_OF_VERSION;
    if (!request.isBatch) this.shares.recordRequest(request.workspace, nowMs);
    if (this.waitQueue.isNext(request)) {
      const serverId = this.tryGrant(request, nowMs);
      if (serverId !== undefined) return {kind: 'granted', serverId};
    }
    if (!request.isBatch) {
      const refusal = this.checkNew(request, nowMs);
      if (refusal) return refusal;
    }
    this.waitQueue.add(request);
    this.preemptions.revoke(nowMs);
    return {kind: 'queued'};
  }

  private checkNew(
    request: PoolRequest,
    nowMs: number,
  ): FinalDecision | undefined {
    const position = {
      ahead: this.waitQueue.countAhead(request),
      waitFactor: this.waitQueue.getWaitFactor(request),
    };
    return this.admission.admit(
      request,
      position,
      this.slots.countAll(),
      nowMs,
    );
  }

  /** Removes a request from the wait queue, when its holder no longer wants a slot. */
  cancel(grantId: string): void {
    this.removeWaiting(grantId);
  }

  /**
   * Releases a slot and records how the call to its server ended.
   *
   * @param grantId - the grant of the slot; an unknown id is ignored
   * @param outcome - how the call to the server ended
   * @param nowMs - current time, monotonic milliseconds
   * @param times - times of the call, if its holder reported them
   * @returns the suspension of the server when the outcome causes one; undefined
   *     otherwise
   */
  release(
    grantId: string,
    outcome: CallOutcome,
    nowMs: number,
    times?: CallTimes,
  ): Suspension | undefined {
    const grant = this.slots.grants.get(grantId);
    if (!grant) return undefined;
    this.slots.removeGrant(grant);
    this.admission.recordReleased();
    for (const rule of this.rules) {
      rule.recordRelease(grant, outcome, times, nowMs);
    }
    if (outcome === CallOutcome.SUCCEEDED && !grant.isBatch) {
      this.admission.estimates.record(
        grant.route ?? times?.route,
        nowMs - grant.grantedMs,
        times,
      );
    }
    return this.outcomes.record(grant, outcome, nowMs);
  }

  /**
   * Reconciles the grants of a holder with the held slots that it lists, as
   * {@link PoolSlots.reconcileHolder} does.
   */
  updateHolder(
    holder: string,
    heldSlots: readonly HeldSlot[],
    nowMs: number,
    graceMs: number,
  ): void {
    this.slots.reconcileHolder(holder, heldSlots, nowMs, graceMs);
  }

  /** Removes all grants and queued requests, which another daemon decides on from now on. */
  removeAll(): {grants: Grant[]; queued: PoolRequest[]} {
    const grants = this.slots.grants.list();
    for (const grant of grants) this.slots.removeGrant(grant);
    const queued = this.waitQueue.list();
    for (const {grantId} of queued) this.removeWaiting(grantId);
    this.preemptions.clear();
    return {grants, queued};
  }

  /** Adds the grants of the former owner that are not known yet, the oldest first. */
  addGrants(grants: readonly Grant[]): void {
    for (const grant of grants) {
      if (!this.slots.grants.has(grant.grantId)) this.slots.addGrant(grant);
    }
  }

  /**
   * Removes the grants and the queued requests of a holder that has expired.
   *
   * @param holder - host of the daemon
   * @returns grant ids of the requests that were queued
   */
  dropHolder(holder: string): string[] {
    for (const grant of this.slots.grants.listByHolder(holder))
      this.slots.removeGrant(grant);
    this.preemptions.dropHolder(holder);
    this.outcomes.dropHolder(holder);
    const grantIds = this.waitQueue.removeHolder(holder);
    for (const grantId of grantIds) this.admission.recordLeft(grantId);
    return grantIds;
  }

  private removeWaiting(grantId: string): void {
    this.waitQueue.remove(grantId);
    this.admission.recordLeft(grantId);
  }

  /**
   * Takes the preemptions that a holder has not been told of yet.
   *
   * @param holder - host of the daemon
   * @returns ids of the grants that the holder has to release
   */
  takePreemptions(holder: string): string[] {
    return this.preemptions.take(holder);
  }

  /** Checks whether there are preemptions that a holder has not been told of yet. */
  hasPreemptions(holder: string): boolean {
    return this.preemptions.has(holder);
  }

  /**
   * Grants free slots to queued requests. This is sufficient after a slot has
   * become free; after other changes use {@link updateWaitQueue}.
   *
   * @param nowMs - current time, monotonic milliseconds
   * @returns the requests that got a slot
   */
  grantFreeSlots(nowMs: number): DecidedRequest[] {
    const decided: DecidedRequest[] = [];
    for (const request of this.waitQueue.listLazily()) {
      if (this.slots.countFree() === 0) break;
      if (request.isBatch && !this.hasSlotForBatch()) break;
      const serverId = this.tryGrant(request, nowMs);
      if (serverId === undefined) continue;
      this.waitQueue.remove(request.grantId);
      decided.push({request, decision: {kind: 'granted', serverId}});
    }
    return decided;
  }

  /**
   * Re-evaluates the wait queue after servers have changed or time has passed:
   * grants free slots, refuses requests that can no longer start in time and
   * preempts batch items for the online requests that keep waiting.
   *
   * @param nowMs - current time, monotonic milliseconds
   * @returns the requests that got a slot or were refused
   */
  updateWaitQueue(nowMs: number): DecidedRequest[] {
    const decided = this.grantFreeSlots(nowMs);
    const checkPeriodMs = Math.min(
      MAX_CHECK_PERIOD_MS,
      this.waitQueue.count() * CHECK_PERIOD_MS_PER_REQUEST,
    );
    if (nowMs - this.checkedMs < checkPeriodMs) return decided;
    this.checkedMs = nowMs;
    let ahead = 0;
    for (const request of this.waitQueue.list()) {
      const decision = this.checkQueued(request, ahead, nowMs);
      if (decision === undefined) {
        ahead += 1;
        continue;
      }
      this.removeWaiting(request.grantId);
      decided.push({request, decision});
    }
    this.preemptions.revoke(nowMs);
    return decided;
  }

  private checkQueued(
    request: PoolRequest,
    ahead: number,
    nowMs: number,
  ): FinalDecision | undefined {
    if (!this.slots.hasServerOfVersion(request)) return NO_SERVER_OF_VERSION;
    if (nowMs >= request.waitDeadlineMs) {
      return this.admission.refuseExpired(request, nowMs);
    }
    if (request.isBatch) return undefined;
    const waitFactor = this.waitQueue.getWaitFactor(request);
    const position = {ahead, waitFactor};
    return this.admission.check(
      request,
      position,
      this.slots.countAll(),
      nowMs,
    );
  }

  private tryGrant(request: PoolRequest, nowMs: number): string | undefined {
    if (request.isBatch && !this.hasSlotForBatch()) return undefined;
    const entry = this.chooser.choose(request, nowMs);
    if (!entry) return undefined;
    entry.coldLimiter.recordRequest(nowMs);
    entry.lastUsedMsByHolder.set(request.holder, nowMs);
    recordPrefix(entry, request.prefix);
    const grant = {
      grantId: request.grantId,
      holder: request.holder,
      zone: request.zone,
      serverId: entry.server.id,
      isBatch: request.isBatch,
      route: request.route,
      workspace: request.workspace,
      dueMs: request.dueMs,
      grantedMs: nowMs,
      usedAtGrant: entry.used + 1,
      isPreempted: false,
    };
    this.slots.addGrant(grant);
    this.admission.recordGranted(request.grantId, nowMs);
    this.waitQueue.recordGranted(request, nowMs);
    for (const rule of this.rules) rule.recordGrant(grant, entry.server, nowMs);
    return entry.server.id;
  }

  private hasSlotForBatch(): boolean {
    if (this.waitQueue.countOnline() > 0) return false;
    const reserve = Math.ceil(this.slots.countAll() * ONLINE_RESERVE_FRACTION);
    return this.slots.countFree() > reserve;
  }
}
