/**
 * Granted slots of one pool, indexed by the look-ups that decisions need: a pool
 * at its busiest makes some thousand decisions a second over some thousand slots.
 */
import type {CallEstimates} from './call_estimates.js';

/** A granted slot. Times are monotonic milliseconds. */
export interface Grant {
  grantId: string;
  /** Host of the daemon that uses the slot. */
  holder: string;
  /** Availability zone of the holder; unknown for grants of a former owner. */
  zone?: string;
  serverId: string;
  isBatch: boolean;
  /** Name of the route; unknown for grants of a former owner and of daemons of an earlier release. */
  route?: string;
  workspace: string;
  dueMs: number;
  grantedMs: number;
  /** Slots of the server in use after the grant; unknown for grants of a former owner. */
  usedAtGrant?: number;
  /** Whether the batch item was asked to release the slot. */
  isPreempted: boolean;
}

/** Grants of one pool. */
export class GrantTable {
  /** Online grants by id, oldest first. */
  private readonly onlineGrants = new Map<string, Grant>();
  /** Online grants of each route, oldest first. */
  private readonly grantsByRoute = new Map<
    string | undefined,
    Map<string, Grant>
  >();
  private readonly batchGrants = new Map<string, Grant>();
  private readonly grantsByHolder = new Map<string, Map<string, Grant>>();
  private readonly countsByServer = new Map<string, number>();
  private preemptedCount = 0;

  /** Counts all grants. */
  count(): number {
    return this.onlineGrants.size + this.batchGrants.size;
  }

  /** Counts the grants of batch items. */
  countBatch(): number {
    return this.batchGrants.size;
  }

  /** Counts the preempted grants that are not released yet. */
  countPreempted(): number {
    return this.preemptedCount;
  }

  /** Counts the grants on a server. */
  countOnServer(serverId: string): number {
    return this.countsByServer.get(serverId) ?? 0;
  }

  /** Finds a grant by its id. */
  get(grantId: string): Grant | undefined {
    return this.onlineGrants.get(grantId) ?? this.batchGrants.get(grantId);
  }

  /** Checks whether a grant is in the table. */
  has(grantId: string): boolean {
    return this.get(grantId) !== undefined;
  }

  /** Lists the grants of a holder. */
  listByHolder(holder: string): Grant[] {
    return [...(this.grantsByHolder.get(holder)?.values() ?? [])];
  }

  /** Lists all grants. */
  list(): Grant[] {
    return [...this.onlineGrants.values(), ...this.batchGrants.values()];
  }

  /** Lists the grants of batch items. */
  listBatch(): Iterable<Grant> {
    return this.batchGrants.values();
  }

  /** Adds a grant. Grants have to be added in the order of their grant times. */
  add(grant: Grant): void {
    const {grantId, holder, serverId} = grant;
    (grant.isBatch ? this.batchGrants : this.onlineGrants).set(grantId, grant);
    const held = this.grantsByHolder.get(holder) ?? new Map<string, Grant>();
    this.grantsByHolder.set(holder, held.set(grantId, grant));
    this.countsByServer.set(serverId, this.countOnServer(serverId) + 1);
    if (grant.isBatch) return;
    const ofRoute = this.grantsByRoute.get(grant.route);
    if (ofRoute) ofRoute.set(grantId, grant);
    else this.grantsByRoute.set(grant.route, new Map([[grantId, grant]]));
  }

  /** Removes a grant. */
  remove(grant: Grant): void {
    const {grantId, holder, serverId} = grant;
    (grant.isBatch ? this.batchGrants : this.onlineGrants).delete(grantId);
    const held = this.grantsByHolder.get(holder);
    held?.delete(grantId);
    if (held?.size === 0) this.grantsByHolder.delete(holder);
    if (grant.isPreempted) this.preemptedCount -= 1;
    const remaining = this.countOnServer(serverId) - 1;
    if (remaining > 0) this.countsByServer.set(serverId, remaining);
    else this.countsByServer.delete(serverId);
    if (grant.isBatch) return;
    const ofRoute = this.grantsByRoute.get(grant.route);
    ofRoute?.delete(grantId);
    if (ofRoute?.size === 0) this.grantsByRoute.delete(grant.route);
  }

  /** Marks the grant of a batch item as preempted. */
  markPreempted(grant: Grant): void {
    if (grant.isPreempted) return;
    grant.isPreempted = true;
    this.preemptedCount += 1;
  }

  /**
   * Lists when the granted slots are expected to become free for online requests, in
   * ascending order. Those of batch items do soon, as the items are preempted. A grant
   * that is overdue by more than its hold time, as that of a silent server, is expected
   * to go on for as long as it is overdue.
   *
   * @param estimates - expected hold times
   * @param preemptionMs - time from a preemption until the slot is free, milliseconds
   * @param nowMs - current time, monotonic milliseconds
   * @returns monotonic milliseconds
   */
  listExpectedEnds(
    estimates: Pick<CallEstimates, 'getHoldMs'>,
    preemptionMs: number,
    nowMs: number,
  ): number[] {
    const endsMs: number[] = [];
    for (const [route, grants] of this.grantsByRoute) {
      const holdMs = estimates.getHoldMs(route);
      for (const {grantedMs} of grants.values()) {
        const overdueMs = nowMs - grantedMs - holdMs;
        const remainingMs = overdueMs > holdMs ? overdueMs : -overdueMs;
        endsMs.push(nowMs + Math.max(0, remainingMs));
      }
    }
    for (let item = 0; item < this.batchGrants.size; item += 1) {
      endsMs.push(nowMs + preemptionMs);
    }
    return endsMs.sort((a, b) => a - b);
  }
}
