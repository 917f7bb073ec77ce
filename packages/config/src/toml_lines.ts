/** Finds the line of a field in the text of a TOML document. */

/** Header of an array of tables, such as `[[workspaces]]`. */
const ARRAY_HEADER = /^\s*\[\[\s*([A-Za-z0-9_-]+)\s*\]\]/;

/** Header of a table or of an array of tables. */
const ANY_HEADER = /^\s*\[/;

/** Field path such as `workspaces[2].rate` or `name`. */
const FIELD_PATH = /^(\w+)(?:\[(\d+)\])?(?:\.(\w+))?/;

/** Lines of a TOML document and the positions of its headers. */
export interface LineIndex {
  lines: readonly string[];
  /** Positions of the headers of each array of tables, from 0. */
  headers: ReadonlyMap<string, readonly number[]>;
}

/**
 * Indexes the lines of a document, so that many fields are found without
 * scanning the text for each of them.
 *
 * @param toml - text of the document
 */
export function createLineIndex(toml: string): LineIndex {
  const lines = toml.split('\n');
  const headers = new Map<string, number[]>();
  for (const [position, line] of lines.entries()) {
    const list = ARRAY_HEADER.exec(line)?.[1];
    if (list === undefined) continue;
    const positions = headers.get(list);
    if (positions) positions.push(position);
    else headers.set(list, [position]);
  }
  return {lines, headers};
}

/**
 * Finds the line of a field, or of the header of its table when the field
 * itself is absent.
 *
 * @param index - lines of the document
 * @param field - path such as `workspaces[2].rate`
 * @returns line from 1; undefined when the document has another layout, such as
 *     inline tables
 */
export function findLine(
  {lines, headers}: LineIndex,
  field: string,
): number | undefined {
  const match = FIELD_PATH.exec(field);
  if (!match?.[1]) return undefined;
  const [, list, entry, name] = match;
  if (entry === undefined) return findAssignment(lines, 0, list);
  const header = headers.get(list)?.[Number(entry)];
  if (header === undefined) return undefined;
  const assigned = name && findAssignment(lines, header + 1, name);
  return assigned || header + 1;
}

/** Finds the assignment of a key up to the next header; returns its line. */
function findAssignment(
  lines: readonly string[],
  start: number,
  name: string,
): number | undefined {
  for (let position = start; position < lines.length; position++) {
    const line = lines[position] ?? '';
    if (ANY_HEADER.test(line)) return undefined;
    const [key] = line.split('=', 1);
    if (line.includes('=') && key?.trim() === name) return position + 1;
  }
  return undefined;
}
