/**
 * Queue of the requests that wait for a slot, in the order in which slots are
 * granted to them: online requests before batch items. Online requests are ordered
 * by priority, within a priority fairly over the workspaces, and those of one
 * workspace by the latest start that serves them in the time that their callers have.
 * Batch items are ordered by due time only.
 */
import type {CallEstimates} from './call_estimates.js';
import {FairQueue, type QueueEntry} from './fair_queue.js';
import {computeLatestStartMs} from './latest_start.js';
import type {PoolRequest} from './pool_types.js';
import type {WorkspaceShares} from './workspace_shares.js';

/** Flow of all requests while they aren't queued by workspace. */
const COMMON_FLOW = '';

/** Time for which a workspace may send at its weight beyond its fair share before it is put back, seconds. */
const BURST_S = 1;

/** Priority queue of requests without a slot. */
export class WaitQueue {
  /** Queued batch items, the first due first. */
  private items: PoolRequest[] = [];
  /** Queues of online requests, the most urgent priority first. */
  private queues: Array<{priority: number; queue: FairQueue}> = [];
  /** Flows and entries of the queued online requests, by grant id. */
  private readonly queuedOnline = new Map<
    string,
    {flow: string; entry: QueueEntry}
  >();
  private onlineCount = 0;
  private nowMs = 0;

  /**
   * @param shares - weights of the workspaces
   * @param estimates - expected hold times
   */
  constructor(
    private readonly shares: WorkspaceShares,
    private readonly estimates: Pick<
      CallEstimates,
      'getEndMs' | 'getFirstEventMs' | 'getHoldMs' | 'getMeanHoldMs'
    >,
  ) {}

  /** Counts all queued requests. */
  count(): number {
    return this.onlineCount + this.items.length;
  }

  /** Counts the queued online requests. */
  countOnline(): number {
    return this.onlineCount;
  }

  /** Finds the workspace with the most queued online requests; undefined while none waits, or requests aren't queued by workspace. */
  findLargestWorkspace(): {workspace: string; waiting: number} | undefined {
    if (!this.shares.isEnabled()) return undefined;
    const counts = new Map<string, number>();
    let largest: {workspace: string; waiting: number} | undefined;
    for (const [workspace, count] of this.queues.flatMap(({queue}) =>
      queue.listCounts(),
    )) {
      const waiting = (counts.get(workspace) ?? 0) + count;
      counts.set(workspace, waiting);
      if (waiting > (largest?.waiting ?? 0)) largest = {workspace, waiting};
    }
    return largest;
  }

  /** Counts the queued requests that get a slot before the given one, which may be queued itself. */
  countAhead(request: PoolRequest): number {
    if (request.isBatch) return this.countAheadOfItem(request);
    let ahead = 0;
    const entry = this.findOrCreateEntry(request);
    for (const {priority, queue} of this.queues) {
      if (priority > request.priority) break;
      ahead +=
        priority < request.priority
          ? queue.count()
          : queue.countAhead(this.getFlow(request), entry);
    }
    return ahead;
  }

  /** Gets the factor by which an online request waits longer than those ahead of it take. */
  getWaitFactor(request: PoolRequest): number {
    if (!this.shares.isEnabled()) return 1;
    const queue = this.findQueue(request.priority);
    if (!queue) return 1;
    const entry = this.findOrCreateEntry(request);
    return queue.getWaitFactor(this.getFlow(request), entry);
  }

  private findOrCreateEntry(request: PoolRequest): QueueEntry {
    return (
      this.queuedOnline.get(request.grantId)?.entry ?? this.createEntry(request)
    );
  }

  private createEntry(request: PoolRequest): QueueEntry {
    const latestStartMs = computeLatestStartMs(request, this.estimates);
    return {request, latestStartMs};
  }

  private countAheadOfItem(request: PoolRequest): number {
    const ahead = this.items.filter(
      ({grantId, dueMs}) =>
        grantId !== request.grantId && dueMs <= request.dueMs,
    );
    return this.onlineCount + ahead.length;
  }

  /** Checks whether a request that is not queued is more urgent than all queued ones. */
  isNext(request: PoolRequest): boolean {
    if (!request.isBatch) {
      return this.onlineCount === 0 || this.countAhead(request) === 0;
    }
    const first = this.items[0];
    return this.onlineCount === 0 && (!first || request.dueMs < first.dueMs);
  }

  /** Adds a request behind all that are at least as urgent. */
  add(request: PoolRequest): void {
    if (request.isBatch) {
      let index = this.items.length;
      while (index > 0 && (this.items[index - 1]?.dueMs ?? 0) > request.dueMs) {
        index -= 1;
      }
      this.items.splice(index, 0, request);
      return;
    }
    const flow = this.getFlow(request);
    const entry = this.createEntry(request);
    this.getQueue(request.priority).add(flow, entry);
    this.queuedOnline.set(request.grantId, {flow, entry});
    this.onlineCount += 1;
  }

  /** Removes a request by its grant id; an id that isn't queued is ignored. */
  remove(grantId: string): void {
    const queued = this.queuedOnline.get(grantId);
    if (!queued) {
      this.items = this.items.filter((item) => item.grantId !== grantId);
      return;
    }
    const {flow} = queued;
    this.queuedOnline.delete(grantId);
    this.onlineCount -= 1;
    for (const {queue} of this.queues) {
      queue.removeFrom(flow, (request) => request.grantId === grantId);
    }
  }

  /**
   * Removes all requests of a daemon.
   *
   * @param holder - host of the daemon
   * @returns grant ids of the removed requests
   */
  removeHolder(holder: string): string[] {
    const removed = this.list()
      .filter((request) => request.holder === holder)
      .map((request) => request.grantId);
    for (const grantId of removed) this.remove(grantId);
    return removed;
  }

  /**
   * Records that an online request, queued or not, has got a slot.
   *
   * @param request - the request
   * @param nowMs - current time, monotonic milliseconds
   */
  recordGranted(request: PoolRequest, nowMs: number): void {
    if (request.isBatch || !this.shares.isEnabled()) return;
    this.nowMs = nowMs;
    const flow = this.getFlow(request);
    this.getQueue(request.priority).recordGranted(flow, request);
  }

  /** Sorts the queued online requests again, after it has changed whether they are queued by workspace. */
  replaceFlows(): void {
    const requests = this.listOnline();
    this.queues = [];
    this.queuedOnline.clear();
    this.onlineCount = 0;
    for (const request of [...requests]) this.add(request);
  }

  /** Lists the software versions that queued online requests are bound to. */
  listOnlineVersions(): Set<string> {
    const versions = new Set<string>();
    if (this.onlineCount === 0) return versions;
    for (const {softwareVersion} of this.listOnline()) {
      if (softwareVersion !== undefined) versions.add(softwareVersion);
    }
    return versions;
  }

  /** Lists the queued requests, the most urgent first. */
  list(): PoolRequest[] {
    return [...this.listLazily()];
  }

  /** Lists the queued requests one by one, the most urgent first. Requests may be removed meanwhile. */
  *listLazily(): Generator<PoolRequest> {
    yield* this.listOnline();
    yield* [...this.items];
  }

  /** Lists the queued online requests one by one, the most urgent first. Requests may be removed meanwhile. */
  *listOnline(): Generator<PoolRequest> {
    for (const {queue} of this.queues) yield* queue.list();
  }

  private getFlow({workspace}: PoolRequest): string {
    return this.shares.isEnabled() ? workspace : COMMON_FLOW;
  }

  private findQueue(priority: number): FairQueue | undefined {
    return this.queues.find((entry) => entry.priority === priority)?.queue;
  }

  private getQueue(priority: number): FairQueue {
    const found = this.findQueue(priority);
    if (found) return found;
    const queue = new FairQueue(
      (request) => this.getCost(request),
      () => this.estimates.getMeanHoldMs() * BURST_S,
    );
    this.queues.push({priority, queue});
    this.queues.sort((a, b) => a.priority - b.priority);
    return queue;
  }

  /** Gets the expected work of a request over the weight of its workspace. */
  private getCost({route, workspace}: PoolRequest): number {
    if (!this.shares.isEnabled()) return 0;
    const weight = this.shares.getWeight(workspace, this.nowMs);
    return this.estimates.getHoldMs(route) / weight;
  }
}
