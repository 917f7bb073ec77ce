/** Parses and validates environment documents. */
import {
  type Environment,
  type FieldError,
  formatFieldError,
  validateEnvironment,
} from '@savoryspur/schema';
import {err, ok, type Result} from 'neverthrow';
import {parse, TomlError} from 'smol-toml';
import {checkNoCommandFields, checkConsistency} from './consistency_checks.js';
import {buildSortedDocument} from './entities.js';
import {createLineIndex, findLine} from './toml_lines.js';

/** A validation error of a document. */
export interface DocumentError extends FieldError {
  /** Line of the text, from 1; absent when the line is unknown. */
  line?: number;
}

/** Formats a validation error as one line. */
export function formatDocumentError(error: DocumentError): string {
  const text = formatFieldError(error);
  return error.line === undefined ? text : `line ${error.line}: ${text}`;
}

/**
 * Parses an environment document and checks its schema and consistency.
 *
 * @param toml - text of the document
 * @returns the document with default values and sorted lists, or the errors
 */
export function parseEnvironment(
  toml: string,
): Result<Environment, DocumentError[]> {
  return parseUnsortedEnvironment(toml).map(buildSortedDocument);
}

/**
 * Parses an environment document like {@link parseEnvironment}, but keeps its
 * lists in the order of the text, which the lines of fields depend on.
 *
 * @param toml - text of the document
 * @returns the document with default values, or the errors
 */
export function parseUnsortedEnvironment(
  toml: string,
): Result<Environment, DocumentError[]> {
  const parsed = parseToml(toml);
  if (parsed.isErr()) return err([parsed.error]);
  const checked = validateEnvironment(parsed.value);
  if (checked.isErr()) return err(addLines(toml, [checked.error]));
  const errors = [
    ...checkNoCommandFields(checked.value),
    ...checkConsistency(checked.value),
  ];
  if (errors.length > 0) return err(addLines(toml, errors));
  return ok(checked.value);
}

/**
 * Adds the lines of the fields that errors or warnings name, where they can be
 * determined.
 *
 * @param toml - text of the document
 * @param errors - errors of the document with lists in the order of the text
 */
export function addLines<T extends FieldError>(
  toml: string,
  errors: readonly T[],
): Array<T & DocumentError> {
  const index = createLineIndex(toml);
  return errors.map((error) => {
    const line = findLine(index, error.field);
    return line === undefined ? error : {...error, line};
  });
}

function parseToml(toml: string): Result<unknown, DocumentError> {
  try {
    return ok(parse(toml));
  } catch (thrown) {
    if (!(thrown instanceof TomlError)) throw thrown;
    const [reason] = thrown.message.split('\n');
    return err({
      line: thrown.line,
      field: '(document)',
      found: (reason ?? '').replace('Invalid TOML document: ', ''),
      expected: 'valid TOML',
    });
  }
}
