/**
 * Allocates the slots on the backend servers of one service: decides which
 * request gets a slot on which server, which one waits or is refused, and which
 * batch item is preempted. Performs no I/O; the current time is an argument of
 * each call.
 */
import {CallOutcome, type CallTimes, type HeldSlot} from '@savoryspur/schema';
import {Admission} from './admission.js';
import {ColdServerLimiter} from './cold_server_limiter.js';
import {type Grant, GrantTable} from './grant_table.js';
import {HolderEvidence} from './holder_evidence.js';
import type {PlacementRule} from './placement_rule.js';
import {
  type DecidedRequest,
  type FinalDecision,
  type PoolDecision,
  type PoolRequest,
  type PoolServer,
  RefusalReason,
  type Suspension,
} from './pool_types.js';
import {
  computeServerLoad,
  type PoolEntry,
  recordPrefix,
} from './server_score.js';
import {isOfVersion} from './slot_allocator.js';
import {ServerHealth} from './server_health.js';
import {WaitQueue} from './wait_queue.js';
import {WorkspaceShares} from './workspace_shares.js';
import {ZoneCircuitBreakers} from './zone_circuit_breakers.js';

/** Fraction of all slots that batch items leave free for arriving online requests. */
const ONLINE_RESERVE_FRACTION = 0.05;

/** Retry-After of a request for a software version without servers, milliseconds: a server that crashed may be back by then. */
const NO_VERSION_RETRY_AFTER_MS = 1000;

const NO_SERVER_IDS: ReadonlySet<string> = new Set();

const NO_SERVER_OF_VERSION: FinalDecision = {
  kind: 'refused',
  reason: RefusalReason.NO_SERVER_OF_VERSION,
  retryAfterMs: NO_VERSION_RETRY_AFTER_MS,
};

/** Slots on the servers of one service. */
export class SlotPool {
  private readonly entries = new Map<string, PoolEntry>();
  private readonly grants = new GrantTable();
  /** Slots of all servers that accept new work, in use or not. */
  private totalSlots = 0;
  /** Slots of these servers that are not in use. */
  private freeSlots = 0;
  /** Ids of preempted grants that their holders have not been told of yet, by holder. */
  private readonly preemptions = new Map<string, string[]>();
  private readonly health = new ServerHealth();
  private readonly admission = new Admission(this.grants, (nowMs) =>
    this.health.getFirstResumeMs(this.entries.keys(), nowMs),
  );
  private readonly shares = new WorkspaceShares();
  private readonly waitQueue = new WaitQueue(
    this.shares,
    this.admission.estimates,
  );
  private readonly zoneBreakers = new ZoneCircuitBreakers();
  private readonly evidence = new HolderEvidence();

  private coldRequestsPerSecond = Number.POSITIVE_INFINITY;

  /**
   * @param rules - rules that restrict and weigh the servers
   */
  constructor(private readonly rules: readonly PlacementRule[] = []) {}

  /**
   * Sets the warm-up rate limit of cold servers.
   *
   * @param requestsPerSecond - requests a second that this pool may send to each
   *     cold server; infinity for no limit
   */
  setColdServerLimit(requestsPerSecond: number): void {
    this.coldRequestsPerSecond = requestsPerSecond;
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
    const ids = new Set(servers.map((server) => server.id));
    for (const id of this.entries.keys()) {
      if (!ids.has(id)) this.entries.delete(id);
    }
    this.health.keepOnly(ids);
    this.evidence.keepOnly(ids);
    for (const server of servers) {
      const entry = this.entries.get(server.id);
      if (entry) entry.server = server;
      else this.entries.set(server.id, this.createEntry(server));
    }
    this.updateSlotCounts();
  }

  private updateSlotCounts(): void {
    this.totalSlots = 0;
    this.freeSlots = 0;
    for (const {server, used} of this.entries.values()) {
      this.totalSlots += server.slots;
      this.freeSlots += Math.max(0, server.slots - used);
    }
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
    return this.grants.count();
  }

  /** Counts the slots of all servers that accept new work, in use or not. */
  countSlots(): number {
    return this.totalSlots;
  }

  /**
   * Grants a slot to a request, queues the request or refuses it.
   *
   * @param request - the slot request
   * @param nowMs - current time, monotonic milliseconds
   */
  acquire(request: PoolRequest, nowMs: number): PoolDecision {
    if (!this.hasServerOfVersion(request)) return NO_SERVER_OF_VERSION;
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
    this.revokeBatchGrants(nowMs);
    return {kind: 'queued'};
  }

  private checkNew(
    request: PoolRequest,
    nowMs: number,
  ): FinalDecision | undefined {
    if (this.waitQueue.isPartUsed(request, this.totalSlots)) {
      const reason = RefusalReason.QUEUE_PART_USED;
      return this.admission.refuse(request, reason, this.totalSlots, nowMs);
    }
    const position = {
      ahead: this.waitQueue.countAhead(request),
      waitFactor: this.waitQueue.getWaitFactor(request),
    };
    return this.admission.admit(request, position, this.totalSlots, nowMs);
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
    const grant = this.grants.get(grantId);
    if (!grant) return undefined;
    this.removeGrant(grant);
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
    const {serverId, holder, grantedMs} = grant;
    const wasUsable = this.health.isUsable(serverId, holder, nowMs);
    const wasUsableForAll = this.health.isUsable(serverId, undefined, nowMs);
    const isAboutServer = this.evidence.record(
      serverId,
      holder,
      outcome,
      grantedMs,
      nowMs,
    );
    this.health.record(
      serverId,
      holder,
      outcome,
      isAboutServer,
      nowMs,
      grantedMs,
    );
    const serverZone = this.entries.get(serverId)?.server.zone;
    if (grant.zone !== undefined && serverZone !== undefined && isAboutServer) {
      this.zoneBreakers.record(grant.zone, serverZone, outcome, nowMs);
    }
    const isForAll = !this.health.isUsable(serverId, undefined, nowMs);
    if (wasUsableForAll && isForAll) {
      for (const rule of this.rules) {
        rule.recordSuspension?.(serverId, outcome, nowMs);
      }
    }
    if (!wasUsable || this.health.isUsable(serverId, holder, nowMs))
      return undefined;
    return {serverId, holder, isForAll};
  }

  /**
   * Reconciles the grants of a holder with the held slots that it lists. Listed
   * slots without a grant were granted by a former owner and are added; grants
   * that are not listed have ended and are removed, unless they are so recent
   * that the holder may not have received them when it made the list.
   *
   * @param holder - host of the daemon
   * @param heldSlots - slots that the daemon uses
   * @param nowMs - current time, monotonic milliseconds
   * @param graceMs - age up to which a grant that is not listed is kept,
   *     milliseconds
   */
  updateHolder(
    holder: string,
    heldSlots: readonly HeldSlot[],
    nowMs: number,
    graceMs: number,
  ): void {
    const heldGrantIds = new Set(heldSlots.map((heldSlot) => heldSlot.grantId));
    for (const grant of this.grants.listByHolder(holder)) {
      if (heldGrantIds.has(grant.grantId)) continue;
      if (nowMs - grant.grantedMs > graceMs) this.removeGrant(grant);
    }
    for (const heldSlot of heldSlots) {
      if (this.grants.has(heldSlot.grantId)) continue;
      this.addGrant({
        ...heldSlot,
        holder,
        dueMs: nowMs + heldSlot.dueInMs,
        grantedMs: nowMs,
        isPreempted: false,
      });
    }
  }

  /** Removes all grants and queued requests, which another daemon decides on from now on. */
  removeAll(): {grants: Grant[]; queued: PoolRequest[]} {
    const grants = this.grants.list();
    for (const grant of grants) this.removeGrant(grant);
    const queued = this.waitQueue.list();
    for (const {grantId} of queued) this.removeWaiting(grantId);
    this.preemptions.clear();
    return {grants, queued};
  }

  /** Adds the grants of the former owner that are not known yet, the oldest first. */
  addGrants(grants: readonly Grant[]): void {
    for (const grant of grants) {
      if (!this.grants.has(grant.grantId)) this.addGrant(grant);
    }
  }

  /**
   * Removes the grants and the queued requests of a holder that has expired.
   *
   * @param holder - host of the daemon
   * @returns grant ids of the requests that were queued
   */
  dropHolder(holder: string): string[] {
    for (const grant of this.grants.listByHolder(holder))
      this.removeGrant(grant);
    this.preemptions.delete(holder);
    this.evidence.dropHolder(holder);
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
    const grantIds = this.preemptions.get(holder) ?? [];
    this.preemptions.delete(holder);
    return grantIds;
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
      if (this.freeSlots === 0) break;
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
    this.revokeBatchGrants(nowMs);
    return decided;
  }

  private checkQueued(
    request: PoolRequest,
    ahead: number,
    nowMs: number,
  ): FinalDecision | undefined {
    if (!this.hasServerOfVersion(request)) return NO_SERVER_OF_VERSION;
    if (nowMs >= request.waitDeadlineMs) {
      return this.admission.refuse(
        request,
        RefusalReason.NO_SLOT_IN_TIME,
        this.totalSlots,
        nowMs,
      );
    }
    if (request.isBatch) return undefined;
    const waitFactor = this.waitQueue.getWaitFactor(request);
    const position = {ahead, waitFactor};
    return this.admission.check(request, position, this.totalSlots, nowMs);
  }

  private hasServerOfVersion(request: PoolRequest): boolean {
    if (request.softwareVersion === undefined) return true;
    for (const {server} of this.entries.values()) {
      if (isOfVersion(server, request)) return true;
    }
    return false;
  }

  private tryGrant(request: PoolRequest, nowMs: number): string | undefined {
    if (request.isBatch && !this.hasSlotForBatch()) return undefined;
    const entry = this.chooseEntry(request, nowMs);
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
    this.addGrant(grant);
    this.admission.recordGranted(request.grantId, nowMs);
    this.waitQueue.recordGranted(request, nowMs);
    for (const rule of this.rules) rule.recordGrant(grant, entry.server, nowMs);
    return entry.server.id;
  }

  private hasSlotForBatch(): boolean {
    if (this.waitQueue.countOnline() > 0) return false;
    const reserve = Math.ceil(this.totalSlots * ONLINE_RESERVE_FRACTION);
    return this.freeSlots > reserve;
  }

  private chooseEntry(
    request: PoolRequest,
    nowMs: number,
  ): PoolEntry | undefined {
    if (this.freeSlots === 0) return undefined;
    const excluded = this.findExcludedServers(request, nowMs);
    const candidates = [...this.entries.values()].filter(
      ({server}) => isOfVersion(server, request) && !excluded.has(server.id),
    );
    const best = this.chooseCandidate(candidates, request, nowMs);
    if (best) return best;
    const {holder} = request;
    const isAnyUsable = candidates.some(
      (entry) =>
        this.isCallable(entry, request, false, nowMs) &&
        this.health.isUsable(entry.server.id, holder, nowMs),
    );
    if (isAnyUsable) return undefined;
    // All may be silent for one reason, which will end: their free slots are still offered.
    const silent = candidates.filter(({server}) =>
      this.health.isSilent(server.id, holder, nowMs),
    );
    return this.chooseCandidate(silent, request, nowMs, true);
  }

  private chooseCandidate(
    candidates: readonly PoolEntry[],
    request: PoolRequest,
    nowMs: number,
    isSilenceIgnored = false,
  ): PoolEntry | undefined {
    let best: PoolEntry | undefined;
    let bestScore = Number.POSITIVE_INFINITY;
    const forwardedIds = new Set(request.forwardedServerIds);
    for (const entry of candidates) {
      const isForwarded = isCallForwarded(entry, request, forwardedIds);
      if (!this.isEligible(entry, request, isForwarded, nowMs)) continue;
      if (
        !isSilenceIgnored &&
        !this.isSound(entry, request, isForwarded, nowMs)
      )
        continue;
      let score =
        computeServerLoad(entry, request, isForwarded, nowMs) +
        this.health.getLoadPenalty(entry.server.id);
      for (const rule of this.rules) {
        score += rule.getLoadPenalty(entry, request, nowMs);
      }
      if (score >= bestScore) continue;
      best = entry;
      bestScore = score;
    }
    return best;
  }

  /** Finds the servers that the request excludes; none when it excludes all servers of the pool that could run it. */
  private findExcludedServers(
    request: PoolRequest,
    nowMs: number,
  ): ReadonlySet<string> {
    if (request.excluded.length === 0) return NO_SERVER_IDS;
    const excluded = new Set(request.excluded);
    for (const entry of this.entries.values()) {
      const {server} = entry;
      if (!isOfVersion(server, request) || excluded.has(server.id)) continue;
      if (this.isAllowedByRules(entry, request, nowMs)) return excluded;
    }
    return NO_SERVER_IDS;
  }

  private isEligible(
    entry: PoolEntry,
    request: PoolRequest,
    isForwarded: boolean,
    nowMs: number,
  ): boolean {
    const {slots, coldUntilMs} = entry.server;
    if (entry.used >= slots) return false;
    if (!this.isCallable(entry, request, isForwarded, nowMs)) return false;
    if (!this.isAllowedByRules(entry, request, nowMs)) return false;
    if (coldUntilMs <= nowMs) return true;
    return entry.coldLimiter.hasBudget(this.coldRequestsPerSecond, nowMs);
  }

  private isAllowedByRules(
    entry: PoolEntry,
    request: PoolRequest,
    nowMs: number,
  ): boolean {
    return this.rules.every((rule) => rule.isAllowed(entry, request, nowMs));
  }

  /** Whether the requesting daemon reaches the zone of a server. */
  private isCallable(
    {server: {zone}}: PoolEntry,
    request: PoolRequest,
    isForwarded: boolean,
    nowMs: number,
  ): boolean {
    if (request.unreachableZones?.includes(zone)) return false;
    return (
      isForwarded || this.zoneBreakers.isCallAllowed(request.zone, zone, nowMs)
    );
  }

  /** Whether a server is not suspended for a request. */
  private isSound(
    {server}: PoolEntry,
    request: PoolRequest,
    isForwarded: boolean,
    nowMs: number,
  ): boolean {
    // What the daemon's direct calls have shown doesn't concern forwarded ones.
    const holder = isForwarded ? undefined : request.holder;
    return this.health.isUsable(server.id, holder, nowMs);
  }

  /** Preempts batch items until as many are preempted as online requests are queued. */
  private revokeBatchGrants(nowMs: number): void {
    const missingPreemptions =
      this.waitQueue.countOnline() - this.grants.countPreempted();
    if (missingPreemptions <= 0) return;
    const candidates: Grant[] = [];
    for (const grant of this.grants.listBatch()) {
      if (grant.isPreempted || !this.entries.has(grant.serverId)) continue;
      candidates.push(grant);
    }
    // The item with the most time until it is due loses the least by an interruption.
    candidates.sort((a, b) => b.dueMs - a.dueMs || b.grantedMs - a.grantedMs);
    this.putNeededVersionsFirst(candidates);
    for (const grant of candidates.slice(0, missingPreemptions)) {
      if (!this.health.isUsable(grant.serverId, grant.holder, nowMs)) continue;
      this.grants.markPreempted(grant);
      const grantIds = this.preemptions.get(grant.holder) ?? [];
      grantIds.push(grant.grantId);
      this.preemptions.set(grant.holder, grantIds);
    }
  }

  /** Moves the batch items first that run at the software versions which queued online requests need. */
  private putNeededVersionsFirst(candidates: Grant[]): void {
    const needed = this.waitQueue.listOnlineVersions();
    if (needed.size === 0) return;
    const countNeeded = ({serverId}: Grant): number => {
      const version = this.entries.get(serverId)?.server.softwareVersion;
      return version !== undefined && needed.has(version) ? 1 : 0;
    };
    candidates.sort((a, b) => countNeeded(b) - countNeeded(a));
  }

  private createEntry(server: PoolServer): PoolEntry {
    return {
      server,
      used: this.grants.countOnServer(server.id),
      // Only the fractional limits of many standalone daemons need first requests
      // that are spread over time; an owner's limit allows whole requests.
      coldLimiter: new ColdServerLimiter(() => 0),
      prefixes: new Set(),
      lastUsedMsByHolder: new Map(),
    };
  }

  private addGrant(grant: Grant): void {
    this.grants.add(grant);
    const entry = this.entries.get(grant.serverId);
    if (!entry) return;
    if (entry.used < entry.server.slots) this.freeSlots -= 1;
    entry.used += 1;
  }

  private removeGrant(grant: Grant): void {
    this.grants.remove(grant);
    const entry = this.entries.get(grant.serverId);
    if (!entry) return;
    entry.used -= 1;
    if (entry.used < entry.server.slots) this.freeSlots += 1;
  }
}

/** Whether the requesting daemon calls a server through another one. */
function isCallForwarded(
  {server}: PoolEntry,
  {forwardedZones}: PoolRequest,
  forwardedIds: ReadonlySet<string>,
): boolean {
  return (
    forwardedIds.has(server.id) ||
    forwardedZones?.includes(server.zone) === true
  );
}
