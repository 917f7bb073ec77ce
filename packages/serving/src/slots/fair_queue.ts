/**
 * Queue of the online requests of one priority: start-time fair queueing over
 * flows (workspaces). The service of a flow in virtual time grows with each of its
 * granted requests by the cost of the request: expected work over the weight of the
 * flow. A flow is within its share while its service exceeds the virtual time by no
 * more than a burst. The requests of all flows within their share are ordered by
 * latest start, since usual variations of their rates are no reason to delay them; after
 * them the flow with the least service is next. The virtual time is the largest service,
 * less the burst, at the start of a granted request. It starts again when no request
 * waits.
 */
import type {PoolRequest} from './pool_types.js';

/** Grants after which the virtual starts of idle flows that no longer matter are dropped. */
const CLEANUP_PERIOD_GRANTS = 256;

/** Smoothing factor of the fraction of grants to flows within their share. */
const OVERTAKING_SMOOTHING_FACTOR = 0.02;

/** Largest fraction of the grants by which a flow beyond its share is expected to be overtaken. */
const MAX_OVERTAKING_FRACTION = 0.95;

/** A request with the time until which a slot is of use to its caller. */
export interface QueueEntry {
  request: PoolRequest;
  /** Monotonic milliseconds. */
  latestStartMs: number;
}

/** Cost of a request in virtual time. */
export type GetCost = (request: PoolRequest) => number;

/** Next request of a flow during an iteration. */
interface FlowHead {
  entries: readonly QueueEntry[];
  index: number;
  served: number;
  start: number;
}

/** Fair queue of requests. */
export class FairQueue {
  /** Queued requests by flow, in the order of their latest starts. Arrays are replaced, never changed, for the iterations in progress. */
  private readonly flows = new Map<string, readonly QueueEntry[]>();
  /** Service of each flow in virtual time; that of a flow that isn't listed is the virtual time. */
  private readonly served = new Map<string, number>();
  private virtualTime = 0;
  private size = 0;
  /** Fraction of the latest grants that went to flows within their share. */
  private withinShareFraction = 0;
  private grantsUntilCleanup = CLEANUP_PERIOD_GRANTS;

  /**
   * @param getCost - gets the cost of a request
   * @param getBurst - gets the service, in virtual time, by which a flow may be
   *     ahead of the virtual time without being put back
   */
  constructor(
    private readonly getCost: GetCost,
    private readonly getBurst: () => number,
  ) {}

  /** Counts the queued requests. */
  count(): number {
    return this.size;
  }

  /** Counts the queued requests of a flow. */
  countOf(flow: string): number {
    return this.flows.get(flow)?.length ?? 0;
  }

  /** Lists the number of queued requests of each flow. */
  listCounts(): Array<[flow: string, count: number]> {
    return [...this.flows].map(([flow, {length}]) => [flow, length]);
  }

  /** Adds a request behind those of its flow that must start at the same time or earlier. */
  add(flow: string, entry: QueueEntry): void {
    const queued = this.flows.get(flow) ?? [];
    let index = queued.length;
    while (index > 0 && isAfter(queued[index - 1], entry)) index -= 1;
    this.flows.set(flow, queued.toSpliced(index, 0, entry));
    this.size += 1;
  }

  /** Removes the requests that a condition chooses from a flow. */
  removeFrom(flow: string, isRemoved: (request: PoolRequest) => boolean): void {
    const queued = this.flows.get(flow) ?? [];
    const kept = queued.filter(({request}) => !isRemoved(request));
    this.size -= queued.length - kept.length;
    if (kept.length > 0) this.flows.set(flow, kept);
    else this.flows.delete(flow);
  }

  /** Counts the queued requests that are granted before one of a flow, which may be queued itself. */
  countAhead(flow: string, entry: QueueEntry): number {
    let ahead = 0;
    const burst = this.getBurst();
    let served = this.getServed(flow);
    for (const other of this.flows.get(flow) ?? []) {
      if (other.request.grantId === entry.request.grantId) continue;
      if (isAfter(other, entry)) break;
      ahead += 1;
      served += this.getCost(other.request);
    }
    const start = Math.max(this.virtualTime, served - burst);
    for (const [otherFlow, queued] of this.flows) {
      if (otherFlow === flow) continue;
      let otherServed = this.getServed(otherFlow);
      for (const other of queued) {
        const otherStart = Math.max(this.virtualTime, otherServed - burst);
        if (otherStart > start) break;
        if (otherStart === start && isAfter(other, entry)) break;
        ahead += 1;
        otherServed += this.getCost(other.request);
      }
    }
    return ahead;
  }

  /**
   * Gets the factor by which a request waits longer than those ahead of it take:
   * requests of flows within their share that arrive later overtake a request of a
   * flow that is beyond its share.
   */
  getWaitFactor(flow: string, entry: QueueEntry): number {
    const queued = this.flows.get(flow);
    let served = this.getServed(flow);
    for (const other of queued ?? []) {
      if (other.request.grantId === entry.request.grantId) break;
      if (isAfter(other, entry)) break;
      served += this.getCost(other.request);
    }
    return this.computeWaitFactor(served - this.getBurst());
  }

  private computeWaitFactor(start: number): number {
    if (start <= this.virtualTime) return 1;
    return (
      1 / (1 - Math.min(MAX_OVERTAKING_FRACTION, this.withinShareFraction))
    );
  }

  /** Records that a request of a flow has got a slot. */
  recordGranted(flow: string, request: PoolRequest): void {
    // Without others that wait, no flow takes anything from another one.
    if (this.size === 0) {
      this.served.clear();
      this.virtualTime = 0;
      return;
    }
    const served = this.getServed(flow);
    const start = served - this.getBurst();
    const isWithinShare = start <= this.virtualTime ? 1 : 0;
    this.withinShareFraction +=
      OVERTAKING_SMOOTHING_FACTOR * (isWithinShare - this.withinShareFraction);
    this.virtualTime = Math.max(this.virtualTime, start);
    this.served.set(flow, served + this.getCost(request));
    this.grantsUntilCleanup -= 1;
    if (this.grantsUntilCleanup > 0) return;
    this.grantsUntilCleanup = CLEANUP_PERIOD_GRANTS;
    for (const [other, otherServed] of this.served) {
      if (otherServed <= this.virtualTime) this.served.delete(other);
    }
  }

  /** Lists the queued requests in the order in which slots are granted to them. Requests may be removed meanwhile. */
  *list(): Generator<PoolRequest> {
    const heads: FlowHead[] = [];
    const burst = this.getBurst();
    for (const [flow, entries] of this.flows) {
      const served = this.getServed(flow);
      const start = Math.max(this.virtualTime, served - burst);
      heads.push({entries, index: 0, served, start});
    }
    for (;;) {
      let [best] = heads;
      for (const head of heads) {
        if (!best || compareHeads(head, best) < 0) best = head;
      }
      const request = best?.entries[best.index]?.request;
      if (!best || !request) return;
      best.index += 1;
      best.served += this.getCost(request);
      best.start = Math.max(this.virtualTime, best.served - burst);
      if (best.index === best.entries.length)
        heads.splice(heads.indexOf(best), 1);
      yield request;
    }
  }

  private getServed(flow: string): number {
    return Math.max(this.virtualTime, this.served.get(flow) ?? 0);
  }
}

function compareHeads(a: FlowHead, b: FlowHead): number {
  if (a.start !== b.start) return a.start - b.start;
  return getHeadStartMs(a) - getHeadStartMs(b);
}

function getHeadStartMs({entries, index}: FlowHead): number {
  return entries[index]?.latestStartMs ?? 0;
}

/** Whether an entry must start later than another one. */
function isAfter(entry: QueueEntry | undefined, other: QueueEntry): boolean {
  return (entry?.latestStartMs ?? 0) > other.latestStartMs;
}
