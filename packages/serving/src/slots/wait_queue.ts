/** Work that waits for a place, in the order in which it is served. */
import type {PoolRequest} from './slot_pool.js';

/**
 * Compares two requests: online before batch, then the more urgent rank, then
 * the earlier due time.
 */
function compareUrgency(a: PoolRequest, b: PoolRequest): number {
  if (a.isBatch !== b.isBatch) return a.isBatch ? 1 : -1;
  if (a.priority !== b.priority && !a.isBatch) return a.priority - b.priority;
  return a.dueMs - b.dueMs;
}

/** Queue of work without a place. */
export class WaitQueue {
  private requests: PoolRequest[] = [];
  private online = 0;

  /** Counts all work that waits. */
  count(): number {
    return this.requests.length;
  }

  /** Counts the online requests that wait. */
  countOnline(): number {
    return this.online;
  }

  /** Counts the work that is served before a request. */
  countAhead(request: PoolRequest): number {
    let ahead = 0;
    for (const other of this.requests) {
      if (other.grantId === request.grantId) continue;
      if (compareUrgency(other, request) > 0) break;
      ahead += 1;
    }
    return ahead;
  }

  /** Whether no work that waits goes before a request. */
  isNext(request: PoolRequest): boolean {
    const first = this.requests[0];
    return first === undefined || compareUrgency(request, first) < 0;
  }

  /** Adds a request at its place. */
  add(request: PoolRequest): void {
    let index = this.requests.length;
    while (index > 0) {
      const before = this.requests[index - 1];
      if (before && compareUrgency(before, request) <= 0) break;
      index -= 1;
    }
    this.requests.splice(index, 0, request);
    if (!request.isBatch) this.online += 1;
  }

  /** Removes a request. */
  remove(grantId: string): void {
    this.keep((request) => request.grantId !== grantId);
  }

  /**
   * Removes all requests of a daemon.
   *
   * @returns their ids
   */
  removeHolder(holder: string): string[] {
    const removed = this.requests.filter(
      (request) => request.holder === holder,
    );
    this.keep((request) => request.holder !== holder);
    return removed.map((request) => request.grantId);
  }

  /** Lists the work in the order in which it is served. */
  list(): PoolRequest[] {
    return [...this.requests];
  }

  private keep(isKept: (request: PoolRequest) => boolean): void {
    this.requests = this.requests.filter(isKept);
    this.online = this.requests.filter((request) => !request.isBatch).length;
  }
}
