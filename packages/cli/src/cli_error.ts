/** Failure of a command: a message for the operator and the exit code. */
import type {ExitCode} from './exit_code.js';

/** Failure of a command, which ends the program. */
export interface CliError {
  exitCode: ExitCode;
  /** Message for the operator, one line for each error found. */
  message: string;
}

/**
 * Creates a failure whose message names a field, the value that was found in it
 * and the value that was expected.
 */
export function createFieldError(
  exitCode: ExitCode,
  field: string,
  found: string,
  expected: string,
): CliError {
  return {exitCode, message: `${field}: found ${found}, expected ${expected}`};
}
