/**
 * What a new owner does not know: places that other owners granted. It asks
 * every daemon that it sees alive, and until all have answered, or a bound has
 * passed, it counts load reports beside its grants and keeps cold servers
 * closed.
 */
import {RoutingEvent} from '@savoryspur/common';
import type {DelegatedShare} from '@savoryspur/fleet';
import type {PeerInfo, RegisterSlotsAnswer} from '@savoryspur/schema';
import type {OwnerContext} from './owner_context.js';
import type {PoolServers} from './pool_servers.js';

/** What a settlement works with. */
export interface SettlementParts {
  context: OwnerContext;
  pool: string;
  servers: PoolServers;
  /** Adds places that another owner granted. */
  addPlaces: (holder: PeerInfo, answer: RegisterSlotsAnswer) => void;
  /** Called when the settlement has ended. */
  handleSettled: () => void;
}

/** Follows the share of one pool's owner. */
export class GrantRecovery {
  private knownDelegators = new Map<string, number>();
  private lastMs: number;
  private round = 0;
  private isRunning = false;
  private isAgainNeeded = false;
  private wasActive = false;

  /**
   * @param parts - what the settlement works with
   */
  constructor(private readonly parts: SettlementParts) {
    this.lastMs = parts.context.clock.now();
  }

  /** Tells whether all places in use are known. */
  isSettled(): boolean {
    return !this.isRunning;
  }

  /**
   * Compares a share with the one before, and settles anew when it grew or when
   * this process was paused, as others may have granted in the meantime.
   *
   * @returns whether the owner's share came or went as a whole
   */
  observeShare(share: DelegatedShare): boolean {
    const isActive = share.slots > 0;
    const hasChanged = isActive !== this.wasActive;
    const wasPaused = this.checkPause();
    this.wasActive = isActive;
    let hasGrown = hasChanged || wasPaused;
    for (const [host, slots] of share.delegators) {
      hasGrown ||= slots > (this.knownDelegators.get(host) ?? 0);
    }
    const isSame = this.knownDelegators.size === share.delegators.size;
    if (hasGrown || !isSame) this.knownDelegators = new Map(share.delegators);
    if (hasChanged) this.reset();
    if (isActive && hasGrown) this.begin();
    return hasChanged;
  }

  /** Abandons the settlement under way. */
  private reset(): void {
    this.round += 1;
    this.isRunning = false;
    this.isAgainNeeded = false;
  }

  /**
   * Starts a settlement. While one is under way, all further causes together
   * start one more after it.
   */
  private begin(): void {
    const {context, servers} = this.parts;
    const {clock, settings} = context;
    for (const server of servers.list()) {
      server.beginSettling(clock.now(), settings.trustReportMs);
    }
    if (this.isRunning) {
      this.isAgainNeeded = true;
      return;
    }
    this.round += 1;
    this.isRunning = true;
    void this.run(this.round);
  }

  private checkPause(): boolean {
    const {clock, settings} = this.parts.context;
    const nowMs = clock.now();
    const gapMs = nowMs - this.lastMs;
    this.lastMs = nowMs;
    return gapMs > settings.pauseMs;
  }

  private async run(round: number): Promise<void> {
    const {clock, settings, view} = this.parts.context;
    const holders = view.listZones().flatMap((zone) => view.listAlive(zone));
    const unanswered = new Set(holders);
    const bound = new AbortController();
    const isCurrent = (): boolean => round === this.round && this.wasActive;
    await Promise.race([
      this.requestAll(unanswered, () => isCurrent() && !bound.signal.aborted),
      clock.sleep(settings.settleMs, bound.signal),
    ]);
    bound.abort();
    if (!isCurrent()) return;
    if (this.isAgainNeeded) {
      this.isAgainNeeded = false;
      return this.run(round);
    }
    this.finish(unanswered.size === 0);
    await this.requestAll(unanswered, () => {
      this.keepTrust();
      return isCurrent();
    });
  }

  private finish(isComplete: boolean): void {
    const {context, handleSettled, pool, servers} = this.parts;
    this.isRunning = false;
    for (const server of servers.list()) {
      server.finishSettling();
      if (isComplete) server.trustReportUntilMs = context.clock.now();
    }
    context.counters.settlements += 1;
    context.log.record(RoutingEvent.OWNER_SETTLED, {
      step: 'routing.register',
      pool,
      isComplete,
    });
    handleSettled();
  }

  /** Counts load reports for longer, as holders have not answered yet. */
  private keepTrust(): void {
    const {context, servers} = this.parts;
    const untilMs = context.clock.now() + context.settings.trustReportMs;
    for (const server of servers.list()) server.trustReportUntilMs = untilMs;
  }

  /** Drops holders that are no longer seen alive. */
  private dropGone(unanswered: Set<PeerInfo>): void {
    const {view} = this.parts.context;
    for (const holder of unanswered) {
      const alive = view.listAlive(holder.zone);
      if (!alive.some((peer) => peer.host === holder.host)) {
        unanswered.delete(holder);
      }
    }
  }

  /**
   * Asks holders for their places until all have answered or are gone.
   *
   * @param unanswered - holders; those that answer are taken off the set
   * @param isWanted - tells whether to ask again
   */
  private async requestAll(
    unanswered: Set<PeerInfo>,
    isWanted: () => boolean,
  ): Promise<void> {
    const {clock, settings} = this.parts.context;
    while (unanswered.size > 0 && isWanted()) {
      const requests = [...unanswered].map(async (holder) => {
        if (await this.requestPlaces(holder)) unanswered.delete(holder);
      });
      await Promise.all(requests);
      this.dropGone(unanswered);
      if (unanswered.size > 0) await clock.sleep(settings.settleRetryMs);
    }
  }

  private async requestPlaces(holder: PeerInfo): Promise<boolean> {
    const {context, pool, addPlaces} = this.parts;
    const {view, peers} = context;
    const input = {pool, zone: view.self.zone};
    const answer = await peers.register(holder, input);
    if (answer.isErr()) return false;
    addPlaces(holder, answer.value);
    return true;
  }
}
