/** Grants tokens of the workspaces whose keys this daemon owns in its zone. */
import type {Clock} from '@savoryspur/common';
import {
  type TokenAnswer,
  type TokenRequest,
  TrafficClass,
} from '@savoryspur/schema';
import {
  countWaiters,
  type OwnedWorkspace,
  type Waiter,
  type WorkspaceBuckets,
} from './workspace_buckets.js';

/** Dependencies and settings of {@link OwnerService}. */
export interface OwnerServiceOptions {
  clock: Clock;
  buckets: WorkspaceBuckets;
  /** Time for which granted tokens are valid, milliseconds. */
  grantTermMs: number;
  /** Called when requests of a workspace have to wait for tokens. */
  onWaiting: (owned: OwnedWorkspace) => void;
}

/** Maximum number of waiting requests per workspace and traffic class. */
const MAX_WAITERS_PER_CLASS = 512;

/** Shortest sleep of the task that serves waiting requests, milliseconds. */
const MIN_QUEUE_SLEEP_MS = 1;

/** Longest sleep of the task that serves waiting requests, milliseconds. */
const MAX_QUEUE_SLEEP_MS = 50;

/** Retry delay in refusals while this daemon holds no share, milliseconds. */
const NO_SHARE_RETRY_AFTER_MS = 1000;

/** Order in which traffic classes are served. */
const CLASS_ORDER = [TrafficClass.ONLINE, TrafficClass.BATCH];

/** Queues token requests per workspace and grants tokens to them. */
export class OwnerService {
  private lastGrant = 0;

  /**
   * @param options - clock, buckets and the term of grants
   */
  constructor(private readonly options: OwnerServiceOptions) {}

  /**
   * Grants tokens; the request waits for them up to its `maxWaitMs`.
   *
   * @param requester - requesting daemon, as `host:incarnation`
   * @param request - tokens requested
   */
  grantTokens(requester: string, request: TokenRequest): Promise<TokenAnswer> {
    const startedMs = this.options.clock.now();
    const owned = this.options.buckets.findOrCreate(request.workspace);
    if (owned === undefined) {
      return Promise.resolve(createRefusal(0, false, NO_SHARE_RETRY_AFTER_MS));
    }
    this.settleGrants(owned, requester, request.settled);
    const queue = owned.waiters[getTrafficClass(request)];
    return new Promise((finish) => {
      const deadlineMs = startedMs + request.maxWaitMs;
      const finishAndRecordDemand = (answer: TokenAnswer): void => {
        const tokens = answer.granted > 0 ? answer.granted : request.count;
        owned.demand.record(tokens, this.options.clock.now());
        finish(answer);
      };
      const waiter: Waiter = {
        request,
        requester,
        startedMs,
        deadlineMs,
        finish: finishAndRecordDemand,
      };
      if (queue.length >= MAX_WAITERS_PER_CLASS) {
        waiter.finish(this.computeRefusal(owned, waiter));
        return;
      }
      queue.push(waiter);
      this.serveWaiters(owned);
      void this.serveQueue(owned);
    });
  }

  /**
   * Records that the tokens of a grant were used or dropped.
   *
   * @param requester - daemon that holds the grants, as `host:incarnation`
   * @param workspace - workspace of the grants
   * @param grant - number of the newest grant that is settled, along with all
   *     older ones
   */
  markSettled(requester: string, workspace: string, grant: number): void {
    const owned = this.options.buckets.findExisting(workspace);
    if (owned !== undefined) this.settleGrants(owned, requester, grant);
  }

  /**
   * Grants the available tokens to the waiting requests in their order, and
   * refuses requests that cannot be served before their deadline.
   *
   * @param owned - workspace whose requests wait
   */
  serveWaiters(owned: OwnedWorkspace): void {
    const leasedUntilMs = this.options.buckets.refillForGrants(owned);
    for (const trafficClass of CLASS_ORDER) {
      const queue = owned.waiters[trafficClass];
      while (queue[0] !== undefined) {
        const answer = this.tryGrant(owned, queue[0], leasedUntilMs);
        if (answer === undefined) break;
        queue.shift()?.finish(answer);
      }
      if (queue.length > 0) this.options.onWaiting(owned);
      const waiting = queue.splice(0);
      for (const waiter of waiting) {
        if (this.isDeadlineUnreachable(owned, waiter)) {
          waiter.finish(this.computeRefusal(owned, waiter));
        } else queue.push(waiter);
      }
    }
  }

  private settleGrants(
    owned: OwnedWorkspace,
    requester: string,
    settledGrant: number,
  ): void {
    const grants = owned.grants.get(requester) ?? [];
    if (grants[0] === undefined || grants[0] > settledGrant) return;
    this.options.buckets.refill(owned);
    const unsettled = grants.filter((grant) => grant > settledGrant);
    for (const grant of grants) {
      if (grant <= settledGrant) owned.bucket.releaseReservation(grant);
    }
    if (unsettled.length > 0) owned.grants.set(requester, unsettled);
    else owned.grants.delete(requester);
  }

  /** Serves the waiting requests of a workspace until none is left. */
  private async serveQueue(owned: OwnedWorkspace): Promise<void> {
    if (owned.isServing) return;
    owned.isServing = true;
    while (countWaiters(owned) > 0) {
      await this.options.clock.sleep(this.computeSleepMs(owned));
      this.options.buckets.findOrCreate(owned.name);
      this.serveWaiters(owned);
    }
    owned.isServing = false;
  }

  private computeSleepMs(owned: OwnedWorkspace): number {
    const nowMs = this.options.clock.now();
    let sleepMs = MAX_QUEUE_SLEEP_MS;
    for (const trafficClass of CLASS_ORDER) {
      const first = owned.waiters[trafficClass][0];
      if (first === undefined) continue;
      const {least} = first.request;
      const waitMs = owned.bucket.computeWaitMs(trafficClass, least);
      sleepMs = Math.min(sleepMs, waitMs, first.deadlineMs - nowMs);
    }
    return Math.max(MIN_QUEUE_SLEEP_MS, Math.ceil(sleepMs));
  }

  private tryGrant(
    owned: OwnedWorkspace,
    waiter: Waiter,
    leasedUntilMs: number,
  ): TokenAnswer | undefined {
    const {count, least} = waiter.request;
    const trafficClass = getTrafficClass(waiter.request);
    const {bucket, grants} = owned;
    const nowMs = this.options.clock.now();
    const termMs = Math.min(this.options.grantTermMs, leasedUntilMs - nowMs);
    if (termMs <= 0) return undefined;
    const waiterCount = countWaiters(owned);
    const portion = bucket.computeFairPortion(
      trafficClass,
      count,
      least,
      waiterCount,
    );
    const granted = bucket.takeTokens(trafficClass, portion, least);
    if (granted === 0) return undefined;
    const grant = ++this.lastGrant;
    owned.usage.record(granted, nowMs);
    bucket.addReservation(grant, granted, nowMs + termMs);
    grants.set(waiter.requester, [
      ...(grants.get(waiter.requester) ?? []),
      grant,
    ]);
    const waitedMs = nowMs - waiter.startedMs;
    return {granted, grant, waitedMs, termMs, hasShare: true, retryAfterMs: 0};
  }

  /**
   * Tells whether a request cannot be served before its deadline. While loans
   * are being requested, a request is not given up before its deadline passes.
   */
  private isDeadlineUnreachable(
    owned: OwnedWorkspace,
    waiter: Waiter,
  ): boolean {
    const nowMs = this.options.clock.now();
    if (waiter.deadlineMs <= nowMs) return true;
    if (owned.isRequestingLoans) return false;
    const {least} = waiter.request;
    const trafficClass = getTrafficClass(waiter.request);
    const waitMs = owned.bucket.computeWaitMs(trafficClass, least);
    return nowMs + waitMs > waiter.deadlineMs;
  }

  private computeRefusal(owned: OwnedWorkspace, waiter: Waiter): TokenAnswer {
    const {bucket, waiters} = owned;
    const trafficClass = getTrafficClass(waiter.request);
    let queuedTokens = 0;
    for (const other of waiters[trafficClass])
      queuedTokens += other.request.least;
    const waitMs = bucket.computeWaitMs(trafficClass, waiter.request.least);
    const queuedMs = queuedTokens * bucket.computeTokenIntervalMs(trafficClass);
    const retryAfterMs = Math.ceil(waitMs + (queuedTokens > 0 ? queuedMs : 0));
    return createRefusal(
      this.options.clock.now() - waiter.startedMs,
      bucket.getDelegatedShare() > 0,
      Number.isFinite(retryAfterMs) ? retryAfterMs : NO_SHARE_RETRY_AFTER_MS,
    );
  }
}

function getTrafficClass(request: TokenRequest): TrafficClass {
  return request.batch ? TrafficClass.BATCH : TrafficClass.ONLINE;
}

function createRefusal(
  waitedMs: number,
  hasShare: boolean,
  retryAfterMs: number,
): TokenAnswer {
  return {granted: 0, grant: 0, waitedMs, termMs: 0, hasShare, retryAfterMs};
}
