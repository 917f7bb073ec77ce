/** Finds the line of a field in the text of a TOML document. */

/** Header of an array of tables, such as `[[workspaces]]`. */
const ARRAY_HEADER = /^\s*\[\[\s*([A-Za-z0-9_-]+)\s*\]\]/;

/** Header of a table or of an array of tables. */
const ANY_HEADER = /^\s*\[/;

/** Field path such as `workspaces[2].rate` or `name`. */
const FIELD_PATH = /^(\w+)(?:\[(\d+)\])?(?:\.(\w+))?/;

/**
 * Finds the line of a field, or of the header of its table when the field
 * itself is absent.
 *
 * @param toml - text of the document
 * @param field - path such as `workspaces[2].rate`
 * @returns line from 1; undefined when the document has another layout, such as
 *     inline tables
 */
export function findLine(toml: string, field: string): number | undefined {
  const match = FIELD_PATH.exec(field);
  if (!match?.[1]) return undefined;
  const [, list, index, name] = match;
  const lines = toml.split('\n');
  if (index === undefined) return findAssignment(lines, 0, list);
  const header = findHeader(lines, list, Number(index));
  if (header === undefined) return undefined;
  const assigned = name && findAssignment(lines, header + 1, name);
  return assigned || header + 1;
}

/** Finds the header of an entry of a list; returns its index, from 0. */
function findHeader(
  lines: readonly string[],
  list: string,
  index: number,
): number | undefined {
  let headerCount = 0;
  for (const [position, line] of lines.entries()) {
    if (ARRAY_HEADER.exec(line)?.[1] !== list) continue;
    if (headerCount === index) return position;
    headerCount += 1;
  }
  return undefined;
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
