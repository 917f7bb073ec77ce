/** Fields of the lines of an event stream. */

/** Fields of one event as its lines gave them. */
export interface ServerSentEventFields {
  /** Number of the event; undefined when it has none. */
  id?: number;
  /** Lines of its data. */
  data: string[];
}

/**
 * Adds what one line of an event says; other fields and comments are left out.
 *
 * @param fields - the event so far
 * @param line - a line that is not blank
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
