/** Checks by answer ids that the events of a stream belong together. */

/** Parses the `id` of an event's JSON object; undefined when it has none. */
function parseId(data: string): string | undefined {
  try {
    const id = (JSON.parse(data) as {id?: unknown} | null)?.id;
    return typeof id === 'string' ? id : undefined;
  } catch (thrown) {
    return undefined;
  }
}

/**
 * Checks that the events of one stream belong to one answer: an engine writes
 * the id of the answer into the data of each event.
 */
export class AnswerIdMatcher {
  private id: string | undefined;

  /**
   * Compares the id of an event with the id of the earlier events.
   *
   * @param data - data of the event
   * @returns false when the event carries the id of another answer; true also
   *     when the event carries no id
   */
  isSameAnswer(data: string): boolean {
    const id = parseId(data);
    if (id === undefined) return true;
    this.id ??= id;
    return id === this.id;
  }
}
