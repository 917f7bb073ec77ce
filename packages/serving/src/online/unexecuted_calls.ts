/** Calls of a request that no server executed, after which another one may be made. */
import {CallOutcome} from '@savoryspur/schema';

/**
 * Number of calls that no server executed after which no further call is made.
 * Such calls do not count as attempts of the route.
 */
const MAX_CALLS = 4;

/** Time of a connect that times out, milliseconds. */
const CONNECT_MS = 150;

/** Counts the calls of one request that no server executed. Performs no I/O. */
export class UnexecutedCalls {
  /** Number of calls that no server executed. */
  count = 0;
  /** Number of these since the start, or since a server has brought events. */
  private countInRow = 0;
  /** Number of connects that failed. */
  private failedConnects = 0;
  /** Until when further connects begin, monotonic milliseconds; infinity once a server may have run the request. */
  connectUntilMs: number;

  /**
   * @param leaveMs - when the caller leaves unless its answer has begun, monotonic
   *     milliseconds
   */
  constructor(leaveMs: number) {
    // The last of several connects ends before the caller leaves.
    this.connectUntilMs = leaveMs - CONNECT_MS;
  }

  /**
   * Computes the end of the wait for the next slot: a connect may begin then.
   *
   * @param untilMs - when the caller leaves, monotonic milliseconds
   * @returns monotonic milliseconds
   */
  computeSlotWaitEndMs(untilMs: number): number {
    return this.failedConnects === 0
      ? untilMs
      : Math.min(untilMs, this.connectUntilMs);
  }

  /** Begins to count anew, after a server has brought events. */
  start(): void {
    this.countInRow = 0;
  }

  /** Records that a server may have run the request, which can't be refused as not run any more. */
  recordExecuted(): void {
    this.connectUntilMs = Infinity;
  }

  /**
   * Records a call that no server executed.
   *
   * @param outcome - outcome of the call
   * @param nowMs - current time, monotonic milliseconds
   * @returns whether another call may be made
   */
  record(outcome: CallOutcome, nowMs: number): boolean {
    this.count += 1;
    this.countInRow += 1;
    const isConnect = outcome === CallOutcome.UNREACHABLE;
    if (isConnect) this.failedConnects += 1;
    if (isConnect && nowMs >= this.connectUntilMs) return false;
    return this.countInRow < MAX_CALLS;
  }
}
