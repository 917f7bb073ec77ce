/**
 * Reconciliation of grants: frees the slots of dead holders, and slots whose
 * release was lost.
 */
import {RoutingEvent} from '@savoryspur/common';
import type {PeerInfo} from '@savoryspur/schema';
import type {OwnerContext} from './owner_context.js';
import type {PoolServers} from './pool_servers.js';
import type {Grant} from './server_slots.js';

/** Formats a key that identifies one incarnation of a daemon. */
function formatHolderKey(holder: PeerInfo): string {
  return `${holder.host} ${holder.incarnation}`;
}

/** Compares the grants of one owner with the slots that their holders hold. */
export class Reconciliation {
  private readonly deadSinceMs = new Map<string, number>();
  private lastReconciledMs: number;

  /**
   * @param context - dependencies of the pool owner
   * @param pool - the pool
   * @param servers - the servers and their grants
   */
  constructor(
    private readonly context: OwnerContext,
    private readonly pool: string,
    private readonly servers: PoolServers,
  ) {
    this.lastReconciledMs = context.clock.now();
  }

  /**
   * Drops the grants of holders that have been dead for the grace time. Once in
   * each reconciliation period, also asks all holders for their held slots.
   *
   * @param handleDropped - called after grants were dropped
   */
  run(handleDropped: () => void): void {
    const byHolder = this.collectGrants();
    this.dropGrantsOfDeadHolders(byHolder, handleDropped);
    const nowMs = this.context.clock.now();
    const {reconciliationPeriodMs} = this.context.settings;
    if (nowMs - this.lastReconciledMs < reconciliationPeriodMs) return;
    this.lastReconciledMs = nowMs;
    for (const grants of byHolder.values()) {
      void this.compareWithHolder(grants, handleDropped);
    }
  }

  private collectGrants(): Map<string, Grant[]> {
    const byHolder = new Map<string, Grant[]>();
    for (const grant of this.servers.listGrants()) {
      const key = formatHolderKey(grant.holder);
      const grants = byHolder.get(key);
      if (grants) grants.push(grant);
      else byHolder.set(key, [grant]);
    }
    return byHolder;
  }

  private dropGrantsOfDeadHolders(
    byHolder: Map<string, Grant[]>,
    handleDropped: () => void,
  ): void {
    const nowMs = this.context.clock.now();
    for (const key of this.deadSinceMs.keys()) {
      if (!byHolder.has(key)) this.deadSinceMs.delete(key);
    }
    for (const [key, grants] of byHolder) {
      const holder = grants[0]?.holder;
      if (!holder || this.isAlive(holder)) {
        this.deadSinceMs.delete(key);
        continue;
      }
      const sinceMs = this.deadSinceMs.get(key) ?? nowMs;
      this.deadSinceMs.set(key, sinceMs);
      if (nowMs - sinceMs < this.context.settings.deadHolderGraceMs) continue;
      this.dropGrants(grants);
      handleDropped();
    }
  }

  /**
   * Tells whether the membership view lists the holder as alive in the same
   * incarnation.
   */
  private isAlive(holder: PeerInfo): boolean {
    const {view} = this.context;
    const alive = [...view.listAlive(holder.zone), view.self];
    return alive.some(
      (peer) =>
        peer.host === holder.host &&
        (peer.incarnation === '' || peer.incarnation === holder.incarnation),
    );
  }

  /**
   * Asks one holder for its held slots and drops the grants that the holder
   * does not hold.
   */
  private async compareWithHolder(
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
    const {places: heldSlots, pendingIds} = answer.value;
    const heldIds = new Set(pendingIds);
    for (const slot of heldSlots) heldIds.add(slot.grantId);
    const unheld = grants.filter(
      (grant) =>
        !heldIds.has(grant.id) &&
        this.servers.findByGrant(grant.id) !== undefined,
    );
    if (unheld.length === 0) return;
    this.dropGrants(unheld);
    handleDropped();
  }

  /**
   * Drops grants; load reports count for some time, because the servers may
   * still run the requests.
   */
  private dropGrants(grants: readonly Grant[]): void {
    const {clock, counters, log, settings} = this.context;
    for (const grant of grants) {
      const server = this.servers.findByGrant(grant.id);
      if (server)
        server.useLoadReportsUntilMs = clock.now() + settings.loadReportUseMs;
      this.servers.remove(grant.id);
      counters.droppedGrants += 1;
    }
    log.record(RoutingEvent.ORPHANED_GRANTS_RELEASED, {
      step: 'routing.register',
      peer: grants[0]?.holder.host,
      pool: this.pool,
      count: grants.length,
    });
  }
}
