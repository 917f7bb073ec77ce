/** Reads server-sent events from the body of an answer. */
import {
  addServerSentEventLine,
  type ServerSentEventFields,
} from '@savoryspur/common';

/** One server-sent event. */
export interface ServerSentEvent {
  /** Number of the event; undefined when it has none. */
  id?: number;
  /** Data of the event. */
  data: string;
}

/** Longest line of an event stream, characters. */
const MAX_LINE_CHARACTERS = 4 * 1024 * 1024;

/** Collects the fields of one event. */
class EventBuilder {
  private fields: ServerSentEventFields = {data: []};

  /**
   * Adds one line of the stream.
   *
   * @returns the event when the line is the blank line that ends the event;
   *     undefined otherwise
   */
  addLine(line: string): ServerSentEvent | undefined {
    if (line === '') return this.finishEvent();
    addServerSentEventLine(this.fields, line);
    return undefined;
  }

  private finishEvent(): ServerSentEvent | undefined {
    const {id, data} = this.fields;
    if (data.length === 0) return undefined;
    this.fields = {data: []};
    return {id, data: data.join('\n')};
  }
}

/**
 * Reads events until the body ends. An event without its final blank line is
 * discarded.
 *
 * @param body - bytes of a `text/event-stream`
 * @throws Error when a line is longer than the limit
 */
export async function* readEvents(
  body: AsyncIterable<Buffer>,
): AsyncGenerator<ServerSentEvent, void, void> {
  const decoder = new TextDecoder();
  const builder = new EventBuilder();
  let partialLine = '';
  for await (const bytes of body) {
    partialLine += decoder.decode(bytes, {stream: true});
    const lines = partialLine.split('\n');
    partialLine = lines.pop() ?? '';
    if (partialLine.length > MAX_LINE_CHARACTERS)
      throw new Error('a line of the event stream is too long');
    for (const line of lines) {
      const event = builder.addLine(line.replace(/\r$/, ''));
      if (event) yield event;
    }
  }
}
