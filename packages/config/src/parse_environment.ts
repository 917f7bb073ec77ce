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
import {findLine} from './toml_lines.js';

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
  const parsed = parseToml(toml);
  if (parsed.isErr()) return err([parsed.error]);
  const checked = validateEnvironment(parsed.value);
  if (checked.isErr()) return err([addLine(toml, checked.error)]);
  const errors = [
    ...checkNoCommandFields(checked.value),
    ...checkConsistency(checked.value),
  ];
  if (errors.length > 0) {
    return err(errors.map((error) => addLine(toml, error)));
  }
  return ok(buildSortedDocument(checked.value));
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

function addLine(toml: string, error: FieldError): DocumentError {
  const line = findLine(toml, error.field);
  return line === undefined ? error : {...error, line};
}
