/** The error type of all packages: an error code, the step that failed, and its peer. */

/** Kinds of failure that the caller of a function can handle differently. */
export enum ErrorCode {
  INVALID_INPUT = 'invalid_input',
  UNAUTHENTICATED = 'unauthenticated',
  FORBIDDEN = 'forbidden',
  NOT_FOUND = 'not_found',
  CONFLICT = 'conflict',
  RATE_LIMITED = 'rate_limited',
  OVERLOADED = 'overloaded',
  UNAVAILABLE = 'unavailable',
  TIMEOUT = 'timeout',
  CANCELLED = 'cancelled',
  REVOKED = 'revoked',
  QUARANTINED = 'quarantined',
  /** The connection broke, or the answer was incomplete or invalid. */
  BROKEN_ANSWER = 'broken_answer',
  /** The peer answered with an error. */
  REMOTE_ERROR = 'remote_error',
  /** A write was sent, and it is unknown whether it took effect. */
  AMBIGUOUS = 'ambiguous',
  INTERNAL = 'internal',
}

/** Step in which an error occurred, and the peer of that step. */
export interface ErrorOrigin {
  /** The step that failed, such as `table.transact`. */
  step: string;
  /** Peer that the step concerned, such as the address of a host, a server or a service. */
  peer: string;
}

/** What is known of a failure beside its kind. */
export interface ErrorDetails extends ErrorOptions {
  /** Time after which the step may succeed, milliseconds. */
  retryAfterMs?: number;
}

/** Failure of one step that concerned one peer. */
export class SavoryspurError extends Error {
  /** Time after which the step may succeed, milliseconds; undefined when it isn't known. */
  readonly retryAfterMs: number | undefined;

  /**
   * @param code - kind of failure
   * @param origin - step and peer
   * @param message - what failed, in one clause
   * @param details - `cause` is the underlying error
   */
  constructor(
    readonly code: ErrorCode,
    readonly origin: ErrorOrigin,
    message: string,
    details?: ErrorDetails,
  ) {
    super(`${origin.step} (${origin.peer}): ${message}`, details);
    this.name = 'SavoryspurError';
    this.retryAfterMs = details?.retryAfterMs;
  }
}

/**
 * Converts a caught value into a {@link SavoryspurError}; returns the value
 * itself when it already is one.
 *
 * @param thrown - caught value
 * @param origin - step and peer that the error names
 * @param code - code of the error when the value is not a SavoryspurError
 */
export function toSavoryspurError(
  thrown: unknown,
  origin: ErrorOrigin,
  code = ErrorCode.INTERNAL,
): SavoryspurError {
  if (thrown instanceof SavoryspurError) return thrown;
  const message = thrown instanceof Error ? thrown.message : String(thrown);
  return new SavoryspurError(code, origin, message, {cause: thrown});
}
