/**
 * Event log that writes JSON lines to a stream. Lines are buffered and written
 * in batches; when the reader is slow or the volume is over its bound, lines are
 * dropped and counted, and nothing waits.
 */
import type {Clock} from './clock.js';
import {EventLevel} from './event_level.js';
import {type EventFields, type EventLog, formatEventLine} from './event_log.js';
import {EVENT_CATALOGUE, ServingEvent} from './events/index.js';

/** Period of writes, milliseconds. */
const FLUSH_MS = 100;

/** Lines a second of events that tell of ordinary work. */
const ORDINARY_LINES_PER_SECOND = 200;

/** Lines a second of all other events. */
const OTHER_LINES_PER_SECOND = 400;

/** Most bytes that wait for a slow reader. */
const MAX_BUFFERED_BYTES = 1024 * 1024;

/** Milliseconds of a second. */
const SECOND_MS = 1000;

/** Where lines go; a part of a Node stream. */
export interface LineSink {
  write(text: string): boolean;
  readonly writableLength: number;
}

/** Levels whose lines are ordinary work. */
const ORDINARY_LEVELS = new Set([EventLevel.DEBUG, EventLevel.INFO]);

/** Order of the levels. */
const LEVEL_RANKS: Record<EventLevel, number> = {
  [EventLevel.DEBUG]: 0,
  [EventLevel.INFO]: 1,
  [EventLevel.WARN]: 2,
  [EventLevel.ERROR]: 3,
};

/** Lines of one second. */
interface Budget {
  ordinary: number;
  other: number;
  startMs: number;
}

/** Writes numbered events as JSON lines. */
export class LineEventLog implements EventLog {
  private lines: string[] = [];
  private dropped = 0;
  private droppedTotal = 0;
  private timer: NodeJS.Timeout | undefined;
  private budget: Budget;

  /**
   * @param host - name of this host, part of each line
   * @param clock - source of time
   * @param sink - where lines go
   * @param lowest - lowest level that is written
   */
  constructor(
    private readonly host: string,
    private readonly clock: Clock,
    private readonly sink: LineSink,
    private readonly lowest = EventLevel.INFO,
  ) {
    this.budget = this.createBudget();
  }

  /** Counts the lines that were dropped since the start. */
  countDropped(): number {
    return this.droppedTotal;
  }

  /** {@inheritDoc EventLog.record} */
  record(event: number, fields: EventFields = {}): void {
    const level = EVENT_CATALOGUE.get(event)?.level ?? EventLevel.ERROR;
    if (LEVEL_RANKS[level] < LEVEL_RANKS[this.lowest]) return;
    if (!this.spend(level)) {
      this.dropped += 1;
      this.droppedTotal += 1;
      return;
    }
    this.add(event, fields);
  }

  /** Writes what is buffered, unless the reader is too slow. */
  flush(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
    if (this.sink.writableLength > MAX_BUFFERED_BYTES) {
      this.dropped += this.lines.length;
      this.droppedTotal += this.lines.length;
      this.lines = [];
      return;
    }
    if (this.dropped > 0) {
      const count = this.dropped;
      this.dropped = 0;
      this.add(ServingEvent.LINES_DROPPED, {count});
    }
    if (this.lines.length === 0) return;
    this.sink.write(`${this.lines.join('\n')}\n`);
    this.lines = [];
  }

  private add(event: number, fields: EventFields): void {
    this.lines.push(formatEventLine(event, this.host, this.clock, fields));
    if (this.timer) return;
    this.timer = setTimeout(() => this.flush(), FLUSH_MS);
    this.timer.unref();
  }

  private spend(level: EventLevel): boolean {
    if (this.clock.now() - this.budget.startMs >= SECOND_MS) {
      this.budget = this.createBudget();
    }
    const kind = ORDINARY_LEVELS.has(level) ? 'ordinary' : 'other';
    if (this.budget[kind] <= 0) return false;
    this.budget[kind] -= 1;
    return true;
  }

  private createBudget(): Budget {
    return {
      ordinary: ORDINARY_LINES_PER_SECOND,
      other: OTHER_LINES_PER_SECOND,
      startMs: this.clock.now(),
    };
  }
}
