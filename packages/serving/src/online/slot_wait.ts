/** Limits the time for which an online request waits for a slot. */
import type {Clock} from '@savoryspur/common';
import {computeMaxSlotWaitMs} from './call_timeouts.js';
import type {OnlinePlan} from './online_handler.js';
import type {AnswerWriter, OnlineRequest} from './online_types.js';
import {UnexecutedCalls} from './unexecuted_calls.js';

/** Pause after which a stream that has begun asks for a slot again, milliseconds: short compared to the gap after which callers leave. */
const RESUMPTION_PAUSE_MS = 100;

/** Wait of one request for a slot: for its first one, or for another one after it has lost its server. */
export class SlotWait {
  /** Calls of the request that no server executed. */
  readonly unexecuted: UnexecutedCalls;
  private readonly maxMs: number;
  /** Monotonic milliseconds. */
  private startMs: number;

  /**
   * @param clock - source of time
   * @param plan - route of the request
   * @param request - the request, which waits from its arrival on
   * @param deadlineMs - when the request ends at the latest, monotonic milliseconds
   */
  constructor(
    private readonly clock: Clock,
    {route}: OnlinePlan,
    {arrivedMs}: OnlineRequest,
    private readonly deadlineMs: number,
  ) {
    this.maxMs = computeMaxSlotWaitMs(route);
    this.startMs = arrivedMs;
    this.unexecuted = new UnexecutedCalls(arrivedMs, route);
  }

  /** Starts a new wait, as the request has lost a server that had brought events. */
  start(): void {
    this.startMs = this.clock.now();
  }

  /** Computes when the wait ends, monotonic milliseconds. */
  computeEndMs(): number {
    const endMs = this.startMs + this.maxMs;
    return Math.min(
      this.deadlineMs,
      this.unexecuted.computeSlotWaitEndMs(endMs),
    );
  }

  /**
   * Pauses until a request whose answer has begun may ask for a slot again, after
   * a refusal that would cut the answer.
   *
   * @param answer - the answer
   * @param signal - ends the pause
   * @returns false when the answer has not begun or the wait is over
   */
  async pause(
    {hasBegun}: Pick<AnswerWriter, 'hasBegun'>,
    signal: AbortSignal,
  ): Promise<boolean> {
    if (!hasBegun) return false;
    if (this.clock.now() + RESUMPTION_PAUSE_MS >= this.computeEndMs()) {
      return false;
    }
    await this.clock.sleep(RESUMPTION_PAUSE_MS, signal);
    return true;
  }
}
