/**
 * Learns, for each route, after which silence of a server another one is looked for.
 * The call goes on meanwhile, as the silence may end.
 */
import {isRetryable, type Route, RouteKind} from '../environment.js';
import {TimeAverage} from '../slots/time_average.js';

/** Mean deviations from the mean time to the time after which a server is overdue, as in the retransmission timeout of TCP. */
const OVERDUE_DEVIATIONS = 4;

/** Shortest silence that counts as one, milliseconds: that of TCP, as shorter ones are usual pauses of processes and networks. */
const MIN_SILENCE_MS = 200;

/** Smoothing factor of the moving averages. */
const SMOOTHING_FACTOR = 0.05;

/** Calls of a route after which its times are used. */
const MIN_CALLS = 10;

/** Most routes with times of their own. */
const MAX_ROUTES = 200;

/** Silences of a server in one call, milliseconds. */
export interface CallSilences {
  /** Until the first event, or the head of an answer that is no stream; absent when there was none. */
  firstEventMs?: number;
  /** Longest pause between two events; absent when there were fewer than two. */
  longestPauseMs?: number;
}

/** What a call has left. */
export interface CallerTime {
  /** Time until the caller leaves unless it gets an event, milliseconds. */
  leftMs: number;
  /** Calls that servers may have executed, without the one in question. */
  executedCalls: number;
}

interface RouteSilences {
  firstEvents: TimeAverage;
  pauses: TimeAverage;
}

/** Times after which servers are overdue. */
export class OverdueTimes {
  private readonly routes = new Map<string, RouteSilences>();

  /** Records the silences of a call that has succeeded. */
  record(
    {name}: Pick<Route, 'name'>,
    {firstEventMs, longestPauseMs}: CallSilences,
  ): void {
    const silences = this.routes.get(name) ?? this.createSilences(name);
    if (firstEventMs !== undefined) silences?.firstEvents.record(firstEventMs);
    if (longestPauseMs !== undefined) silences?.pauses.record(longestPauseMs);
  }

  /**
   * Computes after which time without the head of an answer a server is overdue.
   *
   * @returns milliseconds; 0 when no other server may be called
   */
  computeFirstEventMs(route: Route, time: CallerTime): number {
    if (!isOtherCallAllowed(route, time)) return 0;
    const {firstEvents} = this.routes.get(route.name) ?? {};
    return computeLearnedMs(firstEvents) ?? computeShareMs(route, time);
  }

  /**
   * Computes after which time without an event a server is overdue. The first event
   * may come long after the head of the answer.
   *
   * @returns milliseconds; 0 when no other server may be called
   */
  computePauseMs(route: Route, time: CallerTime): number {
    if (!isOtherCallAllowed(route, time)) return 0;
    if (route.kind !== RouteKind.STREAMING) return 0;
    const {firstEvents, pauses} = this.routes.get(route.name) ?? {};
    const learnedMs = Math.max(
      computeLearnedMs(firstEvents) ?? Infinity,
      computeLearnedMs(pauses) ?? Infinity,
    );
    return Number.isFinite(learnedMs) ? learnedMs : computeShareMs(route, time);
  }

  private createSilences(route: string): RouteSilences | undefined {
    if (this.routes.size >= MAX_ROUTES) return undefined;
    const silences = {
      firstEvents: new TimeAverage(0, SMOOTHING_FACTOR),
      pauses: new TimeAverage(0, SMOOTHING_FACTOR),
    };
    this.routes.set(route, silences);
    return silences;
  }
}

/** Whether another server may be called if this call fails; without one, giving a call up could only lose its answer. */
function isOtherCallAllowed(route: Route, {executedCalls}: CallerTime) {
  return isRetryable(route) && executedCalls + 1 < route.attempts;
}

/** Computes an equal share of the caller's time for each call that is left, milliseconds: while nothing is known of a route, each call gets as much time as the next one. */
function computeShareMs(
  {attempts}: Route,
  {leftMs, executedCalls}: CallerTime,
): number {
  return Math.max(1, leftMs / (attempts - executedCalls));
}

/** Computes the time that hardly any call takes, milliseconds; undefined before it is known. Another call would take as long, so less time is never enough. */
function computeLearnedMs(times: TimeAverage | undefined): number | undefined {
  if (!times || times.getCount() < MIN_CALLS) return undefined;
  const boundMs =
    times.getMeanMs() + OVERDUE_DEVIATIONS * times.getDeviationMs();
  return Math.max(MIN_SILENCE_MS, boundMs);
}
