/** Parses JSON from another process and checks it against a schema. */
import {type FieldError, formatFieldError} from '@savoryspur/schema';
import {err, type Result} from 'neverthrow';
import {ErrorCode, type ErrorOrigin, SavoryspurError} from './errors.js';

/**
 * Parses and checks one document.
 *
 * @param bytes - JSON; undefined counts as no document
 * @param validate - check of the generated schema
 * @param origin - step and peer that an error names
 * @returns the document, or an error with code BROKEN_ANSWER
 */
export function parseDocument<T>(
  bytes: Buffer | undefined,
  validate: (value: unknown) => Result<T, FieldError>,
  origin: ErrorOrigin,
): Result<T, SavoryspurError> {
  const code = ErrorCode.BROKEN_ANSWER;
  let value: unknown;
  try {
    value = JSON.parse(bytes?.toString('utf8') ?? '');
  } catch (cause) {
    const message = 'the answer is not JSON';
    return err(new SavoryspurError(code, origin, message, {cause}));
  }
  return validate(value).mapErr(
    (error) => new SavoryspurError(code, origin, formatFieldError(error)),
  );
}
