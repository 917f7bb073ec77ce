/** Decides which wishes for a place may wait at the owner of a pool. */
import {
  type AcquireSlotInput,
  SlotTrafficClass,
  RefusalReason,
} from '@savoryspur/schema';
import type {OwnerContext} from './owner_context.js';
import type {PoolServers} from './pool_servers.js';
import {WaitEstimate} from './wait_estimate.js';
import type {WaitQueue} from './wait_queue.js';

/** Decides which wishes may wait. */
export class Admission {
  private readonly estimate = new WaitEstimate();

  /**
   * @param context - what the owner works with
   * @param servers - the servers and their grants
   * @param waiting - wishes that wait
   */
  constructor(
    private readonly context: OwnerContext,
    private readonly servers: PoolServers,
    private readonly waiting: WaitQueue,
  ) {}

  /** Records for how long a place was held. */
  recordHold(holdMs: number): void {
    this.estimate.record(holdMs);
  }

  /**
   * Finds why a wish is refused before it is looked at further.
   *
   * @param input - the wish
   * @param slots - slots delegated to the owner
   */
  findRefusal(
    input: AcquireSlotInput,
    slots: number,
  ): RefusalReason | undefined {
    const {quarantine} = this.context.crashes;
    if (quarantine.has(input.fingerprint)) return RefusalReason.QUARANTINED;
    if (!this.servers.getPool()) return RefusalReason.UNKNOWN_POOL;
    if (!this.servers.isIn()) return RefusalReason.ZONE_OUT;
    if (slots === 0) return RefusalReason.NOT_OWNER;
    return this.isQueueFull(input) ? RefusalReason.OVERLOADED : undefined;
  }

  /**
   * Finds why a wish that got no place at once should not wait.
   *
   * @param input - the wish, which waits already
   * @param underWay - places that are being taken back for online requests
   */
  findLateRefusal(
    input: AcquireSlotInput,
    underWay: number,
  ): RefusalReason | undefined {
    const {trafficClass, waitMs, workspace} = input;
    const queue = this.waiting.getQueue(trafficClass);
    const isOnline = trafficClass === SlotTrafficClass.ONLINE;
    const isComing = isOnline && underWay >= queue.count();
    if (waitMs === 0) return isComing ? undefined : RefusalReason.FULL;
    if (!isOnline || isComing) return undefined;
    const ahead = queue.countAhead(workspace) - 1;
    const expectedMs = this.estimate.compute(ahead, this.countPlaces());
    return expectedMs > waitMs ? RefusalReason.OVERLOADED : undefined;
  }

  private isQueueFull(input: AcquireSlotInput): boolean {
    const {maxQueued, maxQueuedPerWorkspace} = this.context.settings;
    const queue = this.waiting.getQueue(input.trafficClass);
    if (queue.count() >= maxQueued) return true;
    return queue.countOf(input.workspace) >= maxQueuedPerWorkspace;
  }

  private countPlaces(): number {
    let sum = 0;
    for (const server of this.servers.list()) {
      if (server.isOpen()) sum += server.getCapacity();
    }
    return sum;
  }
}
