/**
 * Decides whether an online request may wait for a slot: it is refused at once when
 * it is not expected to be served in the time that its caller has.
 */
import {CallEstimates} from './call_estimates.js';
import type {GrantTable} from './grant_table.js';
import {computeLatestStartMs} from './latest_start.js';
import {
  type FinalDecision,
  type PoolRequest,
  RefusalReason,
} from './pool_types.js';
import {ReturnTimes} from './return_times.js';
import {StartForecast} from './start_forecast.js';
import {WaitErrors} from './wait_errors.js';

/** Expected time from the preemption of a batch item until its slot is free, milliseconds: two messages between zones, and the abort on the server. */
const EXPECTED_PREEMPTION_MS = 15;

/** Age of a forecast after which it is made anew, milliseconds. */
const MAX_FORECAST_AGE_MS = 20;

/** Grants that have ended, and requests that have left the queue, after which a forecast is made anew, as a fraction of the grants. */
const MAX_FORECAST_CHANGES = 0.04;

/** Shortest Retry-After of a refusal, milliseconds. */
const MIN_RETRY_AFTER_MS = 50;

/** Fraction of the capacity that refused callers may use when they return; the other half is left to those that come meanwhile. */
const RETURN_CAPACITY_FRACTION = 0.5;

/** Time after which a server is expected while there is none, milliseconds: one that crashed may be back by then. */
const NO_SERVER_MS = 1000;

/** Position of a request in the wait queue. */
export interface QueuePosition {
  /** Queued requests that get a slot before it. */
  ahead: number;
  /** Factor by which it waits longer than those ahead of it take. */
  waitFactor: number;
}

/** Admission of the requests of one pool. */
export class Admission {
  /** Expected times of calls. */
  readonly estimates = new CallEstimates();
  private readonly waitErrors = new WaitErrors();
  private readonly returnTimes = new ReturnTimes();
  private forecast = new StartForecast([]);
  /** Forecast starts by the position in the queue, monotonic milliseconds; undefined without grants. */
  private startsMs: Array<number | undefined> = [];
  /** When the forecast was made, monotonic milliseconds. */
  private forecastMs = Number.NEGATIVE_INFINITY;
  /** Grants that have ended and requests that have left the queue since the forecast was made. */
  private changes = 0;

  /**
   * @param grants - grants of the pool
   * @param listQueued - lists the queued online requests in their order
   * @param getFirstResumeMs - gets when the first suspension of a server ends,
   *     monotonic milliseconds
   */
  constructor(
    private readonly grants: Omit<GrantTable, 'add' | 'remove'>,
    private readonly listQueued: () => Iterable<PoolRequest>,
    private readonly getFirstResumeMs: (nowMs: number) => number,
  ) {}

  /**
   * Checks an online request before it is queued.
   *
   * @param request - the request
   * @param position - its position in the queue
   * @param totalSlots - slots of all servers that accept new work
   * @param nowMs - current time, monotonic milliseconds
   * @returns the refusal; undefined when the request may wait
   */
  admit(
    request: PoolRequest,
    position: QueuePosition,
    totalSlots: number,
    nowMs: number,
  ): FinalDecision | undefined {
    const waitMs = this.estimateWait(position, nowMs);
    const startMs = nowMs + this.waitErrors.getLongestMs(waitMs);
    const refusal = this.checkStart(request, startMs, totalSlots, nowMs);
    if (refusal) return refusal;
    this.waitErrors.recordQueued(request.grantId, waitMs, nowMs);
    return undefined;
  }

  /**
   * Checks whether a queued online request can still be served in the time that its
   * caller has. It has been admitted by the longest wait that is likely, so it is
   * refused only if the shortest one is too long: estimates vary.
   *
   * @param request - the request
   * @param position - its position in the queue
   * @param totalSlots - slots of all servers that accept new work
   * @param nowMs - current time, monotonic milliseconds
   * @returns the refusal; undefined when the request may wait
   */
  check(
    request: PoolRequest,
    position: QueuePosition,
    totalSlots: number,
    nowMs: number,
  ): FinalDecision | undefined {
    const waitMs = this.estimateWait(position, nowMs);
    const startMs = nowMs + this.waitErrors.getShortestMs(waitMs);
    return this.checkStart(request, startMs, totalSlots, nowMs);
  }

  /** Refuses a request whose expected start is too late for its caller. */
  private checkStart(
    request: PoolRequest,
    startMs: number,
    totalSlots: number,
    nowMs: number,
  ): FinalDecision | undefined {
    if (totalSlots === 0) {
      const roomMs = nowMs + NO_SERVER_MS;
      return this.refuse(request, RefusalReason.NO_SERVER, roomMs, nowMs);
    }
    const lateMs = startMs - computeLatestStartMs(request, this.estimates);
    if (lateMs <= 0) return undefined;
    // A request with as much time that comes later by this would start in time.
    const roomMs = nowMs + lateMs;
    return this.refuse(request, RefusalReason.TOO_LATE, roomMs, nowMs);
  }

  /** Refuses a request that got no slot until its caller left. */
  refuseExpired(request: PoolRequest, nowMs: number): FinalDecision {
    const roomMs = nowMs + this.estimates.getMeanHoldMs();
    return this.refuse(request, RefusalReason.NO_SLOT_IN_TIME, roomMs, nowMs);
  }

  /**
   * Refuses a request.
   *
   * @param request - the request
   * @param reason - reason of the refusal
   * @param roomMs - when there will be room for it, monotonic milliseconds
   * @param nowMs - current time, monotonic milliseconds
   */
  private refuse(
    request: PoolRequest,
    reason: RefusalReason,
    roomMs: number,
    nowMs: number,
  ): FinalDecision {
    // Batch items ask for slots all the time.
    if (request.isBatch) {
      return {kind: 'refused', reason, retryAfterMs: MIN_RETRY_AFTER_MS};
    }
    const earliestMs = Math.max(
      nowMs + MIN_RETRY_AFTER_MS,
      roomMs,
      this.getFirstResumeMs(nowMs),
    );
    const returnMs = this.scheduleReturn(request, earliestMs, nowMs);
    return {
      kind: 'refused',
      reason,
      retryAfterMs: Math.floor(returnMs - nowMs),
    };
  }

  /** Limits a return to what the caller honors, and spreads the returns of callers, where the caller's deadline is known. */
  private scheduleReturn(
    {callerDeadlineMs}: PoolRequest,
    earliestMs: number,
    nowMs: number,
  ): number {
    if (callerDeadlineMs === undefined) return earliestMs;
    const slots = Math.max(1, this.grants.count());
    const spacingMs =
      this.estimates.getMeanHoldMs() / (slots * RETURN_CAPACITY_FRACTION);
    return this.returnTimes.scheduleReturn(
      earliestMs,
      spacingMs,
      callerDeadlineMs,
      nowMs,
    );
  }

  /** Records that a request has got a slot, at once or after a wait. */
  recordGranted(grantId: string, nowMs: number): void {
    this.waitErrors.recordGranted(grantId, nowMs);
  }

  /** Records that a grant has ended. */
  recordReleased(): void {
    this.changes += 1;
  }

  /** Records that a request has left the queue without a slot. */
  recordLeft(grantId: string): void {
    this.changes += 1;
    this.waitErrors.drop(grantId);
  }

  /** Estimates the wait of an online request at a position in the queue, milliseconds from now. */
  private estimateWait(
    {ahead, waitFactor}: QueuePosition,
    nowMs: number,
  ): number {
    const startMs = this.estimateStart(ahead, nowMs);
    if (startMs === undefined) return this.getFirstResumeMs(nowMs) - nowMs;
    return Math.max(0, startMs - nowMs) * waitFactor;
  }

  /** Estimates the start of an online request with a number of requests ahead of it; undefined without grants. */
  private estimateStart(ahead: number, nowMs: number): number | undefined {
    const {estimates, grants} = this;
    const changes = this.changes / Math.max(1, grants.count());
    const isStale =
      nowMs - this.forecastMs > MAX_FORECAST_AGE_MS ||
      changes > MAX_FORECAST_CHANGES;
    if (isStale) {
      const endsMs = grants.listExpectedEnds(
        estimates,
        EXPECTED_PREEMPTION_MS,
        nowMs,
      );
      this.forecast = new StartForecast(endsMs);
      this.startsMs = [];
      this.forecastMs = nowMs;
      this.changes = 0;
      for (const {route} of this.listQueued()) {
        const holdMs = estimates.getHoldMs(route);
        this.startsMs.push(this.forecast.takeNext(holdMs));
      }
    }
    while (this.startsMs.length <= ahead) {
      this.startsMs.push(this.forecast.takeNext(estimates.getMeanHoldMs()));
    }
    return this.startsMs[ahead];
  }
}
