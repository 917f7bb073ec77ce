/** Grants tokens of the workspaces that this daemon owns in its zone. */
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

/** What the service needs. */
export interface OwnerServiceOptions {
  clock: Clock;
  book: WorkspaceBuckets;
  /** Time for which granted tokens are valid, milliseconds. */
  grantTermMs: number;
  /** Called when requests wait for tokens. */
  onDry: (owned: OwnedWorkspace) => void;
}

/** Requests of one class that may wait at once for one workspace. */
const MAX_WAITERS = 512;

/** Shortest sleep of the task that serves waiters, milliseconds. */
const MIN_SLEEP_MS = 1;

/** Longest sleep of the task that serves waiters, milliseconds. */
const MAX_SLEEP_MS = 50;

/** When a new try is worth it while no share is held, milliseconds. */
const NO_SHARE_RETRY_MS = 1000;

/** Order in which traffic classes are served. */
const CLASS_ORDER = [TrafficClass.ONLINE, TrafficClass.BATCH];

/** Owner of workspaces. */
export class OwnerService {
  private lastGrant = 0;

  /**
   * @param options - clock, buckets and terms
   */
  constructor(private readonly options: OwnerServiceOptions) {}

  /**
   * Grants tokens, waiting a bounded time for them.
   *
   * @param asker - host and incarnation of the asking daemon
   * @param request - what it asks for
   */
  grantTokens(asker: string, request: TokenRequest): Promise<TokenAnswer> {
    const startedMs = this.options.clock.now();
    const owned = this.options.book.find(request.workspace);
    if (owned === undefined) {
      return Promise.resolve(createRefusal(0, false, NO_SHARE_RETRY_MS));
    }
    this.releaseGrants(owned, asker, request.settled);
    const queue = owned.waiters[getTrafficClass(request)];
    return new Promise((finish) => {
      const deadlineMs = startedMs + request.maxWaitMs;
      const finishCounted = (answer: TokenAnswer): void => {
        const tokens = answer.granted > 0 ? answer.granted : request.count;
        owned.demand.record(tokens, this.options.clock.now());
        finish(answer);
      };
      const waiter: Waiter = {
        request,
        asker,
        startedMs,
        deadlineMs,
        finish: finishCounted,
      };
      if (queue.length >= MAX_WAITERS) {
        waiter.finish(this.refuse(owned, waiter));
        return;
      }
      queue.push(waiter);
      this.serveWaiters(owned);
      void this.runQueue(owned);
    });
  }

  /**
   * Notes that the tokens of a grant were used.
   *
   * @param asker - host and incarnation that holds the grants
   * @param workspace - workspace of the grants
   * @param grant - number of the newest grant without tokens left
   */
  markSettled(asker: string, workspace: string, grant: number): void {
    const owned = this.options.book.findOpen(workspace);
    if (owned !== undefined) this.releaseGrants(owned, asker, grant);
  }

  /**
   * Grants what is there, in turn, and refuses requests that cannot be served
   * in their time.
   *
   * @param owned - workspace
   */
  serveWaiters(owned: OwnedWorkspace): void {
    const backedUntilMs = this.options.book.refillAll(owned);
    for (const trafficClass of CLASS_ORDER) {
      const queue = owned.waiters[trafficClass];
      while (queue[0] !== undefined) {
        const answer = this.tryGrant(owned, queue[0], backedUntilMs);
        if (answer === undefined) break;
        queue.shift()?.finish(answer);
      }
      if (queue.length > 0) this.options.onDry(owned);
      const waiting = queue.splice(0);
      for (const waiter of waiting) {
        if (this.isHopeless(owned, waiter)) {
          waiter.finish(this.refuse(owned, waiter));
        } else queue.push(waiter);
      }
    }
  }

  private releaseGrants(
    owned: OwnedWorkspace,
    asker: string,
    settled: number,
  ): void {
    const grants = owned.grants.get(asker) ?? [];
    if (grants[0] === undefined || grants[0] > settled) return;
    this.options.book.refill(owned);
    const open = grants.filter((grant) => grant > settled);
    for (const grant of grants) {
      if (grant <= settled) owned.bucket.releaseReservation(grant);
    }
    if (open.length > 0) owned.grants.set(asker, open);
    else owned.grants.delete(asker);
  }

  /** Serves waiting requests until none is left. */
  private async runQueue(owned: OwnedWorkspace): Promise<void> {
    if (owned.isServing) return;
    owned.isServing = true;
    while (countWaiters(owned) > 0) {
      await this.options.clock.sleep(this.computeSleep(owned));
      this.options.book.find(owned.name);
      this.serveWaiters(owned);
    }
    owned.isServing = false;
  }

  private computeSleep(owned: OwnedWorkspace): number {
    const nowMs = this.options.clock.now();
    let sleepMs = MAX_SLEEP_MS;
    for (const trafficClass of CLASS_ORDER) {
      const first = owned.waiters[trafficClass][0];
      if (first === undefined) continue;
      const {least} = first.request;
      const waitMs = owned.bucket.computeWait(trafficClass, least);
      sleepMs = Math.min(sleepMs, waitMs, first.deadlineMs - nowMs);
    }
    return Math.max(MIN_SLEEP_MS, Math.ceil(sleepMs));
  }

  private tryGrant(
    owned: OwnedWorkspace,
    waiter: Waiter,
    backedUntilMs: number,
  ): TokenAnswer | undefined {
    const {count, least} = waiter.request;
    const trafficClass = getTrafficClass(waiter.request);
    const {bucket, grants} = owned;
    const nowMs = this.options.clock.now();
    const termMs = Math.min(this.options.grantTermMs, backedUntilMs - nowMs);
    if (termMs <= 0) return undefined;
    const askers = countWaiters(owned);
    const turn = bucket.computeTurn(trafficClass, count, least, askers);
    const granted = bucket.takeTokens(trafficClass, turn, least);
    if (granted === 0) return undefined;
    const grant = ++this.lastGrant;
    owned.usage.record(granted, nowMs);
    bucket.addReservation(grant, granted, nowMs + termMs);
    grants.set(waiter.asker, [...(grants.get(waiter.asker) ?? []), grant]);
    const waitedMs = nowMs - waiter.startedMs;
    return {granted, grant, waitedMs, termMs, hasShare: true, retryAfterMs: 0};
  }

  /** A request that cannot be served in its time is refused at once. */
  private isHopeless(owned: OwnedWorkspace, waiter: Waiter): boolean {
    const nowMs = this.options.clock.now();
    if (waiter.deadlineMs <= nowMs) return true;
    if (owned.isAskingLoans) return false;
    const {least} = waiter.request;
    const trafficClass = getTrafficClass(waiter.request);
    const waitMs = owned.bucket.computeWait(trafficClass, least);
    return nowMs + waitMs > waiter.deadlineMs;
  }

  private refuse(owned: OwnedWorkspace, waiter: Waiter): TokenAnswer {
    const {bucket, waiters} = owned;
    const trafficClass = getTrafficClass(waiter.request);
    let queued = 0;
    for (const other of waiters[trafficClass]) queued += other.request.least;
    const waitMs = bucket.computeWait(trafficClass, waiter.request.least);
    const queuedMs = queued * bucket.computeRefillMs(trafficClass);
    const retryAfterMs = Math.ceil(waitMs + (queued > 0 ? queuedMs : 0));
    return createRefusal(
      this.options.clock.now() - waiter.startedMs,
      bucket.getBaseShare() > 0,
      Number.isFinite(retryAfterMs) ? retryAfterMs : NO_SHARE_RETRY_MS,
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
