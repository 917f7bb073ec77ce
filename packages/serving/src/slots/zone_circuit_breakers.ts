/** Whether servers of a zone can be reached from another zone. */
import {computeBackoff} from '@savoryspur/common';
import {CallOutcome} from '@savoryspur/schema';

/** Failures in a row, without a success between, that close a route. */
const FAILURES_TO_CLOSE = 2;

/** First time for which a route is closed, milliseconds; doubles up to the longest. */
const FIRST_CLOSED_MS = 500;

/** Longest time for which a route is closed, milliseconds: a cut that heals is noticed by then. */
const MAX_CLOSED_MS = 2000;

/** What is known of the way from one zone to another. */
interface ZoneRoute {
  failures: number;
  closings: number;
  closedUntilMs: number;
}

/** Routes between zones as the calls over them ended. */
export class ZoneCircuitBreakers {
  private readonly routes = new Map<string, ZoneRoute>();

  /** Whether calls may go from one zone to another. */
  isOpen(fromZone: string, toZone: string, nowMs: number): boolean {
    if (fromZone === toZone || this.routes.size === 0) return true;
    const route = this.routes.get(formatKey(fromZone, toZone));
    return route === undefined || route.closedUntilMs <= nowMs;
  }

  /**
   * Takes in how a call ended. Only calls that found no connection tell of the
   * way; all others reached the server.
   */
  record(
    fromZone: string,
    toZone: string,
    outcome: CallOutcome,
    nowMs: number,
  ): void {
    if (fromZone === toZone || outcome === CallOutcome.ABANDONED) return;
    const key = formatKey(fromZone, toZone);
    if (outcome !== CallOutcome.UNREACHABLE) {
      if (outcome === CallOutcome.SUCCEEDED) this.routes.delete(key);
      return;
    }
    const route = this.routes.get(key) ?? {
      failures: 0,
      closings: 0,
      closedUntilMs: Number.NEGATIVE_INFINITY,
    };
    this.routes.set(key, route);
    route.failures += 1;
    // After the first closing each further failure closes the route again.
    if (route.failures < FAILURES_TO_CLOSE && route.closings === 0) return;
    if (route.closedUntilMs > nowMs) return;
    route.closings += 1;
    route.failures = 0;
    route.closedUntilMs =
      nowMs + computeBackoff(FIRST_CLOSED_MS, MAX_CLOSED_MS, route.closings);
  }
}

function formatKey(fromZone: string, toZone: string): string {
  return `${fromZone}>${toZone}`;
}
