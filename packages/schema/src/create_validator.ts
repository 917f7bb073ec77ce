/**
 * Wraps validators generated from JSON Schema into typed validators, whose
 * errors name the field, the value that was found and the value that was
 * expected.
 */
import {err, ok, type Result} from 'neverthrow';

/** A violation as reported by the generated validators (Ajv error object). */
export interface RawViolation {
  /** JSON pointer to the invalid value. */
  instancePath: string;
  /** Schema keyword that the value violates. */
  keyword: string;
  /** Parameters of the keyword. */
  params: Record<string, unknown>;
  /** Message of the violation, such as `must be integer`. */
  message?: string;
  /** The invalid value. */
  data?: unknown;
}

/** Signature of the generated validators. */
export interface RawValidator {
  (value: unknown): boolean;
  errors?: RawViolation[] | null;
}

/** Description of a value that does not match its schema. */
export interface FieldError {
  /** Path of the field, such as `workspaces[2].rate`. */
  field: string;
  /** Value that was found, as JSON truncated to a short line. */
  found: string;
  /** Value that the schema requires, as the object of "expected". */
  expected: string;
}

/** Validates an unknown value against one schema. */
export type Validator<T> = (value: unknown) => Result<T, FieldError>;

/** Longest part of a found value that an error quotes, characters. */
const MAX_FOUND_LENGTH = 60;

/** Longest part of a field path that an error quotes, characters. */
const MAX_FIELD_LENGTH = 120;

/** Number of nested levels of a found value that an error quotes; deeper ones would overflow the stack. */
const MAX_FOUND_DEPTH = 4;

/** Converts a JSON pointer to a field path, such as `workspaces[2].rate`. */
function formatField(pointer: string): string {
  const parts = pointer.split('/').slice(1);
  let path = '';
  for (const part of parts) {
    const name = part.replaceAll('~1', '/').replaceAll('~0', '~');
    path += /^\d+$/.test(name) ? `[${name}]` : path ? `.${name}` : name;
  }
  return path;
}

/** Formats a found value as JSON, truncated to one short line. */
function formatFound(value: unknown): string {
  if (value === undefined) return 'nothing';
  // JSON has no infinity: a number that is too large becomes null.
  if (value === Number.POSITIVE_INFINITY || value === Number.NEGATIVE_INFINITY)
    return String(value);
  return takeStart(
    JSON.stringify(replaceDeepLevels(value, MAX_FOUND_DEPTH)),
    MAX_FOUND_LENGTH,
  );
}

/** Replaces what is nested deeper than some levels by an ellipsis. */
function replaceDeepLevels(value: unknown, levels: number): unknown {
  if (typeof value !== 'object' || value === null) return value;
  if (levels === 0) return '…';
  const replace = (child: unknown): unknown =>
    replaceDeepLevels(child, levels - 1);
  if (Array.isArray(value)) return value.map(replace);
  return Object.fromEntries(
    Object.entries(value).map(([key, child]) => [key, replace(child)]),
  );
}

function takeStart(text: string, maxLength: number): string {
  return text.length <= maxLength ? text : `${text.slice(0, maxLength)}…`;
}

/** Starts of Ajv messages and their replacements after "expected". */
const EXPECTED_PHRASES: ReadonlyArray<[RegExp, string]> = [
  [/^must be /, ''],
  [/^must match /, 'a match of '],
  [/^must NOT have fewer than /, 'at least '],
  [/^must NOT have more than /, 'at most '],
];

/** Formats what the schema requires, as the object of "expected". */
function formatExpected(violation: RawViolation): string {
  const text = violation.message ?? violation.keyword;
  for (const [pattern, phrase] of EXPECTED_PHRASES) {
    if (pattern.test(text)) return text.replace(pattern, phrase);
  }
  return text;
}

/** Joins a parent path and a property name. */
function formatChild(parent: string, child: unknown): string {
  return parent ? `${parent}.${String(child)}` : String(child);
}

/** Converts a violation to a field error of bounded length. */
function describeViolation(violation: RawViolation): FieldError {
  const error = describeField(violation);
  return {...error, field: takeStart(error.field, MAX_FIELD_LENGTH)};
}

function describeField(violation: RawViolation): FieldError {
  const field = formatField(violation.instancePath);
  const params = violation.params;
  switch (violation.keyword) {
    case 'required':
      return {
        field: formatChild(field, params.missingProperty),
        found: 'nothing',
        expected: 'a value',
      };
    case 'additionalProperties':
      return {
        field: formatChild(field, params.additionalProperty),
        found: 'an unknown key',
        expected: 'no such key',
      };
    case 'enum':
      return {
        field,
        found: formatFound(violation.data),
        expected: `one of ${JSON.stringify(params.allowedValues)}`,
      };
    default:
      return {
        field: field || '(document)',
        found: formatFound(violation.data),
        expected: formatExpected(violation),
      };
  }
}

/**
 * Creates a typed validator from a generated one.
 *
 * @param raw - the generated validator; it fills in defaults in place
 * @returns a validator that returns the value itself, or the first violation as
 *     an error
 */
export function createValidator<T>(raw: RawValidator): Validator<T> {
  return (value: unknown) => {
    if (raw(value)) return ok(value as T);
    const violation = raw.errors?.[0];
    if (violation) return err(describeViolation(violation));
    return err({
      field: '(document)',
      found: formatFound(value),
      expected: 'a valid value',
    });
  };
}

/** Formats a field error as one line. */
export function formatFieldError(error: FieldError): string {
  return `${error.field}: found ${error.found}, expected ${error.expected}`;
}
