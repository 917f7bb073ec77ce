/** Learns, for each route, how long online requests hold a slot and when their first event comes. */
import type {CallTimes} from '@savoryspur/schema';
import {TimeAverage} from './time_average.js';

/** Hold time assumed before the first one is recorded, milliseconds. */
const INITIAL_HOLD_TIME_MS = 500;

/** Smoothing factor of the moving averages of hold times: waits are many hold times long, so that the average of few calls would make them vary. */
const HOLD_TIME_SMOOTHING_FACTOR = 0.02;

/** Expected time from the start of a request until its first event while nothing is known of its route, milliseconds. */
const INITIAL_FIRST_EVENT_MS = 40;

/** Smoothing factor of the moving averages of first events. */
const FIRST_EVENT_SMOOTHING_FACTOR = 0.05;

/** Longest first event that is recorded, as a multiple of the expected one: single slow servers must not raise it at once. */
const MAX_FIRST_EVENT_FACTOR = 3;

/** Calls of a route after which its own values are used. */
const MIN_CALLS = 10;

/** Most routes with values of their own. */
const MAX_ROUTES = 200;

interface RouteEstimate {
  holdTimes: TimeAverage;
  firstEvents: TimeAverage;
}

/** Expected times of calls, by route. Requests of a route that is not known get the values of all routes together. */
export class CallEstimates {
  private readonly holdTimes = new TimeAverage(
    INITIAL_HOLD_TIME_MS,
    HOLD_TIME_SMOOTHING_FACTOR,
  );
  private readonly routes = new Map<string, RouteEstimate>();

  /**
   * Records a call of an online request that has succeeded.
   *
   * @param route - route of the request, if known
   * @param holdMs - time for which the request held its slot, milliseconds
   * @param times - times of the call, if reported
   */
  record(
    route: string | undefined,
    holdMs: number,
    times: CallTimes | undefined,
  ): void {
    this.holdTimes.record(holdMs);
    if (route === undefined || times?.firstEventMs === undefined) return;
    const estimate = this.routes.get(route) ?? this.createEstimate(route);
    if (!estimate) return;
    const {holdTimes, firstEvents} = estimate;
    holdTimes.record(holdMs);
    const longestMs =
      firstEvents.getCount() < MIN_CALLS
        ? Infinity
        : MAX_FIRST_EVENT_FACTOR * firstEvents.getMeanMs();
    firstEvents.record(Math.min(times.firstEventMs, longestMs));
  }

  /** Gets the mean hold time of all online requests, milliseconds. */
  getMeanHoldMs(): number {
    return this.holdTimes.getMeanMs();
  }

  /** Gets the expected hold time of a request, milliseconds. */
  getHoldMs(route: string | undefined): number {
    return (this.find(route)?.holdTimes ?? this.holdTimes).getMeanMs();
  }

  /** Gets the time within which a request is expected to end after its start, milliseconds; while no call has ended, only its first event is expected. */
  getEndMs(route: string | undefined): number {
    if (this.holdTimes.getCount() === 0) return INITIAL_FIRST_EVENT_MS;
    return (this.find(route)?.holdTimes ?? this.holdTimes).getBoundMs();
  }

  /** Gets the time within which the first event of a request is expected after its start, milliseconds. */
  getFirstEventMs(route: string | undefined): number {
    return this.find(route)?.firstEvents.getBoundMs() ?? INITIAL_FIRST_EVENT_MS;
  }

  private find(route: string | undefined): RouteEstimate | undefined {
    if (route === undefined) return undefined;
    const estimate = this.routes.get(route);
    return estimate && estimate.firstEvents.getCount() >= MIN_CALLS
      ? estimate
      : undefined;
  }

  private createEstimate(route: string): RouteEstimate | undefined {
    if (this.routes.size >= MAX_ROUTES) return undefined;
    const estimate = {
      holdTimes: new TimeAverage(
        this.getMeanHoldMs(),
        HOLD_TIME_SMOOTHING_FACTOR,
      ),
      firstEvents: new TimeAverage(
        INITIAL_FIRST_EVENT_MS,
        FIRST_EVENT_SMOOTHING_FACTOR,
      ),
    };
    this.routes.set(route, estimate);
    return estimate;
  }
}
