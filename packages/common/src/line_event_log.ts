/**
 * Event log that writes JSON lines to a stream. Lines are buffered and written
 * in batches. When the reader of the stream is slow or the rate of lines exceeds
 * its limit, lines are dropped and counted; logging never blocks the process.
 */
import type {Clock} from './clock.js';
import {EventLevel} from './event_level.js';
import {type EventFields, type EventLog, formatEventLine} from './event_log.js';
import {EVENT_CATALOGUE, ServingEvent} from './events/index.js';

/** Longest time for which a line is buffered before it is written, milliseconds. */
const FLUSH_INTERVAL_MS = 100;

/** Limit on the lines per second of routine events, which have level debug or info. */
const MAX_ROUTINE_LINES_PER_SECOND = 200;

/** Limit on the lines per second of problem events, which have level warn or error. */
const MAX_PROBLEM_LINES_PER_SECOND = 400;

/** Limit on the bytes that the stream buffers for a slow reader; above it, lines are dropped. */
const MAX_BUFFERED_BYTES = 1024 * 1024;

/** Milliseconds per second. */
const MS_PER_SECOND = 1000;

/** Destination of the lines: the part of a Node.js writable stream that the log uses. */
export interface LineSink {
  write(text: string): boolean;
  readonly writableLength: number;
}

/** Levels of routine events. */
const ROUTINE_LEVELS = new Set([EventLevel.DEBUG, EventLevel.INFO]);

/** Rank of each level; a higher rank is more severe. */
const LEVEL_RANKS: Record<EventLevel, number> = {
  [EventLevel.DEBUG]: 0,
  [EventLevel.INFO]: 1,
  [EventLevel.WARN]: 2,
  [EventLevel.ERROR]: 3,
};

/** Numbers of lines that may still be written in the current window of one second. */
interface LineBudget {
  routine: number;
  problem: number;
  windowStartMs: number;
}

/** Event log that writes rate-limited JSON lines to a stream. */
export class LineEventLog implements EventLog {
  private bufferedLines: string[] = [];
  private droppedSinceReport = 0;
  private droppedTotal = 0;
  private flushTimer: NodeJS.Timeout | undefined;
  private budget: LineBudget;

  /**
   * @param host - name of this host, part of each line
   * @param clock - source of time
   * @param sink - destination of the lines
   * @param minLevel - lowest level that is written; events below it are ignored
   */
  constructor(
    private readonly host: string,
    private readonly clock: Clock,
    private readonly sink: LineSink,
    private readonly minLevel = EventLevel.INFO,
  ) {
    this.budget = this.createLineBudget();
  }

  /** Counts the lines that were dropped since the log was created. */
  countDropped(): number {
    return this.droppedTotal;
  }

  /** {@inheritDoc EventLog.record} */
  record(event: number, fields: EventFields = {}): void {
    const level = EVENT_CATALOGUE.get(event)?.level ?? EventLevel.ERROR;
    if (LEVEL_RANKS[level] < LEVEL_RANKS[this.minLevel]) return;
    if (!this.spendLine(level)) {
      this.droppedSinceReport += 1;
      this.droppedTotal += 1;
      return;
    }
    this.appendLine(event, fields);
  }

  /** Writes the buffered lines, or drops them when the reader of the stream is too slow. */
  flush(): void {
    clearTimeout(this.flushTimer);
    this.flushTimer = undefined;
    if (this.sink.writableLength > MAX_BUFFERED_BYTES) {
      this.droppedSinceReport += this.bufferedLines.length;
      this.droppedTotal += this.bufferedLines.length;
      this.bufferedLines = [];
      return;
    }
    if (this.droppedSinceReport > 0) {
      const count = this.droppedSinceReport;
      this.droppedSinceReport = 0;
      this.appendLine(ServingEvent.LINES_DROPPED, {count});
    }
    if (this.bufferedLines.length === 0) return;
    this.sink.write(`${this.bufferedLines.join('\n')}\n`);
    this.bufferedLines = [];
  }

  private appendLine(event: number, fields: EventFields): void {
    this.bufferedLines.push(
      formatEventLine(event, this.host, this.clock, fields),
    );
    if (this.flushTimer) return;
    this.flushTimer = setTimeout(() => this.flush(), FLUSH_INTERVAL_MS);
    this.flushTimer.unref();
  }

  /** Counts one line against the budget of the current second; returns false when the budget is used up. */
  private spendLine(level: EventLevel): boolean {
    if (this.clock.now() - this.budget.windowStartMs >= MS_PER_SECOND) {
      this.budget = this.createLineBudget();
    }
    const kind = ROUTINE_LEVELS.has(level) ? 'routine' : 'problem';
    if (this.budget[kind] <= 0) return false;
    this.budget[kind] -= 1;
    return true;
  }

  private createLineBudget(): LineBudget {
    return {
      routine: MAX_ROUTINE_LINES_PER_SECOND,
      problem: MAX_PROBLEM_LINES_PER_SECOND,
      windowStartMs: this.clock.now(),
    };
  }
}
