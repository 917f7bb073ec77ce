/** Limits the time for which an online request waits for a slot. */
import type {CallOutcome} from '@savoryspur/schema';
import {RouteKind} from '../environment.js';
import type {CallerTime} from './overdue_times.js';
import type {OnlineHandlerOptions, OnlinePlan} from './online_handler.js';
import type {AnswerWriter, OnlineRequest} from './online_types.js';
import {UnexecutedCalls} from './unexecuted_calls.js';

/** First pause after which a stream that has begun asks for a slot again, milliseconds; doubles with each refusal. Short compared to the gap after which callers leave. */
const MIN_PAUSE_MS = 100;

/** Wait of one request for a slot: for its first one, or for another one after it has lost its server. */
export class SlotWait {
  /** Calls of the request that no server executed. */
  readonly unexecuted: UnexecutedCalls;
  /** Longest time without an event until the caller leaves, milliseconds. */
  private readonly maxGapMs: number;
  /** When the caller sent the request or got the last event, monotonic milliseconds. */
  private startMs: number;
  private pauseMs = MIN_PAUSE_MS;

  /**
   * @param options - source of time, and the servers that accept work
   * @param plan - route and service of the request
   * @param request - the request, which waits from its arrival on
   * @param deadlineMs - when the request ends at the latest, monotonic milliseconds
   */
  constructor(
    private readonly options: Pick<OnlineHandlerOptions, 'clock' | 'registry'>,
    private readonly plan: OnlinePlan,
    {arrivedMs}: OnlineRequest,
    private readonly deadlineMs: number,
  ) {
    const {kind, callerGapMs} = plan.route;
    this.maxGapMs = kind === RouteKind.STREAMING ? callerGapMs : Infinity;
    this.startMs = arrivedMs;
    this.unexecuted = new UnexecutedCalls(this.computeLeaveMs());
  }

  /**
   * Starts a new wait, as the request has lost a server that had brought events.
   *
   * @param lastEventMs - when the last event came, monotonic milliseconds
   */
  start(lastEventMs: number): void {
    this.startMs = lastEventMs;
    this.pauseMs = MIN_PAUSE_MS;
    this.unexecuted.start();
  }

  /**
   * Records a call that no server executed.
   *
   * @param outcome - outcome of the call
   * @param answer - the answer; one that has begun goes on until the wait is over
   * @returns whether another call may be made
   */
  recordUnexecuted(
    outcome: CallOutcome,
    {hasBegun}: Pick<AnswerWriter, 'hasBegun'>,
  ): boolean {
    const nowMs = this.options.clock.now();
    const isAllowed = this.unexecuted.record(outcome, nowMs);
    return isAllowed || (hasBegun && nowMs < this.computeEndMs());
  }

  /** Computes when the wait ends, monotonic milliseconds. */
  computeEndMs(): number {
    return this.unexecuted.computeSlotWaitEndMs(this.computeLeaveMs());
  }

  /** Describes the time that a call may take, for which others may have been executed before. */
  describeCallerTime(executedCalls: number): CallerTime {
    return {
      leftMs: this.computeLeaveMs() - this.options.clock.now(),
      executedCalls,
    };
  }

  /** Computes when the caller leaves unless it gets an event, monotonic milliseconds. */
  private computeLeaveMs(): number {
    return Math.min(this.deadlineMs, this.startMs + this.maxGapMs);
  }

  /**
   * Pauses until a request whose answer has begun may ask for a slot again, after
   * a refusal that would cut the answer, and until a server is listed.
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
    const {clock} = this.options;
    const untilMs = clock.now() + this.pauseMs;
    this.pauseMs *= 2;
    while (!signal.aborted) {
      if (clock.now() + MIN_PAUSE_MS >= this.computeEndMs()) return false;
      await clock.sleep(MIN_PAUSE_MS, signal);
      if (clock.now() >= untilMs && this.isAnyServerListed()) return true;
    }
    return true;
  }

  private isAnyServerListed(): boolean {
    const {registry} = this.options;
    return registry.listServers(this.plan.service).length > 0;
  }
}
