/** Exit codes of the command line. */
import {ErrorCode} from '@savoryspur/common';

/** Exit codes of the program; documented in docs/operations/command_line.md. */
export enum ExitCode {
  OK = 0,
  /** An unexpected error in the program or in the daemon. */
  INTERNAL = 1,
  /** A flag, an argument or an environment variable is missing or invalid. */
  USAGE = 2,
  /** The environment document or a value in it is invalid. */
  INVALID_INPUT = 3,
  /** No daemon answered, or the daemon cannot reach the storage; nothing was changed. */
  UNREACHABLE = 4,
  /** The operator's token is missing, invalid or not permitted to do this. */
  UNAUTHENTICATED = 5,
  /** No entity has the requested name or id. */
  NOT_FOUND = 6,
  /** Another change was committed first, or the digest does not match. */
  CONFLICT = 7,
  /** The change may or may not have taken effect. */
  UNKNOWN_OUTCOME = 8,
  /** The daemon refused for another reason. */
  REFUSED = 9,
}

const EXIT_BY_CODE = new Map<string, ExitCode>([
  [ErrorCode.INVALID_INPUT, ExitCode.INVALID_INPUT],
  [ErrorCode.UNAUTHENTICATED, ExitCode.UNAUTHENTICATED],
  [ErrorCode.FORBIDDEN, ExitCode.UNAUTHENTICATED],
  [ErrorCode.NOT_FOUND, ExitCode.NOT_FOUND],
  [ErrorCode.CONFLICT, ExitCode.CONFLICT],
  [ErrorCode.UNAVAILABLE, ExitCode.UNREACHABLE],
  [ErrorCode.AMBIGUOUS, ExitCode.UNKNOWN_OUTCOME],
  [ErrorCode.TIMEOUT, ExitCode.UNKNOWN_OUTCOME],
  [ErrorCode.INTERNAL, ExitCode.INTERNAL],
]);

/** Chooses the exit code for the error code of a daemon. */
export function chooseExitCode(code: string): ExitCode {
  return EXIT_BY_CODE.get(code) ?? ExitCode.REFUSED;
}
