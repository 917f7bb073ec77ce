/** Measures the times of one call to a backend server, which pool owners learn from. */
import type {Clock} from '@savoryspur/common';
import type {CallTimes} from '@savoryspur/schema';

/** Feature that a pool owner announces when it accepts {@link CallTimes} and the route of a slot request. */
export const CALL_TIMES_FEATURE = 'call_times';

/** Feature that a daemon announces when it hands pools over and accepts calls that others pass on. */
export const HAND_OVER_FEATURE = 'hand_over';

/** Feature that a pool owner announces when it accepts the deadline of the caller in a slot request. */
export const CALLER_DEADLINE_FEATURE = 'caller_deadline';

/** Feature that a pool owner announces when a slot request may say when its answer must be complete. */
export const ANSWER_DEADLINE_FEATURE = 'answer_deadline';

/** Feature that a pool owner announces when a slot request may say whether its request may run more than once. */
export const RETRYABLE_REQUESTS_FEATURE = 'retryable_requests';

/** Feature that a pool owner announces when it keeps to the rollouts of services. */
export const ROLLOUTS_FEATURE = 'rollouts';

/** Features that the pool owners of this release announce. */
export const POOL_OWNER_FEATURES: readonly string[] = [
  CALL_TIMES_FEATURE,
  HAND_OVER_FEATURE,
  CALLER_DEADLINE_FEATURE,
  ANSWER_DEADLINE_FEATURE,
  RETRYABLE_REQUESTS_FEATURE,
  ROLLOUTS_FEATURE,
];

/** Fraction of the time between the first and the last event above which a wait for the reader hides the pace of the server. */
const MAX_READER_WAIT_FRACTION = 0.1;

/** Measures one call to a server from its start to its last event. */
export class CallTimer {
  private readonly startMs: number;
  private firstEventMs: number | undefined;
  private lastEventMs = 0;
  private longestPauseMs = 0;
  private events = 0;
  /** Time for which the answer waited for its reader since the first event, milliseconds. */
  private readerWaitMs = 0;
  /** Part of this time until the last event, milliseconds. */
  private readerWaitAtEventMs = 0;

  /**
   * @param route - name of the route of the request
   * @param clock - source of time
   */
  constructor(
    private readonly route: string,
    private readonly clock: Pick<Clock, 'now'>,
  ) {
    this.startMs = clock.now();
  }

  /** Records the head of an answer that is no stream. */
  recordHead(): void {
    this.firstEventMs ??= this.clock.now();
  }

  /** Records an event of a stream. */
  recordEvent(): void {
    const nowMs = this.clock.now();
    if (this.events > 0) {
      const readerMs = this.readerWaitMs - this.readerWaitAtEventMs;
      const pauseMs = nowMs - this.lastEventMs - readerMs;
      this.longestPauseMs = Math.max(this.longestPauseMs, pauseMs);
    }
    this.lastEventMs = nowMs;
    this.readerWaitAtEventMs = this.readerWaitMs;
    this.firstEventMs ??= nowMs;
    this.events += 1;
  }

  /** Records that the answer waits for its reader until the promise is settled. */
  async waitForReader(write: Promise<void>): Promise<void> {
    const startMs = this.clock.now();
    await write;
    this.readerWaitMs += this.clock.now() - startMs;
  }

  /** Gets the longest silences of the server so far, without the time of the reader, milliseconds. */
  getSilences(): {firstEventMs?: number; longestPauseMs?: number} {
    const {firstEventMs} = this.getTimes();
    if (this.events < 2) return {firstEventMs};
    return {firstEventMs, longestPauseMs: this.longestPauseMs};
  }

  /** Gets the times of the call so far. */
  getTimes(): CallTimes {
    const {route, events} = this;
    if (this.firstEventMs === undefined) return {route, events};
    const firstEventMs = this.firstEventMs - this.startMs;
    const spanMs = this.lastEventMs - this.firstEventMs;
    const isReaderSlow = this.readerWaitMs > spanMs * MAX_READER_WAIT_FRACTION;
    if (events < 2 || isReaderSlow) return {route, events, firstEventMs};
    return {route, events, firstEventMs, eventMs: spanMs / (events - 1)};
  }
}
