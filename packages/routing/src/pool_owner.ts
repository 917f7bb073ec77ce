/**
 * The owner of one pool in one availability zone: holds all places of the
 * pool's servers and decides for all hosts.
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
import {ServerMonitor} from './server_monitor.js';
import type {OwnerContext} from './owner_context.js';
import {createPoolKey} from './pool_key.js';
import {type GrantMoment, PoolServers} from './pool_servers.js';
import {Reconciliation} from './reconciliation.js';
import {Revocations} from './revocations.js';
import type {Grant, ServerSlots} from './server_slots.js';
import {GrantRecovery} from './grant_recovery.js';
import type {PoolStatus} from './status.js';
import {createPoolStatus} from './pool_status.js';
import {createRefusal, QueuedRequest, WaitQueue} from './wait_queue.js';

/** Time for which released ids are remembered, milliseconds. */
const RELEASED_MS = 30_000;

/** Owner of one pool in this host's zone. */
export class PoolOwner {
  private readonly servers: PoolServers;
  private readonly waiting = new WaitQueue();
  private readonly released = new Map<string, number>();
  private readonly admission: Admission;
  private readonly settlement: GrantRecovery;
  private readonly revocations: Revocations;
  private readonly reconciliation: Reconciliation;
  private readonly watch: ServerMonitor;

  /**
   * @param pool - the pool
   * @param context - what the owner works with
   */
  constructor(
    readonly pool: string,
    private readonly context: OwnerContext,
  ) {
    this.servers = new PoolServers(pool, context.view.self.zone);
    this.servers.apply(context.environment.getCurrent());
    this.admission = new Admission(context, this.servers, this.waiting);
    this.revocations = new Revocations(context, this.servers);
    this.reconciliation = new Reconciliation(context, pool, this.servers);
    this.watch = new ServerMonitor(context, () => this.dispatchWaiting());
    this.settlement = new GrantRecovery({
      context,
      pool,
      servers: this.servers,
      addPlaces: (holder, answer) => this.addPlaces(holder, answer),
      handleSettled: () => this.dispatchWaiting(),
    });
  }

  /** Follows the configuration. */
  applyEnvironment(): void {
    const added = this.servers.apply(this.context.environment.getCurrent());
    for (const server of added) {
      server.isSettling = !this.settlement.isSettled();
    }
    this.refuseIfOut();
    this.dispatchWaiting();
  }

  /**
   * Handles a wish for a place. The same wish may be sent again; it keeps its
   * turn and gets at most one place.
   *
   * @param holder - who asks
   * @param input - the wish
   */
  async acquire(
    holder: PeerInfo,
    input: AcquireSlotInput,
  ): Promise<AcquireSlotAnswer> {
    const granted = this.servers.findByGrant(input.grantId);
    if (granted) return createGrantAnswer(granted);
    const known = this.waiting.find(input.grantId);
    if (known) return this.waitFor(known);
    const reason = this.findRefusal(input);
    if (reason) return this.refuse(createRefusal(reason));
    const {clock, settings} = this.context;
    const waitMs = Math.max(input.waitMs, settings.revokeMs);
    const waiter = new QueuedRequest(holder, input, clock.now() + waitMs);
    this.waiting.push(waiter);
    const underWay = this.dispatchWaiting();
    if (!this.waiting.find(input.grantId)) return waiter.outcome;
    const late = this.admission.findLateRefusal(input, underWay);
    if (late) return this.refuse(this.waiting.refuse(waiter, late));
    return this.waitFor(waiter);
  }

  /** Handles places that a holder gives back. */
  release(releases: readonly SlotRelease[]): void {
    for (const release of releases) this.releaseOne(release);
    this.dispatchWaiting();
  }

  /** Does the work that no message triggers. */
  runPeriod(): void {
    const moment = this.createMoment();
    const nowMs = moment.nowMs;
    this.servers.dropEmpty();
    for (const server of this.servers.list()) {
      server.adjustBatch(moment.share, nowMs);
    }
    if (this.context.settings.isBatchPreemptible) {
      this.revocations.revokeExcess(moment);
    }
    this.reconciliation.run(() => this.dispatchWaiting());
    this.watch.expireVerdicts();
    for (const [grantId, releasedMs] of this.released) {
      if (nowMs - releasedMs < RELEASED_MS) break;
      this.released.delete(grantId);
    }
    for (const waiter of this.waiting.list()) {
      if (nowMs < waiter.deadlineMs) continue;
      this.waiting.refuse(waiter, RefusalReason.FULL);
    }
    this.dispatchWaiting();
  }

  /** Stops all tasks and refuses what waits. */
  stop(): void {
    this.watch.stop();
    for (const waiter of this.waiting.list()) {
      this.waiting.refuse(waiter, RefusalReason.NOT_OWNER);
    }
  }

  /** Lists what this owner knows of its servers, for the next owner. */
  listServers(): ServerSlots[] {
    return this.settlement.isSettled() ? this.servers.list() : [];
  }

  /** Gets the status of the pool. */
  getStatus(): PoolStatus {
    return createPoolStatus(this.pool, this.context.view, {
      servers: this.servers.list(),
      isSettled: this.settlement.isSettled(),
      queuedOnline: this.waiting.getQueue(SlotTrafficClass.ONLINE).count(),
      queuedBatch: this.waiting.getQueue(SlotTrafficClass.BATCH).count(),
    });
  }

  private createMoment(): GrantMoment {
    const share = this.context.view.getDelegatedShare(createPoolKey(this.pool));
    const hasChanged = this.settlement.observeShare(share);
    if (hasChanged) this.handleOwnership(share);
    return {share, nowMs: this.context.clock.now()};
  }

  private handleOwnership(share: DelegatedShare): void {
    if (share.slots > 0) return;
    this.watch.stop();
    for (const waiter of this.waiting.list()) {
      this.waiting.refuse(waiter, RefusalReason.NOT_OWNER);
    }
    for (const server of this.servers.list()) server.clearLoad();
  }

  private findRefusal(input: AcquireSlotInput): RefusalReason | undefined {
    if (this.released.has(input.grantId)) return RefusalReason.RELEASED;
    const {slots} = this.createMoment().share;
    return this.admission.findRefusal(input, slots);
  }

  private refuse(refusal: AcquireSlotAnswer): AcquireSlotAnswer {
    this.context.counters.refused += 1;
    return refusal;
  }

  /** Waits for the outcome of a wish, but no longer than one call may last. */
  private async waitFor(waiter: QueuedRequest): Promise<AcquireSlotAnswer> {
    const {clock, settings} = this.context;
    const bound = new AbortController();
    const answer = await Promise.race([
      waiter.outcome,
      clock.sleep(settings.acquirePollMs, bound.signal).then(() => undefined),
    ]);
    bound.abort();
    return answer ?? {state: AcquireState.QUEUED};
  }

  /**
   * Gives free places to waiting requests, online ones first.
   *
   * @returns revocations under way for waiting online requests
   */
  private dispatchWaiting(): number {
    const moment = this.createMoment();
    if (moment.share.slots === 0) return 0;
    this.watch.run(this.servers.list());
    this.serve(SlotTrafficClass.ONLINE, moment);
    const waiting = this.waiting.getQueue(SlotTrafficClass.ONLINE).count();
    const {isBatchPreemptible: isYielding} = this.context.settings;
    const underWay = isYielding
      ? this.revocations.revokeForOnline(waiting, moment)
      : 0;
    if (waiting === 0 || !isYielding) {
      this.serve(SlotTrafficClass.BATCH, moment);
    }
    return underWay;
  }

  /** Gives free places to the waiting requests of a class. */
  private serve(trafficClass: SlotTrafficClass, moment: GrantMoment): void {
    if (this.waiting.getQueue(trafficClass).count() === 0) return;
    this.waiting.drain(
      trafficClass,
      (waiter) => this.tryGrant(waiter, moment),
      () => this.servers.hasFree(trafficClass, moment),
    );
  }

  /** Serves one wish; tells whether it is off the queue. */
  private tryGrant(waiter: QueuedRequest, moment: GrantMoment): boolean {
    const {input} = waiter;
    const {crashes} = this.context;
    if (crashes.quarantine.has(input.fingerprint)) {
      waiter.answer(createRefusal(RefusalReason.QUARANTINED));
      return true;
    }
    if (crashes.tracker.isHeldBack(input.fingerprint)) return false;
    const server = this.servers.choose(input, crashes.tracker, moment);
    if (!server) return false;
    this.servers.add(server, createGrant(waiter, server, moment.nowMs));
    this.context.counters.granted += 1;
    waiter.answer(createGrantAnswer(server));
    return true;
  }

  private releaseOne(release: SlotRelease): void {
    const nowMs = this.context.clock.now();
    this.released.set(release.grantId, nowMs);
    const waiter = this.waiting.find(release.grantId);
    if (waiter) this.waiting.refuse(waiter, RefusalReason.RELEASED);
    const server = this.servers.findByGrant(release.grantId);
    const grant = server?.grants.get(release.grantId);
    if (!server || !grant) return;
    this.watch.observeEnd(server, grant, release);
    this.servers.remove(release.grantId);
    if (release.end === SlotUsageEnd.COMPLETED) {
      this.admission.recordHold(nowMs - grant.grantedMs);
    }
  }

  private refuseIfOut(): void {
    const isGone = !this.servers.getPool();
    if (this.servers.isIn() && !isGone) return;
    for (const waiter of this.waiting.list()) {
      this.waiting.refuse(
        waiter,
        isGone ? RefusalReason.UNKNOWN_POOL : RefusalReason.ZONE_OUT,
      );
    }
  }

  /** Adds what a holder holds on this pool's servers. */
  private addPlaces(holder: PeerInfo, answer: RegisterSlotsAnswer): void {
    const nowMs = this.context.clock.now();
    for (const knowledge of answer.servers) {
      this.servers.find(knowledge.serverId)?.recordKnowledge(knowledge, nowMs);
    }
    for (const place of answer.places) this.addPlace(holder, place, nowMs);
    this.dispatchWaiting();
  }

  private addPlace(
    holder: PeerInfo,
    place: RegisteredSlot,
    nowMs: number,
  ): void {
    if (this.released.has(place.grantId)) return;
    if (this.servers.findByGrant(place.grantId)) return;
    const server = this.servers.find(place.serverId);
    if (!server) return;
    this.servers.add(server, {
      id: place.grantId,
      holder,
      pool: this.pool,
      workspace: place.workspace,
      trafficClass: place.trafficClass,
      fingerprint: place.fingerprint,
      serverId: place.serverId,
      grantedMs: nowMs,
    });
    server.batch.resume(server.countBatch());
  }
}

/** Makes the grant of a wish. */
function createGrant(
  waiter: QueuedRequest,
  server: ServerSlots,
  nowMs: number,
): Grant {
  const {input, holder} = waiter;
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

/** Makes the answer to a granted wish. */
function createGrantAnswer(server: ServerSlots): AcquireSlotAnswer {
  const {id, pool, zone, url} = server.server;
  return {
    state: AcquireState.GRANTED,
    server: {id, pool, zone, url},
    knowledge: server.createKnowledge(),
  };
}
