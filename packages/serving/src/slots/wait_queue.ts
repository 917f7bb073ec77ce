/** Queue of the requests that wait for a slot, in the order in which slots are granted to them. */
import type {PoolRequest} from './pool_types.js';

/**
 * Compares two requests for sorting: online requests come before batch items,
 * online requests are ordered by priority and then by due time, batch items by
 * due time only.
 */
function compareUrgency(a: PoolRequest, b: PoolRequest): number {
  if (a.isBatch !== b.isBatch) return a.isBatch ? 1 : -1;
  if (a.priority !== b.priority && !a.isBatch) return a.priority - b.priority;
  return a.dueMs - b.dueMs;
}

/** Priority queue of requests without a slot. */
export class WaitQueue {
  /** Queued requests, the most urgent first. */
  private requests: PoolRequest[] = [];
  private onlineCount = 0;

  /** Counts all queued requests. */
  count(): number {
    return this.requests.length;
  }

  /** Counts the queued online requests. */
  countOnline(): number {
    return this.onlineCount;
  }

  /** Counts the queued requests that get a slot before the given one, which may be queued itself. */
  countAhead(request: PoolRequest): number {
    let ahead = 0;
    for (const other of this.requests) {
      if (other.grantId === request.grantId) continue;
      if (compareUrgency(other, request) > 0) break;
      ahead += 1;
    }
    return ahead;
  }

  /** Checks whether a request that is not queued is more urgent than all queued ones. */
  isNext(request: PoolRequest): boolean {
    const first = this.requests[0];
    return first === undefined || compareUrgency(request, first) < 0;
  }

  /** Adds a request behind all that are at least as urgent. */
  add(request: PoolRequest): void {
    let index = this.requests.length;
    while (index > 0) {
      const previous = this.requests[index - 1];
      if (previous && compareUrgency(previous, request) <= 0) break;
      index -= 1;
    }
    this.requests.splice(index, 0, request);
    if (!request.isBatch) this.onlineCount += 1;
  }

  /** Removes a request by its grant id; an id that isn't queued is ignored. */
  remove(grantId: string): void {
    this.keepOnly((request) => request.grantId !== grantId);
  }

  /**
   * Removes all requests of a daemon.
   *
   * @param holder - host of the daemon
   * @returns grant ids of the removed requests
   */
  removeHolder(holder: string): string[] {
    const removed = this.requests.filter(
      (request) => request.holder === holder,
    );
    this.keepOnly((request) => request.holder !== holder);
    return removed.map((request) => request.grantId);
  }

  /** Lists the software versions that queued online requests are bound to. */
  listOnlineVersions(): Set<string> {
    const versions = new Set<string>();
    for (const {isBatch, softwareVersion} of this.requests) {
      if (!isBatch && softwareVersion !== undefined)
        versions.add(softwareVersion);
    }
    return versions;
  }

  /** Lists the queued requests, the most urgent first. */
  list(): PoolRequest[] {
    return [...this.requests];
  }

  private keepOnly(isKept: (request: PoolRequest) => boolean): void {
    this.requests = this.requests.filter(isKept);
    this.onlineCount = this.requests.filter(
      (request) => !request.isBatch,
    ).length;
  }
}
