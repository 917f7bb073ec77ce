/** Takes batch places back for online work. */
import {SlotTrafficClass, type PeerInfo} from '@savoryspur/schema';
import type {OwnerContext} from './owner_context.js';
import type {GrantMoment, PoolServers} from './pool_servers.js';
import type {Grant, ServerSlots} from './server_slots.js';

/** Takes batch places of one pool back. */
export class Revocations {
  /**
   * @param context - what the owner works with
   * @param servers - the servers and their grants
   */
  constructor(
    private readonly context: OwnerContext,
    private readonly servers: PoolServers,
  ) {}

  /**
   * Takes back a batch place for each waiting online request that no earlier
   * revocation serves.
   *
   * @param waiting - online requests without a place
   * @param moment - share and time
   * @returns revocations that have not yet freed their place
   */
  revokeForOnline(waiting: number, moment: GrantMoment): number {
    if (waiting === 0) return 0;
    const candidates: Grant[] = [];
    let underWay = 0;
    for (const server of this.servers.list()) {
      if (!isUseful(server, moment)) continue;
      for (const grant of server.grants.values()) {
        if (this.isUnderWay(grant, moment)) underWay += 1;
        else if (isRevocable(grant)) candidates.push(grant);
      }
    }
    candidates.sort((a, b) => b.grantedMs - a.grantedMs);
    const chosen = candidates.slice(0, Math.max(waiting - underWay, 0));
    this.revoke(chosen, moment.nowMs);
    return underWay + chosen.length;
  }

  /** Takes back the batch places beyond what each server can carry. */
  revokeExcess(moment: GrantMoment): void {
    const chosen: Grant[] = [];
    for (const server of this.servers.list()) {
      const batch = [...server.grants.values()].filter(
        (grant) => grant.trafficClass === SlotTrafficClass.BATCH,
      );
      const revoked = batch.filter((grant) => grant.revokedMs !== undefined);
      const excess = server.countExcessBatch(moment.share) - revoked.length;
      if (excess <= 0) continue;
      chosen.push(...batch.filter(isRevocable).slice(-excess));
    }
    this.revoke(chosen, moment.nowMs);
  }

  private isUnderWay(grant: Grant, moment: GrantMoment): boolean {
    if (grant.revokedMs === undefined) return false;
    return moment.nowMs - grant.revokedMs < this.context.settings.revokeMs;
  }

  private revoke(grants: readonly Grant[], nowMs: number): void {
    const byHost = new Map<string, {holder: PeerInfo; grantIds: string[]}>();
    for (const grant of grants) {
      grant.revokedMs = nowMs;
      this.context.counters.revoked += 1;
      const entry = byHost.get(grant.holder.host);
      if (entry) entry.grantIds.push(grant.id);
      else {
        byHost.set(grant.holder.host, {
          holder: grant.holder,
          grantIds: [grant.id],
        });
      }
    }
    for (const {holder, grantIds} of byHost.values()) {
      void this.context.peers.revoke(holder, {grantIds});
    }
  }
}

/** Tells whether a place freed on a server can go to online work. */
function isUseful(server: ServerSlots, moment: GrantMoment): boolean {
  if (!server.isOpen()) return false;
  return server.countUsed(moment.nowMs) <= server.computeLimit(moment.share);
}

/** Tells whether a place may be taken back and has not been. */
function isRevocable(grant: Grant): boolean {
  return (
    grant.trafficClass === SlotTrafficClass.BATCH &&
    grant.revokedMs === undefined
  );
}
