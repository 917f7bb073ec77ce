/**
 * Limits the request rate of each workspace over the whole fleet. Each daemon has
 * an equal share of every rate limit. The owner of the rate limits uses the shares
 * of all daemons that delegate theirs to it; a standalone daemon uses a part of
 * its own share. However a network partition splits the fleet, the shares in use
 * never add up to more than the limit. Performs no I/O; the current time is an
 * argument of each call.
 */

import type {Workspace} from '../environment.js';
import {SHARE_DELEGATION_TTL_MS} from '../peers/fleet_share.js';

/** One second, milliseconds. */
const SECOND_MS = 1000;

/** Rate limit and burst of a workspace over the whole fleet. */
export type RateLimit = Pick<Workspace, 'name' | 'ratePerSecond' | 'burst'>;

/** Decision on a request. The fields are sent to the asking daemon under these names. */
export interface RateDecision {
  isAdmitted: boolean;
  /** Time after which a refused caller should retry, milliseconds; 0 when the request is admitted. */
  retryAfterMs: number;
  /** Share of the fleet-wide rate limit that the decision is based on, from 0 to 1. */
  share: number;
}

/** Longest Retry-After of a refusal, milliseconds: few callers wait longer. */
const MAX_RETRY_AFTER_MS = 2000;

/** Token bucket of one workspace. Times are monotonic milliseconds. */
interface TokenBucket {
  /** Tokens in the bucket at the time of the latest refill. */
  tokens: number;
  /** Time of the latest refill. */
  refilledMs: number;
  /** Time at which the latest refused caller was told to retry. */
  lastRetryMs: number;
}

/** Token buckets of all workspaces, for a share of their rate limits. */
export class RateLimiter {
  /** Token buckets by the name of the workspace. */
  private readonly buckets = new Map<string, TokenBucket>();
  /** Ends of the delegations in monotonic milliseconds, by the host of the delegating daemon. */
  private readonly delegationEndsMs = new Map<string, number>();

  /**
   * Records that a daemon delegates its share. The delegation expires unless it
   * is renewed; a call with a shorter time doesn't shorten it.
   *
   * @param delegator - host of the daemon
   * @param nowMs - current time, monotonic milliseconds
   * @param ttlMs - time until the delegation expires, milliseconds
   */
  recordDelegation(
    delegator: string,
    nowMs: number,
    ttlMs = SHARE_DELEGATION_TTL_MS,
  ): void {
    const endMs = this.delegationEndsMs.get(delegator) ?? nowMs;
    this.delegationEndsMs.set(delegator, Math.max(endMs, nowMs + ttlMs));
  }

  /** Counts the daemons whose delegation has not expired. */
  countDelegators(nowMs: number): number {
    for (const [delegator, untilMs] of this.delegationEndsMs) {
      if (untilMs <= nowMs) this.delegationEndsMs.delete(delegator);
    }
    return this.delegationEndsMs.size;
  }

  /**
   * Decides on one request, and takes its token when it is admitted.
   *
   * @param limit - rate limit and burst over the whole fleet
   * @param share - share of both that may be used here, from 0 to 1
   * @param nowMs - current time, monotonic milliseconds
   */
  admit(limit: RateLimit, share: number, nowMs: number): RateDecision {
    const rate = limit.ratePerSecond * share;
    const burst = Math.max(1, limit.burst * share);
    const bucket = this.getBucket(limit.name, burst, nowMs);
    const refilledTokens =
      bucket.tokens + ((nowMs - bucket.refilledMs) / SECOND_MS) * rate;
    bucket.tokens = Math.min(burst, refilledTokens);
    bucket.refilledMs = nowMs;
    if (bucket.tokens >= 1) {
      bucket.tokens -= 1;
      return {isAdmitted: true, retryAfterMs: 0, share};
    }
    const retryAfterMs = scheduleRetry(bucket, rate, nowMs);
    return {isAdmitted: false, retryAfterMs, share};
  }

  private getBucket(
    workspace: string,
    burst: number,
    nowMs: number,
  ): TokenBucket {
    let bucket = this.buckets.get(workspace);
    if (!bucket) {
      // A former owner may have spent all tokens, so a new owner starts with at most one.
      bucket = {
        tokens: Math.min(burst, 1),
        refilledMs: nowMs,
        lastRetryMs: Number.NEGATIVE_INFINITY,
      };
      this.buckets.set(workspace, bucket);
    }
    return bucket;
  }
}

/**
 * Chooses the time at which a refused caller should retry. The retries of refused
 * callers are spaced by the time in which the bucket gains a token, so that each
 * of them finds one.
 *
 * @returns milliseconds from now
 */
function scheduleRetry(
  bucket: TokenBucket,
  rate: number,
  nowMs: number,
): number {
  if (rate <= 0) return MAX_RETRY_AFTER_MS;
  const tokenIntervalMs = SECOND_MS / rate;
  const retryMs = Math.max(
    nowMs + (1 - bucket.tokens) * tokenIntervalMs,
    bucket.lastRetryMs + tokenIntervalMs,
  );
  bucket.lastRetryMs = Math.min(retryMs, nowMs + MAX_RETRY_AFTER_MS);
  return Math.ceil(bucket.lastRetryMs - nowMs);
}
