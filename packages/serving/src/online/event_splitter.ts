/** Splits the bytes of a server-sent event stream into complete events. */
import {
  addServerSentEventLine,
  type ServerSentEventFields,
} from '@savoryspur/common';

/** One complete event of a stream with its original bytes. */
export interface RawEvent {
  /** Bytes of the event with its closing blank line. */
  bytes: Buffer;
  /** Sequence number from the `id` field; undefined when the event has none. */
  id?: number;
  /** Values of the `data` fields, joined by line feeds. */
  data: string;
  /** Whether one of its lines belongs to no event, such as a line of an error that the server wrote into its stream. */
  isMalformed: boolean;
}

/** Result of {@link EventSplitter.add}. */
export interface SplitEvents {
  events: RawEvent[];
  /** Why the stream can't be read any further; undefined while it can. */
  error?: string;
}

/** Maximum size of an event, bytes. */
const MAX_EVENT_BYTES = 1024 * 1024;

/** Lines of an event: comments, the standard fields, and extension fields, whose names are in lower case. */
const EVENT_LINE = /^(|:.*|(id|data|event|retry)(:.*)?|x-[a-z-]+:.*)$/;

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** Buffers the bytes of one stream until an event is complete. */
export class EventSplitter {
  private partialEvent: Buffer = Buffer.alloc(0);

  /**
   * Appends bytes to the buffer and removes the events that are complete.
   *
   * @param bytes - next bytes of the stream
   * @returns the events that these bytes complete, in order, and an error when
   *     the incomplete event after them is larger than {@link MAX_EVENT_BYTES}
   */
  add(bytes: Buffer): SplitEvents {
    this.partialEvent =
      this.partialEvent.length === 0
        ? bytes
        : Buffer.concat([this.partialEvent, bytes]);
    const events: RawEvent[] = [];
    let end = findEventEnd(this.partialEvent);
    while (end > 0) {
      events.push(parseEvent(this.partialEvent.subarray(0, end)));
      this.partialEvent = this.partialEvent.subarray(end);
      end = findEventEnd(this.partialEvent);
    }
    if (this.partialEvent.length <= MAX_EVENT_BYTES) return {events};
    return {
      events,
      error: `an event is larger than ${MAX_EVENT_BYTES} bytes`,
    };
  }

  /** Counts the bytes of the incomplete event. */
  countBytes(): number {
    return this.partialEvent.length;
  }

  /** Whether the buffer holds bytes of an incomplete event. */
  hasPartialEvent(): boolean {
    return this.partialEvent.length > 0;
  }
}

/** Whether an event has neither an id nor data, as a comment or a blank line. */
export function isComment(event: RawEvent): boolean {
  return event.id === undefined && event.data === '';
}

/**
 * Checks that an event follows the last one of its stream.
 *
 * @param event - an event that is no comment
 * @param lastEventId - id of the last event; undefined before the first one and
 *     in streams without ids
 * @returns description of the gap or repeat; undefined when there is none
 */
export function findOrderError(
  event: RawEvent,
  lastEventId: number | undefined,
): string | undefined {
  if (lastEventId === undefined || event.id === lastEventId + 1) return;
  return event.id === undefined
    ? `an event without an id follows event ${lastEventId}`
    : `event ${event.id} does not follow event ${lastEventId}`;
}

/** Finds the index after the first blank line, which ends an event; 0 when there is none. */
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
  const fields: ServerSentEventFields = {data: []};
  let isMalformed = false;
  for (const line of bytes.toString('utf8').split(/\r?\n/)) {
    addServerSentEventLine(fields, line);
    isMalformed ||= !EVENT_LINE.test(line);
  }
  return {bytes, id: fields.id, data: fields.data.join('\n'), isMalformed};
}
