/** Learns, for each route, how long online requests hold a slot and when their first event comes. */
import type {CallTimes} from '@savoryspur/schema';
import {HoldTimeAverage} from './hold_times.js';

/** Expected time from the start of a request until its first event while nothing is known of its route, milliseconds. */
const INITIAL_FIRST_EVENT_MS = 40;

/** Smoothing factor of the moving averages of first events. */
const FIRST_EVENT_SMOOTHING_FACTOR = 0.05;

/** Mean deviations by which an expected first event exceeds the mean: about one call in ten takes longer. */
const FIRST_EVENT_DEVIATIONS = 1.5;

/** Longest first event that is recorded, as a multiple of the expected one: single slow servers must not raise it at once. */
const MAX_FIRST_EVENT_FACTOR = 3;

/** Calls of a route after which its own values are used. */
const MIN_CALLS = 10;

/** Most routes with values of their own. */
const MAX_ROUTES = 200;

interface RouteEstimate {
  calls: number;
  holdTimes: HoldTimeAverage;
  firstEventMs: number;
  firstEventDeviationMs: number;
}

/** Expected times of calls, by route. Requests of a route that is not known get the values of all routes together. */
export class CallEstimates {
  private readonly holdTimes = new HoldTimeAverage();
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
    estimate.calls += 1;
    estimate.holdTimes.record(holdMs);
    const longestMs = MAX_FIRST_EVENT_FACTOR * estimate.firstEventMs;
    const errorMs =
      Math.min(times.firstEventMs, longestMs) - estimate.firstEventMs;
    estimate.firstEventMs += FIRST_EVENT_SMOOTHING_FACTOR * errorMs;
    estimate.firstEventDeviationMs +=
      FIRST_EVENT_SMOOTHING_FACTOR *
      (Math.abs(errorMs) - estimate.firstEventDeviationMs);
  }

  /** Whether the values of a route were learned from reported calls. */
  isKnown(route: string | undefined): boolean {
    return this.find(route) !== undefined;
  }

  /** Gets the mean hold time of all online requests, milliseconds. */
  getMeanHoldMs(): number {
    return this.holdTimes.getAverageMs();
  }

  /** Gets the expected hold time of a request, milliseconds. */
  getHoldMs(route: string | undefined): number {
    return (this.find(route)?.holdTimes ?? this.holdTimes).getAverageMs();
  }

  /** Gets the time within which the first event of a request is expected, milliseconds. */
  getFirstEventMs(route: string | undefined): number {
    const estimate = this.find(route);
    if (!estimate) return INITIAL_FIRST_EVENT_MS;
    const {firstEventMs, firstEventDeviationMs} = estimate;
    return firstEventMs + FIRST_EVENT_DEVIATIONS * firstEventDeviationMs;
  }

  private find(route: string | undefined): RouteEstimate | undefined {
    if (route === undefined) return undefined;
    const estimate = this.routes.get(route);
    return estimate && estimate.calls >= MIN_CALLS ? estimate : undefined;
  }

  private createEstimate(route: string): RouteEstimate | undefined {
    if (this.routes.size >= MAX_ROUTES) return undefined;
    const estimate = {
      calls: 0,
      holdTimes: new HoldTimeAverage(this.holdTimes.getAverageMs()),
      firstEventMs: INITIAL_FIRST_EVENT_MS,
      firstEventDeviationMs: 0,
    };
    this.routes.set(route, estimate);
    return estimate;
  }
}
