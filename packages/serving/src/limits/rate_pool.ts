/**
 * Rates of workspaces over the whole fleet. Each daemon has an equal share of
 * every rate. The owner of the limits uses the shares of all daemons that
 * delegate theirs to it; a daemon without an owner uses a part of its own. Over
 * a fleet that is split in any way the parts never add up to more than the rate.
 * Does no input or output; time is an argument of each call.
 */

import type {Workspace} from '../environment.js';
import {SHARE_DELEGATION_TTL_MS} from '../peers/fleet_share.js';

/** Milliseconds of a second. */
const SECOND_MS = 1000;

/** Rate and burst of a workspace over the whole fleet. */
export type RateLimit = Pick<Workspace, 'name' | 'ratePerSecond' | 'burst'>;

/** Whether a request is within the rate. */
export interface RateDecision {
  isAdmitted: boolean;
  /** Time until the next request is admitted, milliseconds. */
  retryAfterMs: number;
  /** Part of the rate of the fleet by which it was decided. */
  share: number;
}

/** Longest time after which a refused caller is told to come back, milliseconds: few callers wait longer. */
const MAX_RETRY_MS = 2000;

/** Tokens of one workspace. */
interface Bucket {
  level: number;
  filledMs: number;
  /** When the last refused caller was told to come back, monotonic milliseconds. */
  promisedMs: number;
}

/** Token buckets over a share of all rates. */
export class RatePool {
  private readonly buckets = new Map<string, Bucket>();
  private readonly delegators = new Map<string, number>();

  /** Notes that a daemon delegates its share. */
  recordDelegation(holder: string, nowMs: number): void {
    this.delegators.set(holder, nowMs + SHARE_DELEGATION_TTL_MS);
  }

  /** Counts the daemons whose delegation is in force. */
  countDelegators(nowMs: number): number {
    for (const [holder, untilMs] of this.delegators) {
      if (untilMs <= nowMs) this.delegators.delete(holder);
    }
    return this.delegators.size;
  }

  /**
   * Decides on one request and takes its token.
   *
   * @param limit - rate and burst over the whole fleet
   * @param share - part of them that may be used here
   * @param nowMs - monotonic milliseconds
   */
  admit(limit: RateLimit, share: number, nowMs: number): RateDecision {
    const rate = limit.ratePerSecond * share;
    const burst = Math.max(1, limit.burst * share);
    const bucket = this.getBucket(limit.name, burst, nowMs);
    const filled =
      bucket.level + ((nowMs - bucket.filledMs) / SECOND_MS) * rate;
    bucket.level = Math.min(burst, filled);
    bucket.filledMs = nowMs;
    if (bucket.level >= 1) {
      bucket.level -= 1;
      return {isAdmitted: true, retryAfterMs: 0, share};
    }
    const retryAfterMs = scheduleReturn(bucket, rate, nowMs);
    return {isAdmitted: false, retryAfterMs, share};
  }

  private getBucket(workspace: string, burst: number, nowMs: number): Bucket {
    let bucket = this.buckets.get(workspace);
    if (!bucket) {
      // A former owner may have spent all tokens, so a new one starts with few.
      bucket = {
        level: Math.min(burst, 1),
        filledMs: nowMs,
        promisedMs: Number.NEGATIVE_INFINITY,
      };
      this.buckets.set(workspace, bucket);
    }
    return bucket;
  }
}

/**
 * Chooses when a refused caller comes back: one after the other, at the pace at
 * which tokens come, so that they are not refused again by each other.
 *
 * @returns milliseconds from now
 */
function scheduleReturn(bucket: Bucket, rate: number, nowMs: number): number {
  if (rate <= 0) return MAX_RETRY_MS;
  const tokenMs = SECOND_MS / rate;
  const nextMs = Math.max(
    nowMs + (1 - bucket.level) * tokenMs,
    bucket.promisedMs + tokenMs,
  );
  bucket.promisedMs = Math.min(nextMs, nowMs + MAX_RETRY_MS);
  return Math.ceil(bucket.promisedMs - nowMs);
}
