/** Parses the lines of server-sent events (text/event-stream). */

/** Fields of one server-sent event. */
export interface ServerSentEventFields {
  /** Numeric id of the event; undefined when the event has no numeric id. */
  id?: number;
  /** Lines of the event's data. */
  data: string[];
}

/**
 * Adds the field of one line to an event. Lines with a field other than `id`
 * and `data`, and comments, are ignored.
 *
 * @param fields - fields from the earlier lines of the event; modified
 * @param line - line that is not blank
 */
export function addServerSentEventLine(
  fields: ServerSentEventFields,
  line: string,
): void {
  const colon = line.indexOf(':');
  if (colon <= 0) return;
  const value = line.slice(colon + 1).replace(/^ /, '');
  const name = line.slice(0, colon);
  if (name === 'data') fields.data.push(value);
  if (name === 'id' && /^\d+$/.test(value)) fields.id = Number(value);
}
