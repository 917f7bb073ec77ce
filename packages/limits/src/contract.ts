/** Interface of the rate limits that the daemon uses. */
import type {TrafficClass} from '@savoryspur/schema';
import type {Result} from 'neverthrow';

/** Request to admit work of one workspace. */
export interface RateRequest {
  workspace: string;
  trafficClass: TrafficClass;
  /** Tokens requested: one for each online request or batch item. */
  count: number;
  /** Longest wait for the tokens, milliseconds. */
  maxWaitMs: number;
  /** Aborts the wait; the request is then refused. */
  signal?: AbortSignal;
}

/** Reason why a request is not admitted. */
export interface RateRefusal {
  /** Delay after which the caller should retry, milliseconds. */
  retryAfterMs: number;
  /**
   * Whether the refusal came from an owner that holds a share of the rate. When
   * false, as while the key moves from one owner to the next, the refusal does
   * not say that the workspace exceeds its rate.
   */
  hasShare: boolean;
}

/** Enforces the rate and burst of every workspace across all hosts. */
export interface RateLimiter {
  /**
   * Acquires tokens, and waits for them up to `maxWaitMs`.
   *
   * @returns nothing on success, or the refusal
   */
  acquire(request: RateRequest): Promise<Result<void, RateRefusal>>;
}
