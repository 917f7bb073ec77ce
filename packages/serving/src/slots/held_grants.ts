/** Table of the slots that this daemon uses. */
import type {Clock} from '@savoryspur/common';
import type {HeldSlot} from '@savoryspur/schema';
import type {ReachabilityMonitor} from '../online/reachability_monitor.js';
import type {BackendServer} from '../service_registry.js';

/** Time after which a server that has become unreachable has probably ended the calls of this daemon, milliseconds: longer than most streams last. */
const MAX_LOST_CALL_MS = 1000;

/** A slot that this daemon uses. */
export interface HeldGrant {
  grantId: string;
  service: string;
  server: BackendServer;
  /** When this daemon got the grant, monotonic milliseconds. */
  grantedMs: number;
  isBatch: boolean;
  workspace: string;
  /** Workspace whose part of the standalone slots the grant uses, if any. */
  sharedWorkspace: string | undefined;
  /** Due time of the request, monotonic milliseconds. */
  dueMs: number;
  /** Aborted when the batch item is preempted. */
  preemption: AbortController;
}

/** Slots that this daemon uses, from their grant to their release. */
export class HeldGrants {
  private readonly grants = new Map<string, HeldGrant>();

  /**
   * @param clock - source of time
   * @param reachability - tells since when servers have been unreachable
   */
  constructor(
    private readonly clock: Clock,
    private readonly reachability: Pick<
      ReachabilityMonitor,
      'getSilentCallsSinceMs'
    >,
  ) {}

  /** Adds a grant. */
  add(grant: HeldGrant): void {
    this.grants.set(grant.grantId, grant);
  }

  /**
   * Removes a grant.
   *
   * @returns whether it was in the table
   */
  remove(grantId: string): boolean {
    return this.grants.delete(grantId);
  }

  /** Finds a grant by its id. */
  find(grantId: string): HeldGrant | undefined {
    return this.grants.get(grantId);
  }

  /** Finds the grant of a batch item on a server that is not preempted yet. */
  findBatchItemOn(serverId: string): HeldGrant | undefined {
    for (const grant of this.grants.values()) {
      const isMatch = grant.isBatch && grant.server.id === serverId;
      if (isMatch && !grant.preemption.signal.aborted) return grant;
    }
    return undefined;
  }

  /** Counts the slots that this daemon uses for batch items, or those for online requests. */
  count(isBatch: boolean): number {
    let count = 0;
    for (const grant of this.grants.values()) {
      if (grant.isBatch === isBatch) count += 1;
    }
    return count;
  }

  /** Lists when the online requests of a service got their slots, the first one first, monotonic milliseconds. */
  listOnlineGrantTimes(service: string): number[] {
    return [...this.grants.values()]
      .filter((grant) => grant.service === service && !grant.isBatch)
      .map(({grantedMs}) => grantedMs);
  }

  /**
   * Lists the slots of a service that this daemon uses, as it reports them to the
   * owner of the pool. Those of lost calls are left out.
   *
   * @param service - name of the service
   */
  listHeldSlots(service: string): HeldSlot[] {
    const nowMs = this.clock.now();
    const heldSlots: HeldSlot[] = [];
    for (const grant of this.grants.values()) {
      if (grant.service !== service) continue;
      if (this.isLost(grant, nowMs)) continue;
      const {grantId, server, isBatch, workspace, dueMs} = grant;
      const serverId = server.id;
      const dueInMs = dueMs - nowMs;
      heldSlots.push({grantId, serverId, isBatch, workspace, dueInMs});
    }
    return heldSlots;
  }

  /**
   * Whether the server of a grant has been unreachable since a call was sent to
   * it, for so long that it has ended the call: its slot is of no use to this
   * daemon, and free for others.
   */
  private isLost({server, grantedMs}: HeldGrant, nowMs: number): boolean {
    const sinceMs = this.reachability.getSilentCallsSinceMs(server);
    if (sinceMs === undefined || sinceMs < grantedMs) return false;
    return nowMs - sinceMs > MAX_LOST_CALL_MS;
  }
}
