/** Parses JSON documents from other processes and validates them against a schema. */
import {type FieldError, formatFieldError} from '@savoryspur/schema';
import {err, type Result} from 'neverthrow';
import {ErrorCode, type ErrorOrigin, SavoryspurError} from './errors.js';

/**
 * Parses and validates one document.
 *
 * @param bytes - JSON document; undefined when it is missing, which is an error
 * @param validate - generated validator of the schema
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
