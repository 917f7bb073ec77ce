/** Reads the events of a server's stream, with limits on their size and on the pauses between them. */
import {type Clock, Timeout} from '@savoryspur/common';
import {CallOutcome} from '@savoryspur/schema';
import type {GrowingReservation} from '../memory/growing_reservation.js';
import type {OtherServerSearch} from '../slots/other_server_search.js';
import {EventSplitter, isComment, type RawEvent} from './event_splitter.js';
import {
  BrokenBodyError,
  EmptyStreamError,
  NO_MEMORY_REASON,
  type ServerReply,
} from './online_types.js';

/**
 * Reads the events of a stream. Bytes that complete no event, and comments, do
 * not end a pause: a stalled server may still send a byte or a comment
 * now and then.
 *
 * @param reply - answer with the stream; dropped when a limit is exceeded
 * @param maxPauseMs - longest pause between events, milliseconds; 0 for no limit
 * @param clock - source of time
 * @param canBeEmpty - whether a stream without an event is complete, as the rest
 *     of a stream after its last event
 * @param memory - memory of the event that has not arrived in whole
 * @param otherServer - search for another server, which begins after the longest
 *     pause; the stream goes on until there is one. Without it, the stream ends then
 * @returns the events as they arrive; the time that the consumer takes for an
 *     event is no part of a pause
 * @throws {@link BrokenBodyError} when the stream stalls, ends within an event or
 *     without one, or contains an event that is malformed or too large
 */
export async function* readEvents(
  reply: ServerReply,
  maxPauseMs: number,
  clock: Clock,
  canBeEmpty = false,
  memory?: GrowingReservation,
  otherServer?: Pick<OtherServerSearch, 'begin' | 'end'>,
): AsyncGenerator<RawEvent, void, void> {
  const splitter = new EventSplitter();
  const pause = new PauseTimer(reply, maxPauseMs, clock, otherServer);
  let isEmpty = true;
  pause.begin();
  try {
    for await (const bytes of reply.body) {
      const {events, error} = splitter.add(bytes);
      for (const event of events) {
        if (event.isMalformed) throw dropMalformed(reply);
        pause.stop();
        if (!isComment(event)) pause.endSearch();
        yield event;
        pause.resume(!isComment(event));
        isEmpty &&= isComment(event);
      }
      const hasMemory =
        memory === undefined || memory.tryReserve(splitter.countBytes());
      if (error === undefined && hasMemory) continue;
      reply.drop();
      throw new BrokenBodyError(CallOutcome.BROKEN, error ?? NO_MEMORY_REASON);
    }
  } catch (thrown) {
    const error = pause.hasExpired
      ? createStallError(reply, maxPauseMs)
      : thrown;
    if (!(error instanceof BrokenBodyError)) throw error;
    const isInsideEvent = error.isInsideEvent || splitter.hasPartialEvent();
    throw new BrokenBodyError(error.outcome, error.message, isInsideEvent);
  } finally {
    pause.close();
    memory?.release();
  }
  if (pause.hasExpired) throw createStallError(reply, maxPauseMs);
  if (splitter.hasPartialEvent()) {
    const reason = 'the stream ended within an event';
    throw new BrokenBodyError(CallOutcome.BROKEN, reason, true);
  }
  if (isEmpty && !canBeEmpty) throw new EmptyStreamError();
}

/** Drops a reply after a pause without an event, or looks for another server then and drops it once there is one. */
class PauseTimer {
  /** Whether the reply was dropped. */
  hasExpired = false;
  /** Looks whether the pause is over; events come too fast for a timer of each pause. */
  private timer: NodeJS.Timeout | undefined;
  /** Waits for what has arrived when the pause is over. */
  private timeout: Timeout | undefined;
  private isRunning = false;
  private isSearching = false;
  private startedMs = 0;
  private remainingMs: number;
  /** Whether comments came in the pause; those without end make each turn of the event loop slow. */
  private hasComments = false;

  /**
   * @param reply - the reply
   * @param maxPauseMs - longest pause, milliseconds; 0 for no limit
   * @param clock - source of time
   * @param otherServer - search for another server
   */
  constructor(
    private readonly reply: ServerReply,
    private readonly maxPauseMs: number,
    private readonly clock: Clock,
    private readonly otherServer?: Pick<OtherServerSearch, 'begin' | 'end'>,
  ) {
    this.remainingMs = maxPauseMs;
  }

  /** Starts a new pause. */
  begin(): void {
    this.remainingMs = this.maxPauseMs;
    this.hasComments = false;
    this.start();
  }

  /** Continues after {@link stop}: with a new pause after progress, else with what was left of the current one. */
  resume(hasProgressed: boolean): void {
    if (hasProgressed) return this.begin();
    this.hasComments = true;
    this.start();
  }

  /** Stops the time. */
  stop(): void {
    if (!this.isRunning) return;
    this.isRunning = false;
    this.remainingMs -= this.clock.now() - this.startedMs;
  }

  /** Ends the search for another server, if there is one. */
  endSearch(): void {
    if (!this.isSearching) return;
    this.isSearching = false;
    this.otherServer?.end();
  }

  /** Ends the use of the timer. */
  close(): void {
    this.stop();
    this.endSearch();
    clearTimeout(this.timer);
    this.timeout?.cancel();
  }

  private start(): void {
    if (this.maxPauseMs <= 0 || this.hasExpired || this.isSearching) return;
    this.startedMs = this.clock.now();
    this.isRunning = true;
    if (this.timeout) return;
    this.timer ??= setTimeout(
      () => this.checkPause(),
      Math.max(0, this.remainingMs),
    );
  }

  /** Drops the reply if the pause is over and what has arrived was read, else looks again later. */
  private checkPause(): void {
    this.timer = undefined;
    if (!this.isRunning) return;
    this.stop();
    if (this.remainingMs > 0) return this.start();
    if (this.hasComments) return this.expire();
    this.isRunning = true;
    this.startedMs = this.clock.now();
    this.timeout = new Timeout(0, () => {
      this.timeout = undefined;
      if (!this.isRunning) return;
      if (this.remainingMs <= 0) this.expire();
      else this.start();
    });
  }

  private expire(): void {
    if (!this.otherServer) return this.dropReply();
    this.isSearching = true;
    this.otherServer.begin(() => this.dropReply());
  }

  private dropReply(): void {
    this.hasExpired = true;
    this.reply.drop();
  }
}

function dropMalformed(reply: ServerReply): BrokenBodyError {
  reply.drop();
  const reason = 'the stream contains a line that belongs to no event';
  return new BrokenBodyError(CallOutcome.BROKEN, reason, true);
}

/** Creates the error of a stalled stream; it says nothing about the server when the daemon that made the call may have stalled. */
function createStallError(
  {isForwarded}: ServerReply,
  maxPauseMs: number,
): BrokenBodyError {
  const reason = `the server sent no event for ${Math.round(maxPauseMs)} ms`;
  const outcome = isForwarded ? CallOutcome.ABANDONED : CallOutcome.SILENT;
  return new BrokenBodyError(outcome, reason);
}
