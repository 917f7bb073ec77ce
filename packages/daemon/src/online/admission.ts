/** Admits online requests within the rate of their workspace. */
import {type Clock, ErrorCode} from '@savoryspur/common';
import type {RateLimiter} from '@savoryspur/limits';
import {type Settings, TrafficClass} from '@savoryspur/schema';
import type {Refusal} from '../http/refusal.js';

/** Components and settings that admission uses. */
export interface AdmissionContext {
  settings: Settings;
  clock: Clock;
  limiter: RateLimiter;
}

/** Refusal of a request that was not admitted. */
export interface AdmissionRefusal extends Refusal {
  /**
   * Whether the request may have been within the workspace's rate, because no
   * owner had a share of the rate to decide by.
   */
  isWithinRate: boolean;
}

/** Retry interval while no owner has a share of the rate, milliseconds. */
const NO_SHARE_RETRY_MS = 50;

/**
 * Admits one request. While no owner has a share of the workspace's rate, as
 * during a change of owner, the request is retried for up to the token wait
 * plus one delegation term.
 *
 * @param context - rate limiter, clock and settings
 * @param workspace - name of the workspace
 * @param signal - aborts the wait when the caller disconnects
 * @returns undefined when the request is admitted, otherwise the refusal
 */
export async function admitOnline(
  context: AdmissionContext,
  workspace: string,
  signal: AbortSignal,
): Promise<AdmissionRefusal | undefined> {
  const {limiter, clock, settings} = context;
  const maxWaitMs = settings.limits.tokenWaitMs;
  const deadlineMs = clock.now() + maxWaitMs + settings.leases.delegationMs;
  for (;;) {
    const admitted = await limiter.acquire({
      workspace,
      trafficClass: TrafficClass.ONLINE,
      count: 1,
      maxWaitMs,
      signal,
    });
    if (admitted.isOk()) return undefined;
    const {retryAfterMs, hasShare} = admitted.error;
    const isWaitOver = clock.now() >= deadlineMs || signal.aborted;
    if (hasShare || isWaitOver) {
      return createRefusal(workspace, retryAfterMs, !hasShare);
    }
    await clock.sleep(NO_SHARE_RETRY_MS, signal);
  }
}

function createRefusal(
  workspace: string,
  retryAfterMs: number,
  isWithinRate: boolean,
): AdmissionRefusal {
  return {
    code: ErrorCode.RATE_LIMITED,
    detail: 'rate_limit_exceeded',
    message: `The workspace "${workspace}" is above its rate.`,
    retryAfterMs,
    isWithinRate,
  };
}
