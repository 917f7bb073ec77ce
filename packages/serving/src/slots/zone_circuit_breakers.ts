/**
 * Circuit breakers between availability zones: they stop calls from one zone to the
 * backend servers of another while they can't be reached from there.
 */
import {computeBackoffMs} from '@savoryspur/common';
import {CallOutcome} from '@savoryspur/schema';

/** Connect failures in a row, without a success between them, that open a breaker for the first time. */
const FAILURES_TO_OPEN = 2;

/** Time for which a breaker is open at first, milliseconds; doubles up to {@link MAX_OPEN_MS}. */
const INITIAL_OPEN_MS = 500;

/** Longest time for which a breaker is open, milliseconds: the end of a network partition is noticed within this time. */
const MAX_OPEN_MS = 2000;

/** State of the calls from one zone to another. */
interface ZoneBreaker {
  /** Connect failures since the last success or since the breaker last opened. */
  failures: number;
  /** Times that the breaker has opened since the last success. */
  openings: number;
  /** Calls are allowed again from this time on, monotonic milliseconds. */
  openUntilMs: number;
}

/** One circuit breaker for each ordered pair of zones. */
export class ZoneCircuitBreakers {
  private readonly breakers = new Map<string, ZoneBreaker>();

  /**
   * Checks whether calls may go from one zone to another. Calls within a zone
   * are always allowed.
   */
  isCallAllowed(fromZone: string, toZone: string, nowMs: number): boolean {
    if (fromZone === toZone || this.breakers.size === 0) return true;
    const breaker = this.breakers.get(formatKey(fromZone, toZone));
    return breaker === undefined || breaker.openUntilMs <= nowMs;
  }

  /**
   * Records how a call from one zone to another ended. Only outcome UNREACHABLE
   * counts as a failure of the network between the zones: with any other outcome
   * the call reached the server. Only a success resets the breaker.
   *
   * @param fromZone - zone of the calling daemon
   * @param toZone - zone of the server
   * @param outcome - how the call ended
   * @param nowMs - current time, monotonic milliseconds
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
      if (outcome === CallOutcome.SUCCEEDED) this.breakers.delete(key);
      return;
    }
    const breaker = this.breakers.get(key) ?? {
      failures: 0,
      openings: 0,
      openUntilMs: Number.NEGATIVE_INFINITY,
    };
    this.breakers.set(key, breaker);
    breaker.failures += 1;
    // A breaker that has opened before opens again after a single failure.
    if (breaker.failures < FAILURES_TO_OPEN && breaker.openings === 0) return;
    if (breaker.openUntilMs > nowMs) return;
    breaker.openings += 1;
    breaker.failures = 0;
    breaker.openUntilMs =
      nowMs + computeBackoffMs(INITIAL_OPEN_MS, MAX_OPEN_MS, breaker.openings);
  }
}

function formatKey(fromZone: string, toZone: string): string {
  return `${fromZone}>${toZone}`;
}
