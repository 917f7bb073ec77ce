/** Counts the online requests that a pool owner refuses, and tells when a period of refusals begins and ends. */
import {RefusalReason} from './pool_types.js';

/** Shortest time without a refusal after which a period of refusals has ended, milliseconds: bounds the events of a pool whose callers return soon. */
const MIN_PERIOD_END_AFTER_MS = 1000;

/** Reasons of refusals by the values of the metric label `reason`. */
export const REFUSAL_LABELS = {
  no_server: RefusalReason.NO_SERVER,
  no_server_of_version: RefusalReason.NO_SERVER_OF_VERSION,
  too_late: RefusalReason.TOO_LATE,
  no_slot_in_time: RefusalReason.NO_SLOT_IN_TIME,
} as const;

/** Refusals of one pool. Times are monotonic milliseconds. */
export class RefusalRecord {
  private readonly counts = new Map<string, number>();
  /** When the period has ended if none of its callers is refused again: all were to return by then. */
  private periodEndMs = Number.NEGATIVE_INFINITY;
  private isInPeriod = false;
  private periodCount = 0;

  /**
   * Records a refusal.
   *
   * @param reason - its reason
   * @param retryAfterMs - time after which its caller was told to return, milliseconds
   * @param nowMs - current time
   * @returns whether a period of refusals begins with it
   */
  record(reason: string, retryAfterMs: number, nowMs: number): boolean {
    this.counts.set(reason, this.count(reason) + 1);
    const quietMs = Math.max(retryAfterMs, MIN_PERIOD_END_AFTER_MS);
    this.periodEndMs = Math.max(this.periodEndMs, nowMs + quietMs);
    this.periodCount += 1;
    const isFirst = !this.isInPeriod;
    this.isInPeriod = true;
    return isFirst;
  }

  /** Counts the refusals for a reason since the start. */
  count(reason: string): number {
    return this.counts.get(reason) ?? 0;
  }

  /** Ends a period whose callers were to return without another refusal; returns the number of its refusals, or undefined when none has ended. */
  takeEnded(nowMs: number): number | undefined {
    if (!this.isInPeriod || nowMs < this.periodEndMs) return undefined;
    const count = this.periodCount;
    this.isInPeriod = false;
    this.periodCount = 0;
    return count;
  }
}
