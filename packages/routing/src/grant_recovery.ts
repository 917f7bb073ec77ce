/**
 * Grant recovery: a new owner of a pool does not know the concurrency slots
 * that other owners granted. It asks every daemon that its membership view
 * lists as alive for its held slots. Until all have answered, or a timeout has
 * passed, the owner grants no slots on cold servers. Until all have answered,
 * it also takes the load reports of the servers into account beside its grants.
 */
import {RoutingEvent} from '@savoryspur/common';
import type {DelegatedShare} from '@savoryspur/fleet';
import type {PeerInfo, RegisterSlotsAnswer} from '@savoryspur/schema';
import type {OwnerContext} from './owner_context.js';
import type {PoolServers} from './pool_servers.js';

/** Dependencies and callbacks of grant recovery. */
export interface GrantRecoveryParts {
  context: OwnerContext;
  pool: string;
  servers: PoolServers;
  /** Called with the held slots of each holder that answers. */
  addRegisteredSlots: (holder: PeerInfo, answer: RegisterSlotsAnswer) => void;
  /** Called when a recovery has finished. */
  handleRecovered: () => void;
}

/**
 * Watches the delegated share of one pool's owner and recovers grants when the
 * share grows.
 */
export class GrantRecovery {
  /** Known quota slots delegated to this host, by delegating daemon. */
  private knownDelegators = new Map<string, number>();
  private lastObservedMs: number;
  private recoveryId = 0;
  private isRunning = false;
  private isRerunNeeded = false;
  private wasOwner = false;

  /**
   * @param parts - dependencies and callbacks
   */
  constructor(private readonly parts: GrantRecoveryParts) {
    this.lastObservedMs = parts.context.clock.now();
  }

  /** Tells whether no recovery is running. */
  isFinished(): boolean {
    return !this.isRunning;
  }

  /**
   * Compares the share with the last observed one. Starts a recovery when the
   * share has grown, or after an event-loop pause of this process, because
   * other owners may have granted slots in the meantime.
   *
   * @returns whether this host became owner or stopped being owner
   */
  observeShare(share: DelegatedShare): boolean {
    const isOwner = share.slots > 0;
    const hasChanged = isOwner !== this.wasOwner;
    const wasPaused = this.checkEventLoopPause();
    this.wasOwner = isOwner;
    let hasGrown = hasChanged || wasPaused;
    for (const [host, slots] of share.delegators) {
      hasGrown ||= slots > (this.knownDelegators.get(host) ?? 0);
    }
    const isSame = this.knownDelegators.size === share.delegators.size;
    if (hasGrown || !isSame) this.knownDelegators = new Map(share.delegators);
    if (hasChanged) this.reset();
    if (isOwner && hasGrown) this.begin();
    return hasChanged;
  }

  /** Abandons a running recovery. */
  private reset(): void {
    this.recoveryId += 1;
    this.isRunning = false;
    this.isRerunNeeded = false;
  }

  /**
   * Starts a recovery. While a recovery is running, all further calls together
   * cause one more recovery after it.
   */
  private begin(): void {
    const {context, servers} = this.parts;
    const {clock, settings} = context;
    for (const server of servers.list()) {
      server.beginGrantRecovery(clock.now(), settings.loadReportUseMs);
    }
    if (this.isRunning) {
      this.isRerunNeeded = true;
      return;
    }
    this.recoveryId += 1;
    this.isRunning = true;
    void this.run(this.recoveryId);
  }

  /**
   * Tells whether the time since the last call indicates a pause of the event
   * loop.
   */
  private checkEventLoopPause(): boolean {
    const {clock, settings} = this.parts.context;
    const nowMs = clock.now();
    const gapMs = nowMs - this.lastObservedMs;
    this.lastObservedMs = nowMs;
    return gapMs > settings.eventLoopPauseThresholdMs;
  }

  private async run(recoveryId: number): Promise<void> {
    const {clock, settings, view} = this.parts.context;
    const holders = view.listZones().flatMap((zone) => view.listAlive(zone));
    const unanswered = new Set(holders);
    const timeout = new AbortController();
    const isCurrent = (): boolean =>
      recoveryId === this.recoveryId && this.wasOwner;
    await Promise.race([
      this.requestAllHeldSlots(
        unanswered,
        () => isCurrent() && !timeout.signal.aborted,
      ),
      clock.sleep(settings.recoveryTimeoutMs, timeout.signal),
    ]);
    timeout.abort();
    if (!isCurrent()) return;
    if (this.isRerunNeeded) {
      this.isRerunNeeded = false;
      return this.run(recoveryId);
    }
    this.finish(unanswered.size === 0);
    await this.requestAllHeldSlots(unanswered, () => {
      this.keepUsingLoadReports();
      return isCurrent();
    });
  }

  /**
   * Ends the recovery.
   *
   * @param isComplete - whether all holders have answered; load reports then
   *     no longer count
   */
  private finish(isComplete: boolean): void {
    const {context, handleRecovered, pool, servers} = this.parts;
    this.isRunning = false;
    for (const server of servers.list()) {
      server.finishGrantRecovery();
      if (isComplete) server.useLoadReportsUntilMs = context.clock.now();
    }
    context.counters.settlements += 1;
    context.log.record(RoutingEvent.GRANTS_RECOVERED, {
      step: 'routing.register',
      pool,
      isComplete,
    });
    handleRecovered();
  }

  /** Extends the use of load reports while some holders have not answered. */
  private keepUsingLoadReports(): void {
    const {context, servers} = this.parts;
    const untilMs = context.clock.now() + context.settings.loadReportUseMs;
    for (const server of servers.list()) server.useLoadReportsUntilMs = untilMs;
  }

  /** Removes holders that the membership view no longer lists as alive. */
  private dropDeadHolders(unanswered: Set<PeerInfo>): void {
    const {view} = this.parts.context;
    for (const holder of unanswered) {
      const alive = view.listAlive(holder.zone);
      if (!alive.some((peer) => peer.host === holder.host)) {
        unanswered.delete(holder);
      }
    }
  }

  /**
   * Asks holders for their held slots until all have answered or are no longer
   * alive.
   *
   * @param unanswered - holders to ask; holders that answer are removed
   * @param isStillNeeded - tells whether to ask again
   */
  private async requestAllHeldSlots(
    unanswered: Set<PeerInfo>,
    isStillNeeded: () => boolean,
  ): Promise<void> {
    const {clock, settings} = this.parts.context;
    while (unanswered.size > 0 && isStillNeeded()) {
      const requests = [...unanswered].map(async (holder) => {
        if (await this.requestHeldSlots(holder)) unanswered.delete(holder);
      });
      await Promise.all(requests);
      this.dropDeadHolders(unanswered);
      if (unanswered.size > 0) await clock.sleep(settings.recoveryRetryDelayMs);
    }
  }

  /**
   * Asks one holder for its held slots.
   *
   * @returns whether the holder answered
   */
  private async requestHeldSlots(holder: PeerInfo): Promise<boolean> {
    const {context, pool, addRegisteredSlots} = this.parts;
    const {view, peers} = context;
    const input = {pool, zone: view.self.zone};
    const answer = await peers.register(holder, input);
    if (answer.isErr()) return false;
    addRegisteredSlots(holder, answer.value);
    return true;
  }
}
