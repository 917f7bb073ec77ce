/**
 * Admission control of a pool owner: decides which acquire requests may wait
 * for a slot.
 */
import {
  type AcquireSlotInput,
  SlotTrafficClass,
  RefusalReason,
} from '@savoryspur/schema';
import {getCrashFingerprint} from './crash_fingerprint.js';
import type {OwnerContext} from './owner_context.js';
import type {PoolServers} from './pool_servers.js';
import {WaitEstimate} from './wait_estimate.js';
import type {WaitQueue} from './wait_queue.js';

/** Admission control of one pool. */
export class Admission {
  private readonly waitEstimate = new WaitEstimate();

  /**
   * @param context - dependencies of the pool owner
   * @param servers - the servers and their grants
   * @param waitQueue - requests that wait for a slot
   */
  constructor(
    private readonly context: OwnerContext,
    private readonly servers: PoolServers,
    private readonly waitQueue: WaitQueue,
  ) {}

  /** Records for how long a slot was in use, milliseconds. */
  recordSlotUse(slotUseMs: number): void {
    this.waitEstimate.recordSlotUse(slotUseMs);
  }

  /**
   * Finds the reason to refuse a request before it is queued.
   *
   * @param input - the acquire request
   * @param quotaSlots - quota slots delegated to the owner
   * @returns undefined if the request may be queued
   */
  findRefusal(
    input: AcquireSlotInput,
    quotaSlots: number,
  ): RefusalReason | undefined {
    const {quarantine} = this.context.coordinator;
    if (quarantine.has(getCrashFingerprint(input)))
      return RefusalReason.QUARANTINED;
    if (!this.servers.getPool()) return RefusalReason.UNKNOWN_POOL;
    if (!this.servers.isZoneInService()) return RefusalReason.ZONE_OUT;
    if (quotaSlots === 0) return RefusalReason.NOT_OWNER;
    return this.isQueueFull(input) ? RefusalReason.OVERLOADED : undefined;
  }

  /**
   * Finds the reason to refuse a request that got no slot at once: the request
   * does not wait, or its expected wait is too long, so that the caller can
   * retry elsewhere early.
   *
   * @param input - the acquire request, which is already queued
   * @param pendingRevocations - batch slots that are being preempted for online
   *     requests
   * @returns undefined if the request may stay queued
   */
  findWaitRefusal(
    input: AcquireSlotInput,
    pendingRevocations: number,
  ): RefusalReason | undefined {
    const {trafficClass, waitMs, workspace} = input;
    const queue = this.waitQueue.getQueue(trafficClass);
    const isOnline = trafficClass === SlotTrafficClass.ONLINE;
    const isPreempting = isOnline && pendingRevocations >= queue.count();
    if (waitMs === 0) return isPreempting ? undefined : RefusalReason.FULL;
    if (!isOnline || isPreempting) return undefined;
    const requestsAhead = queue.countAhead(workspace) - 1;
    const expectedMs = this.waitEstimate.computeWaitMs(
      requestsAhead,
      this.countOpenCapacity(),
    );
    return expectedMs > waitMs ? RefusalReason.OVERLOADED : undefined;
  }

  /**
   * Estimates after which time there is room for a request that is refused now.
   *
   * @param input - the acquire request
   * @param isQueued - whether it is still queued
   * @returns milliseconds; undefined while no use of a slot has been recorded
   */
  estimateRetryAfterMs(
    {trafficClass, waitMs, workspace}: AcquireSlotInput,
    isQueued: boolean,
  ): number | undefined {
    const queue = this.waitQueue.getQueue(trafficClass);
    const ahead = queue.countAhead(workspace) - (isQueued ? 1 : 0);
    const expectedMs = this.waitEstimate.computeWaitMs(
      ahead + 1,
      this.countOpenCapacity(),
    );
    return expectedMs > 0 ? Math.max(0, expectedMs - waitMs) : undefined;
  }

  private isQueueFull(input: AcquireSlotInput): boolean {
    const {maxQueuedRequests, maxQueuedRequestsPerWorkspace} =
      this.context.settings;
    const queue = this.waitQueue.getQueue(input.trafficClass);
    if (queue.count() >= maxQueuedRequests) return true;
    return queue.countOf(input.workspace) >= maxQueuedRequestsPerWorkspace;
  }

  /** Sums the capacity of the servers that get new work. */
  private countOpenCapacity(): number {
    let capacity = 0;
    for (const server of this.servers.list()) {
      if (server.isOpen()) capacity += server.getCapacity();
    }
    return capacity;
  }
}
