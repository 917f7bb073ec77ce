/** Preemption of batch work: revokes batch slots for online requests. */
import {SlotTrafficClass, type PeerInfo} from '@savoryspur/schema';
import type {OwnerContext} from './owner_context.js';
import type {GrantBasis, PoolServers} from './pool_servers.js';
import type {Grant, ServerSlots} from './server_slots.js';

/**
 * Selects batch grants of one pool to preempt and asks their holders to release
 * the slots.
 */
export class Revocations {
  /**
   * @param context - dependencies of the pool owner
   * @param servers - the servers and their grants
   */
  constructor(
    private readonly context: OwnerContext,
    private readonly servers: PoolServers,
  ) {}

  /**
   * Revokes the most recent batch grants: one for each waiting online request
   * that no pending revocation will serve.
   *
   * @param waitingRequests - number of online requests that wait for a slot
   * @param basis - share and time of the decision
   * @returns number of pending revocations, the new ones included
   */
  revokeForOnline(waitingRequests: number, basis: GrantBasis): number {
    if (waitingRequests === 0) return 0;
    const candidates: Grant[] = [];
    let pendingRevocations = 0;
    for (const server of this.servers.list()) {
      if (!isFreedSlotUsable(server, basis)) continue;
      for (const grant of server.grants.values()) {
        if (this.isRevocationPending(grant, basis)) pendingRevocations += 1;
        else if (isRevocable(grant)) candidates.push(grant);
      }
    }
    candidates.sort((a, b) => b.grantedMs - a.grantedMs);
    const chosen = candidates.slice(
      0,
      Math.max(waitingRequests - pendingRevocations, 0),
    );
    this.revoke(chosen, basis.nowMs);
    return pendingRevocations + chosen.length;
  }

  /**
   * Revokes the batch grants beyond what each server can carry or its batch
   * limit allows.
   */
  revokeExcess(basis: GrantBasis): void {
    const chosen: Grant[] = [];
    for (const server of this.servers.list()) {
      const batchGrants = [...server.grants.values()].filter(
        (grant) => grant.trafficClass === SlotTrafficClass.BATCH,
      );
      const revoked = batchGrants.filter(
        (grant) => grant.revokedMs !== undefined,
      );
      const excess =
        server.countExcessBatchGrants(basis.share) - revoked.length;
      if (excess <= 0) continue;
      chosen.push(...batchGrants.filter(isRevocable).slice(-excess));
    }
    this.revoke(chosen, basis.nowMs);
  }

  /**
   * Tells whether a grant was revoked so recently that its release is still
   * expected.
   */
  private isRevocationPending(grant: Grant, basis: GrantBasis): boolean {
    if (grant.revokedMs === undefined) return false;
    return basis.nowMs - grant.revokedMs < this.context.settings.revokeWaitMs;
  }

  /** Asks the holders of grants to release the slots, best effort. */
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

/** Tells whether a slot that is freed on a server could be granted again. */
function isFreedSlotUsable(server: ServerSlots, basis: GrantBasis): boolean {
  if (!server.isOpen()) return false;
  return server.countUsedSlots(basis.nowMs) <= server.computeLimit(basis.share);
}

/** Tells whether a grant is for batch work and has not been revoked yet. */
function isRevocable(grant: Grant): boolean {
  return (
    grant.trafficClass === SlotTrafficClass.BATCH &&
    grant.revokedMs === undefined
  );
}
