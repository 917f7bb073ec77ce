/** Splits the bytes of an event stream into whole events. */
import {addEventLine, type StreamEventFields} from '@savoryspur/common';

/** One event with its bytes. */
export interface RawEvent {
  /** Bytes of the event with its closing blank line. */
  bytes: Buffer;
  /** Number of the event; undefined when it has none. */
  id?: number;
  /** Data lines, joined by line feeds. */
  data: string;
}

/** Largest event, bytes. */
const MAX_EVENT_BYTES = 1024 * 1024;

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** Collects bytes until an event is whole. */
export class EventSplitter {
  private rest: Buffer = Buffer.alloc(0);

  /**
   * Takes in bytes.
   *
   * @param bytes - next bytes of the stream
   * @returns the events that are whole now
   */
  add(bytes: Buffer): RawEvent[] {
    this.rest =
      this.rest.length === 0 ? bytes : Buffer.concat([this.rest, bytes]);
    const events: RawEvent[] = [];
    let end = findEventEnd(this.rest);
    while (end > 0) {
      events.push(parseEvent(this.rest.subarray(0, end)));
      this.rest = this.rest.subarray(end);
      end = findEventEnd(this.rest);
    }
    if (this.rest.length > MAX_EVENT_BYTES) {
      throw new Error(`an event is larger than ${MAX_EVENT_BYTES} bytes`);
    }
    return events;
  }

  /** Whether bytes of an unfinished event are left. */
  hasRest(): boolean {
    return this.rest.length > 0;
  }
}

/** Finds the index after the first blank line; 0 when there is none. */
function findEventEnd(bytes: Buffer): number {
  let lineStart = 0;
  let index = bytes.indexOf(LINE_FEED);
  while (index >= 0) {
    let lineEnd = index;
    if (lineEnd > lineStart && bytes[lineEnd - 1] === CARRIAGE_RETURN) {
      lineEnd -= 1;
    }
    if (lineEnd === lineStart) return index + 1;
    lineStart = index + 1;
    index = bytes.indexOf(LINE_FEED, lineStart);
  }
  return 0;
}

function parseEvent(bytes: Buffer): RawEvent {
  const fields: StreamEventFields = {data: []};
  for (const line of bytes.toString('utf8').split(/\r?\n/)) {
    addEventLine(fields, line);
  }
  return {bytes, id: fields.id, data: fields.data.join('\n')};
}
