/**
 * Log events, written as one JSON object per line. Each event has a number; the
 * catalogue in `events/` defines its severity and text.
 */
import createDebug from 'debug';
import type {Clock} from './clock.js';
import {EventLevel} from './event_level.js';
import {EVENT_CATALOGUE} from './events/index.js';

/** Fields of one occurrence of an event; all of them are part of the log line. */
export interface EventFields {
  /** Step in which the event occurred. */
  step?: string;
  /** Peer that the step concerned. */
  peer?: string;
  /** Id of the request that the event concerns. */
  requestId?: string;
  [field: string]: unknown;
}

/** Destination of log events. */
export interface EventLog {
  /**
   * Records one occurrence of an event.
   *
   * @param event - event number from the catalogue
   * @param fields - details of this occurrence
   */
  record(event: number, fields?: EventFields): void;
}

/**
 * Formats one event as a line of JSON. An event without a catalogue entry has
 * level error.
 *
 * @param event - event number from the catalogue
 * @param host - name of this host
 * @param clock - source of the wall-clock time
 * @param fields - details of this occurrence
 */
export function formatEventLine(
  event: number,
  host: string,
  clock: Clock,
  fields: EventFields,
): string {
  const definition = EVENT_CATALOGUE.get(event);
  return JSON.stringify({
    time: clock.nowWall().toISOString(),
    level: definition?.level ?? EventLevel.ERROR,
    event,
    text: definition?.text ?? 'event without a catalogue entry',
    host,
    ...fields,
  });
}

/** Event log that writes JSON lines to standard error, by level, with the npm package `debug`. */
export class DebugEventLog implements EventLog {
  private readonly writers = new Map<EventLevel, createDebug.Debugger>();

  /**
   * @param host - name of this host, part of each line
   * @param clock - source of the wall-clock time
   */
  constructor(
    private readonly host: string,
    private readonly clock: Clock,
  ) {
    for (const level of Object.values(EventLevel)) {
      const writer = createDebug(`savoryspur:${level}`);
      writer.log = (line: string) => process.stderr.write(`${line}\n`);
      this.writers.set(level, writer);
    }
  }

  /** {@inheritDoc EventLog.record} */
  record(event: number, fields: EventFields = {}): void {
    const definition = EVENT_CATALOGUE.get(event);
    const level = definition?.level ?? EventLevel.ERROR;
    const writer = this.writers.get(level);
    if (!writer?.enabled) return;
    writer.log(formatEventLine(event, this.host, this.clock, fields));
  }
}

/** Event log that keeps its events in memory; for tests. */
export class MemoryEventLog implements EventLog {
  /** Recorded events in order. */
  readonly records: Array<{event: number; fields: EventFields}> = [];

  /** {@inheritDoc EventLog.record} */
  record(event: number, fields: EventFields = {}): void {
    this.records.push({event, fields});
  }
}
