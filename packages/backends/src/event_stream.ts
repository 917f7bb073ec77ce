/** Reads server-sent events from the bytes of an answer. */
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

/** Longest line of a stream, characters. */
const MAX_LINE_LENGTH = 4 * 1024 * 1024;

/** Collects the fields of one event. */
class EventBuilder {
  private fields: ServerSentEventFields = {data: []};

  /**
   * Adds one line of the stream.
   *
   * @returns the finished event after its blank line
   */
  add(line: string): ServerSentEvent | undefined {
    if (line === '') return this.finish();
    addServerSentEventLine(this.fields, line);
    return undefined;
  }

  private finish(): ServerSentEvent | undefined {
    const {id, data} = this.fields;
    if (data.length === 0) return undefined;
    this.fields = {data: []};
    return {id, data: data.join('\n')};
  }
}

/**
 * Reads events until the bytes end; an unfinished event at the end is dropped.
 *
 * @param body - bytes of a `text/event-stream`
 */
export async function* readEvents(
  body: AsyncIterable<Buffer>,
): AsyncGenerator<ServerSentEvent, void, void> {
  const decoder = new TextDecoder();
  const builder = new EventBuilder();
  let rest = '';
  for await (const bytes of body) {
    rest += decoder.decode(bytes, {stream: true});
    const lines = rest.split('\n');
    rest = lines.pop() ?? '';
    if (rest.length > MAX_LINE_LENGTH) throw new Error('a line is too long');
    for (const line of lines) {
      const event = builder.add(line.replace(/\r$/, ''));
      if (event) yield event;
    }
  }
}
