/**
 * Numbered log events over `debug`, one JSON object a line. The tables in
 * `events/` give each number its level and text.
 */
import createDebug from 'debug';
import type {Clock} from './clock.js';
import {EventLevel} from './event_level.js';
import {EVENT_CATALOGUE} from './events/index.js';

/** Fields of one occurrence. */
export interface EventFields {
  /** The step in which it occurred. */
  step?: string;
  /** The other side. */
  peer?: string;
  /** The request that it concerns. */
  requestId?: string;
  [field: string]: unknown;
}

/** Writes numbered events. */
export interface EventLog {
  /**
   * Writes one event.
   *
   * @param event - number from the catalogue
   * @param fields - details of this occurrence
   */
  record(event: number, fields?: EventFields): void;
}

/**
 * Formats one event as a line of JSON.
 *
 * @param event - number from the catalogue
 * @param host - name of this host
 * @param clock - source of wall time
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

/** Event log that writes JSON lines through `debug`. */
export class DebugEventLog implements EventLog {
  private readonly writers = new Map<EventLevel, createDebug.Debugger>();

  /**
   * @param host - name of this host, part of each line
   * @param clock - source of wall time
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

/** Event log that keeps what was written; for tests. */
export class MemoryEventLog implements EventLog {
  /** Occurrences in order. */
  readonly records: Array<{event: number; fields: EventFields}> = [];

  /** {@inheritDoc EventLog.record} */
  record(event: number, fields: EventFields = {}): void {
    this.records.push({event, fields});
  }
}
