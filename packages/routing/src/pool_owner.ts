/**
 * The owner of one pool in one availability zone: grants the concurrency slots
 * of the pool's servers to all hosts.
 */
import type {DelegatedShare} from '@savoryspur/fleet';
import {
  type AcquireSlotAnswer,
  type AcquireSlotInput,
  AcquireState,
  type RegisteredSlot,
  type PeerInfo,
  SlotTrafficClass,
  SlotUsageEnd,
  type SlotRelease,
  RefusalReason,
  type RegisterSlotsAnswer,
} from '@savoryspur/schema';
import {Admission} from './admission.js';
import {getCrashFingerprint} from './crash_fingerprint.js';
import {ServerMonitor} from './server_monitor.js';
import type {OwnerContext} from './owner_context.js';
import {createPoolKey} from './pool_key.js';
import {type GrantBasis, PoolServers} from './pool_servers.js';
import {Reconciliation} from './reconciliation.js';
import {Revocations} from './revocations.js';
import type {Grant, ServerSlots} from './server_slots.js';
import {GrantRecovery} from './grant_recovery.js';
import type {PoolStatus} from './status.js';
import {createPoolStatus} from './pool_status.js';
import {createRefusal, QueuedRequest, WaitQueue} from './wait_queue.js';

/**
 * Time for which the ids of released grants are remembered, milliseconds. An
 * acquire request or a registration that arrives after the release has no
 * effect in this time.
 */
const RELEASED_IDS_LIFETIME_MS = 30_000;

/** Owner of one pool in this host's zone. */
export class PoolOwner {
  private readonly servers: PoolServers;
  private readonly waitQueue = new WaitQueue();
  /** Monotonic times of the releases, by grant id. */
  private readonly releasedIds = new Map<string, number>();
  private readonly admission: Admission;
  private readonly recovery: GrantRecovery;
  private readonly revocations: Revocations;
  private readonly reconciliation: Reconciliation;
  private readonly monitor: ServerMonitor;

  /**
   * @param pool - the pool
   * @param context - dependencies shared by all owners of this host
   */
  constructor(
    readonly pool: string,
    private readonly context: OwnerContext,
  ) {
    this.servers = new PoolServers(pool, context.view.self.zone);
    this.servers.applyEnvironment(context.environment.getCurrent());
    this.admission = new Admission(context, this.servers, this.waitQueue);
    this.revocations = new Revocations(context, this.servers);
    this.reconciliation = new Reconciliation(context, pool, this.servers);
    this.monitor = new ServerMonitor(context, () => this.dispatchQueued());
    this.recovery = new GrantRecovery({
      context,
      pool,
      servers: this.servers,
      addRegisteredSlots: (holder, answer) =>
        this.addRegisteredSlots(holder, answer),
      handleRecovered: () => this.dispatchQueued(),
    });
  }

  /** Applies a changed configuration. */
  applyEnvironment(): void {
    const added = this.servers.applyEnvironment(
      this.context.environment.getCurrent(),
    );
    for (const server of added) {
      server.isRecoveringGrants = !this.recovery.isFinished();
    }
    this.refuseIfNotServed();
    this.dispatchQueued();
  }

  /**
   * Handles an acquire request. A request that is sent again with the same
   * grant id keeps its position in the wait queue and gets at most one slot.
   *
   * @param holder - daemon that sent the request
   * @param input - the acquire request
   */
  async acquire(
    holder: PeerInfo,
    input: AcquireSlotInput,
  ): Promise<AcquireSlotAnswer> {
    const granted = this.servers.findByGrant(input.grantId);
    if (granted) return createGrantAnswer(granted);
    const queued = this.waitQueue.find(input.grantId);
    if (queued) return this.waitForOutcome(queued);
    const reason = this.findRefusal(input);
    if (reason) {
      const retryAfterMs = this.admission.estimateRetryAfterMs(input, false);
      return this.countRefusal(createRefusal(reason, retryAfterMs));
    }
    const {clock, settings} = this.context;
    const waitMs = Math.max(input.waitMs, settings.revokeWaitMs);
    const request = new QueuedRequest(holder, input, clock.now() + waitMs);
    this.waitQueue.push(request);
    const pendingRevocations = this.dispatchQueued();
    if (!this.waitQueue.find(input.grantId)) return request.outcome;
    const waitRefusal = this.admission.findWaitRefusal(
      input,
      pendingRevocations,
    );
    if (waitRefusal) {
      const retryAfterMs = this.admission.estimateRetryAfterMs(input, true);
      return this.countRefusal(
        this.waitQueue.refuse(request, waitRefusal, retryAfterMs),
      );
    }
    return this.waitForOutcome(request);
  }

  /** Handles slots that a holder releases. */
  release(releases: readonly SlotRelease[]): void {
    for (const release of releases) this.releaseSlot(release);
    this.dispatchQueued();
  }

  /**
   * Runs periodic maintenance: batch limits, preemption, reconciliation,
   * timeouts.
   */
  runMaintenance(): void {
    const basis = this.createGrantBasis();
    const nowMs = basis.nowMs;
    this.servers.dropDrainedServers();
    for (const server of this.servers.list()) {
      server.adjustBatchLimit(basis.share, nowMs);
    }
    if (this.context.settings.isBatchPreemptible) {
      this.revocations.revokeExcess(basis);
    }
    this.reconciliation.run(() => this.dispatchQueued());
    this.monitor.expireCrashChecks();
    for (const [grantId, releasedMs] of this.releasedIds) {
      if (nowMs - releasedMs < RELEASED_IDS_LIFETIME_MS) break;
      this.releasedIds.delete(grantId);
    }
    for (const request of this.waitQueue.list()) {
      if (nowMs < request.deadlineMs) continue;
      this.waitQueue.refuse(request, RefusalReason.FULL);
    }
    this.dispatchQueued();
  }

  /** Stops the server monitor and refuses all waiting requests. */
  stop(): void {
    this.monitor.stop();
    for (const request of this.waitQueue.list()) {
      this.waitQueue.refuse(request, RefusalReason.NOT_OWNER);
    }
  }

  /**
   * Lists the servers whose warm-up this owner knows; none while grant recovery
   * is running.
   */
  listServers(): ServerSlots[] {
    return this.recovery.isFinished() ? this.servers.list() : [];
  }

  /** Gets the status of the pool. */
  getStatus(): PoolStatus {
    return createPoolStatus(this.pool, this.context.view, {
      servers: this.servers.list(),
      hasRecoveredGrants: this.recovery.isFinished(),
      queuedOnline: this.waitQueue.getQueue(SlotTrafficClass.ONLINE).count(),
      queuedBatch: this.waitQueue.getQueue(SlotTrafficClass.BATCH).count(),
    });
  }

  /** Gets the present share and time, and handles a change of the share. */
  private createGrantBasis(): GrantBasis {
    const share = this.context.view.getDelegatedShare(createPoolKey(this.pool));
    const hasChanged = this.recovery.observeShare(share);
    if (hasChanged) this.handleShareChange(share);
    return {share, nowMs: this.context.clock.now()};
  }

  /**
   * Stops the monitor and refuses all waiting requests if this host is no
   * longer owner.
   */
  private handleShareChange(share: DelegatedShare): void {
    if (share.slots > 0) return;
    this.monitor.stop();
    for (const request of this.waitQueue.list()) {
      this.waitQueue.refuse(request, RefusalReason.NOT_OWNER);
    }
    for (const server of this.servers.list()) server.clearLoadReport();
  }

  private findRefusal(input: AcquireSlotInput): RefusalReason | undefined {
    if (this.releasedIds.has(input.grantId)) return RefusalReason.RELEASED;
    const {slots} = this.createGrantBasis().share;
    return this.admission.findRefusal(input, slots);
  }

  private countRefusal(refusal: AcquireSlotAnswer): AcquireSlotAnswer {
    this.context.counters.refused += 1;
    return refusal;
  }

  /**
   * Waits for the outcome of a request, but no longer than one long poll; the
   * holder then asks again.
   */
  private async waitForOutcome(
    request: QueuedRequest,
  ): Promise<AcquireSlotAnswer> {
    const {clock, settings} = this.context;
    const timeout = new AbortController();
    const answer = await Promise.race([
      request.outcome,
      clock
        .sleep(settings.acquireLongPollMs, timeout.signal)
        .then(() => undefined),
    ]);
    timeout.abort();
    return answer ?? {state: AcquireState.QUEUED};
  }

  /**
   * Re-evaluates the wait queue: grants free slots to waiting requests, first
   * to online requests, and preempts batch work if online requests still wait.
   *
   * @returns number of pending revocations for waiting online requests
   */
  private dispatchQueued(): number {
    const basis = this.createGrantBasis();
    if (basis.share.slots === 0) return 0;
    this.monitor.watchServers(this.servers.list());
    this.serveClass(SlotTrafficClass.ONLINE, basis);
    const waitingOnline = this.waitQueue
      .getQueue(SlotTrafficClass.ONLINE)
      .count();
    const {isBatchPreemptible} = this.context.settings;
    const pendingRevocations = isBatchPreemptible
      ? this.revocations.revokeForOnline(waitingOnline, basis)
      : 0;
    if (waitingOnline === 0 || !isBatchPreemptible) {
      this.serveClass(SlotTrafficClass.BATCH, basis);
    }
    return pendingRevocations;
  }

  /** Grants free slots to the waiting requests of a class. */
  private serveClass(trafficClass: SlotTrafficClass, basis: GrantBasis): void {
    if (this.waitQueue.getQueue(trafficClass).count() === 0) return;
    this.waitQueue.serveInTurn(
      trafficClass,
      (request) => this.tryGrant(request, basis),
      () => this.servers.hasFreeSlot(trafficClass, basis),
    );
  }

  /**
   * Grants or refuses a waiting request; returns false if the request has to
   * wait.
   */
  private tryGrant(request: QueuedRequest, basis: GrantBasis): boolean {
    const {input} = request;
    const {coordinator} = this.context;
    const fingerprint = getCrashFingerprint(input);
    if (coordinator.quarantine.has(fingerprint)) {
      request.answer(createRefusal(RefusalReason.QUARANTINED));
      return true;
    }
    if (coordinator.tracker.isBlocked(fingerprint)) return false;
    const server = this.servers.selectServer(input, coordinator.tracker, basis);
    if (!server) return false;
    this.servers.add(server, createGrant(request, server, basis.nowMs));
    this.context.counters.granted += 1;
    request.answer(createGrantAnswer(server));
    return true;
  }

  private releaseSlot(release: SlotRelease): void {
    const nowMs = this.context.clock.now();
    this.releasedIds.set(release.grantId, nowMs);
    const request = this.waitQueue.find(release.grantId);
    if (request) this.waitQueue.refuse(request, RefusalReason.RELEASED);
    const server = this.servers.findByGrant(release.grantId);
    const grant = server?.grants.get(release.grantId);
    if (!server || !grant) return;
    this.monitor.observeUsageEnd(server, grant, release);
    this.servers.remove(release.grantId);
    if (release.end === SlotUsageEnd.COMPLETED) {
      this.admission.recordSlotUse(nowMs - grant.grantedMs);
    }
  }

  /**
   * Refuses all waiting requests if the pool is unknown or the zone is out of
   * service.
   */
  private refuseIfNotServed(): void {
    const isPoolUnknown = !this.servers.getPool();
    if (this.servers.isZoneInService() && !isPoolUnknown) return;
    for (const request of this.waitQueue.list()) {
      this.waitQueue.refuse(
        request,
        isPoolUnknown ? RefusalReason.UNKNOWN_POOL : RefusalReason.ZONE_OUT,
      );
    }
  }

  /**
   * Adds the slots and warm-up hints that a holder has registered during grant
   * recovery.
   */
  private addRegisteredSlots(
    holder: PeerInfo,
    answer: RegisterSlotsAnswer,
  ): void {
    const nowMs = this.context.clock.now();
    for (const hint of answer.servers) {
      this.servers.find(hint.serverId)?.recordWarmUpHint(hint, nowMs);
    }
    for (const slot of answer.places)
      this.addRegisteredSlot(holder, slot, nowMs);
    this.dispatchQueued();
  }

  private addRegisteredSlot(
    holder: PeerInfo,
    slot: RegisteredSlot,
    nowMs: number,
  ): void {
    if (this.releasedIds.has(slot.grantId)) return;
    if (this.servers.findByGrant(slot.grantId)) return;
    const server = this.servers.find(slot.serverId);
    if (!server) return;
    this.servers.add(server, {
      id: slot.grantId,
      holder,
      pool: this.pool,
      workspace: slot.workspace,
      trafficClass: slot.trafficClass,
      fingerprint: slot.fingerprint,
      serverId: slot.serverId,
      grantedMs: nowMs,
    });
    server.batchController.acceptRecoveredGrants(server.countBatchGrants());
  }
}

/** Makes the grant for an acquire request. */
function createGrant(
  request: QueuedRequest,
  server: ServerSlots,
  nowMs: number,
): Grant {
  const {input, holder} = request;
  return {
    id: input.grantId,
    holder,
    pool: input.pool,
    workspace: input.workspace,
    trafficClass: input.trafficClass,
    fingerprint: input.fingerprint,
    serverId: server.server.id,
    grantedMs: nowMs,
  };
}

/** Makes the answer that grants a slot on a server. */
function createGrantAnswer(server: ServerSlots): AcquireSlotAnswer {
  const {id, pool, zone, url} = server.server;
  return {
    state: AcquireState.GRANTED,
    server: {id, pool, zone, url},
    knowledge: server.createWarmUpHint(),
  };
}
