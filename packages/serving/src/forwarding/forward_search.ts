/** Limits the searches for a daemon that reaches the servers of a zone, each of which delays the request that makes it. */
import {computeBackoffMs} from '@savoryspur/common';

/** Time after a search without a result until the next one, milliseconds; doubles with each further one. */
const INITIAL_PAUSE_MS = 500;

/** Maximum time between searches, milliseconds. */
const MAX_PAUSE_MS = 4000;

/** Time after which a search no longer keeps others from beginning, milliseconds: it probably waits for the answer of a server. */
const MAX_EXCLUSIVE_SEARCH_MS = 300;

/** Searches for the servers of one zone. */
interface ZoneSearches {
  inProgress: number;
  /** When the latest search began, monotonic milliseconds. */
  startedMs: number;
  /** Searches without a result since the last one with a result. */
  failures: number;
  /** No search is made before this time, monotonic milliseconds. */
  pausedUntilMs: number;
}

/** Searches by zone of the servers. Performs no I/O; the current time is an argument of each call. */
export class ForwardSearches {
  private readonly searches = new Map<string, ZoneSearches>();

  /** Whether a request may search for a daemon that reaches a zone: one at a time, with pauses after those without a result. */
  isAllowed(zone: string, nowMs: number): boolean {
    const known = this.searches.get(zone);
    if (!known) return true;
    const isSearching =
      known.inProgress > 0 && nowMs - known.startedMs < MAX_EXCLUSIVE_SEARCH_MS;
    return !isSearching && known.pausedUntilMs <= nowMs;
  }

  /** Whether the latest search had no result, and it is too early for the next one. */
  isPaused(zone: string, nowMs: number): boolean {
    const known = this.searches.get(zone);
    return known !== undefined && known.pausedUntilMs > nowMs;
  }

  /** Records that a search begins. */
  begin(zone: string, nowMs: number): void {
    const known = this.searches.get(zone);
    if (known) {
      known.inProgress += 1;
      known.startedMs = nowMs;
    } else {
      this.searches.set(zone, {
        inProgress: 1,
        startedMs: nowMs,
        failures: 0,
        pausedUntilMs: Number.NEGATIVE_INFINITY,
      });
    }
  }

  /**
   * Records that a search has ended.
   *
   * @param zone - zone of the servers
   * @param isFound - whether a daemon accepted the call
   * @param nowMs - current time, monotonic milliseconds
   */
  finish(zone: string, isFound: boolean, nowMs: number): void {
    const known = this.searches.get(zone);
    if (!known) return;
    known.inProgress -= 1;
    known.failures = isFound ? 0 : known.failures + 1;
    known.pausedUntilMs = isFound
      ? Number.NEGATIVE_INFINITY
      : nowMs +
        computeBackoffMs(INITIAL_PAUSE_MS, MAX_PAUSE_MS, known.failures);
  }
}
