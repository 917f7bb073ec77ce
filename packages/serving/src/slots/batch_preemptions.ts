/**
 * Preempts the batch items of a slot pool for the online requests that wait, and
 * keeps the preemptions until their holders are told. Performs no I/O; the current
 * time is an argument of each call.
 */
import type {Grant} from './grant_table.js';
import type {PoolSlots} from './pool_slots.js';
import type {ServerHealth} from './server_health.js';
import type {WaitQueue} from './wait_queue.js';

/** Preemptions of the batch items of one pool. */
export class BatchPreemptions {
  /** Ids of preempted grants that their holders have not been told of yet, by holder. */
  private readonly untold = new Map<string, string[]>();

  /**
   * @param slots - servers of the pool and the slots on them
   * @param waitQueue - requests that wait for a slot
   * @param health - suspensions of the servers; the items of a suspended one are
   *     not preempted, since their slots would not be granted
   */
  constructor(
    private readonly slots: PoolSlots,
    private readonly waitQueue: WaitQueue,
    private readonly health: ServerHealth,
  ) {}

  /**
   * Preempts batch items until as many are preempted as online requests are queued.
   *
   * @param nowMs - current time, monotonic milliseconds
   */
  revoke(nowMs: number): void {
    const missingPreemptions =
      this.waitQueue.countOnline() - this.slots.grants.countPreempted();
    if (missingPreemptions <= 0) return;
    const candidates: Grant[] = [];
    for (const grant of this.slots.grants.listBatch()) {
      if (grant.isPreempted || !this.slots.findEntry(grant.serverId)) continue;
      candidates.push(grant);
    }
    if (candidates.length === 0) return;
    // The item with the most time until it is due loses the least by an interruption.
    candidates.sort((a, b) => b.dueMs - a.dueMs || b.grantedMs - a.grantedMs);
    this.putNeededVersionsFirst(candidates);
    for (const grant of candidates.slice(0, missingPreemptions)) {
      if (!this.health.isUsable(grant.serverId, grant.holder, nowMs)) continue;
      this.slots.grants.markPreempted(grant);
      const grantIds = this.untold.get(grant.holder) ?? [];
      grantIds.push(grant.grantId);
      this.untold.set(grant.holder, grantIds);
    }
  }

  /** Moves the batch items first that run at the software versions which queued online requests need. */
  private putNeededVersionsFirst(candidates: Grant[]): void {
    const needed = this.waitQueue.listOnlineVersions();
    if (needed.size === 0) return;
    const countNeeded = ({serverId}: Grant): number => {
      const version = this.slots.findEntry(serverId)?.server.softwareVersion;
      return version !== undefined && needed.has(version) ? 1 : 0;
    };
    candidates.sort((a, b) => countNeeded(b) - countNeeded(a));
  }

  /**
   * Takes the preemptions that a holder has not been told of yet.
   *
   * @param holder - host of the daemon
   * @returns ids of the grants that the holder has to release
   */
  take(holder: string): string[] {
    const grantIds = this.untold.get(holder) ?? [];
    this.untold.delete(holder);
    return grantIds;
  }

  /** Checks whether there are preemptions that a holder has not been told of yet. */
  has(holder: string): boolean {
    return this.untold.has(holder);
  }

  /** Drops the preemptions that a holder has not been told of yet. */
  dropHolder(holder: string): void {
    this.untold.delete(holder);
  }

  /** Drops all preemptions that holders have not been told of yet. */
  clear(): void {
    this.untold.clear();
  }
}
