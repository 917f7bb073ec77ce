/** Finds places whose release was lost and places of dead holders. */
import {RoutingEvent} from '@savoryspur/common';
import type {PeerInfo} from '@savoryspur/schema';
import type {OwnerContext} from './owner_context.js';
import type {PoolServers} from './pool_servers.js';
import type {Grant} from './server_slots.js';

/** Identity of one run of a daemon. */
function formatHolder(holder: PeerInfo): string {
  return `${holder.host} ${holder.incarnation}`;
}

/** Compares the grants of one owner with what their holders hold. */
export class Reconciliation {
  private readonly missingSince = new Map<string, number>();
  private lastRoundMs: number;

  /**
   * @param context - what the owner works with
   * @param pool - the pool
   * @param servers - the servers and their grants
   */
  constructor(
    private readonly context: OwnerContext,
    private readonly pool: string,
    private readonly servers: PoolServers,
  ) {
    this.lastRoundMs = context.clock.now();
  }

  /**
   * Drops the grants of dead holders, and asks the others when it is time.
   *
   * @param handleDropped - called after grants were dropped
   */
  run(handleDropped: () => void): void {
    const byHolder = this.collectGrants();
    this.dropDead(byHolder, handleDropped);
    const nowMs = this.context.clock.now();
    const {reconcileMs} = this.context.settings;
    if (nowMs - this.lastRoundMs < reconcileMs) return;
    this.lastRoundMs = nowMs;
    for (const grants of byHolder.values()) {
      void this.request(grants, handleDropped);
    }
  }

  private collectGrants(): Map<string, Grant[]> {
    const byHolder = new Map<string, Grant[]>();
    for (const grant of this.servers.listGrants()) {
      const key = formatHolder(grant.holder);
      const grants = byHolder.get(key);
      if (grants) grants.push(grant);
      else byHolder.set(key, [grant]);
    }
    return byHolder;
  }

  private dropDead(
    byHolder: Map<string, Grant[]>,
    handleDropped: () => void,
  ): void {
    const nowMs = this.context.clock.now();
    for (const key of this.missingSince.keys()) {
      if (!byHolder.has(key)) this.missingSince.delete(key);
    }
    for (const [key, grants] of byHolder) {
      const holder = grants[0]?.holder;
      if (!holder || this.isAlive(holder)) {
        this.missingSince.delete(key);
        continue;
      }
      const sinceMs = this.missingSince.get(key) ?? nowMs;
      this.missingSince.set(key, sinceMs);
      if (nowMs - sinceMs < this.context.settings.deadHolderMs) continue;
      this.drop(grants);
      handleDropped();
    }
  }

  private isAlive(holder: PeerInfo): boolean {
    const {view} = this.context;
    const alive = [...view.listAlive(holder.zone), view.self];
    return alive.some(
      (peer) =>
        peer.host === holder.host &&
        (peer.incarnation === '' || peer.incarnation === holder.incarnation),
    );
  }

  private async request(
    grants: readonly Grant[],
    handleDropped: () => void,
  ): Promise<void> {
    const holder = grants[0]?.holder;
    if (!holder) return;
    const {peers, view} = this.context;
    const answer = await peers.register(holder, {
      pool: this.pool,
      zone: view.self.zone,
    });
    if (answer.isErr()) return;
    const {places, pendingIds} = answer.value;
    const live = new Set(pendingIds);
    for (const place of places) live.add(place.grantId);
    const lost = grants.filter(
      (grant) =>
        !live.has(grant.id) && this.servers.findByGrant(grant.id) !== undefined,
    );
    if (lost.length === 0) return;
    this.drop(lost);
    handleDropped();
  }

  /** Drops grants; load reports count for a while, as they may still run. */
  private drop(grants: readonly Grant[]): void {
    const {clock, counters, log, settings} = this.context;
    for (const grant of grants) {
      const server = this.servers.findByGrant(grant.id);
      if (server)
        server.trustReportUntilMs = clock.now() + settings.trustReportMs;
      this.servers.remove(grant.id);
      counters.droppedGrants += 1;
    }
    log.record(RoutingEvent.GRANTS_DROPPED, {
      step: 'routing.register',
      peer: grants[0]?.holder.host,
      pool: this.pool,
      count: grants.length,
    });
  }
}
