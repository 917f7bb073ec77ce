/** Classification of failed calls: whether any byte can have left this host. */
import {ErrorCode, type ErrorOrigin, SavoryspurError} from '@savoryspur/common';
import type {BufferedAnswer} from './backend_clients.js';

/** Failures of a connect; nothing of the request has been sent. */
const CONNECT_CODES: ReadonlySet<string> = new Set([
  'UND_ERR_CONNECT_TIMEOUT',
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'ENOTFOUND',
]);

/** Bounds that ran out after the request was sent. */
const TIMEOUT_CODES: ReadonlySet<string> = new Set([
  'UND_ERR_HEADERS_TIMEOUT',
  'UND_ERR_BODY_TIMEOUT',
  'ETIMEDOUT',
]);

/** Status with which an engine says that it takes no requests. */
const STATUS_UNAVAILABLE = 503;

/** Whole answer of a backend server that refuses or fails a request. */
export class BackendRefusal extends SavoryspurError {
  /**
   * @param origin - step and peer
   * @param answer - the answer as it came
   * @param isNotRun - whether the server says that the request was not run
   */
  constructor(
    origin: ErrorOrigin,
    readonly answer: BufferedAnswer,
    readonly isNotRun: boolean,
  ) {
    super(ErrorCode.REMOTE_ERROR, origin, `status ${answer.statusCode}`);
    this.name = 'BackendRefusal';
  }
}

/** Fields of a system or undici error. */
interface CodedError {
  code?: string;
  syscall?: string;
}

/** Tells whether a failure arose before a connection stood. */
function isConnectFailure(error: CodedError): boolean {
  if (error.code === undefined) return false;
  if (CONNECT_CODES.has(error.code)) return true;
  return error.syscall === 'connect';
}

/**
 * Converts what undici threw into a typed error.
 *
 * @param thrown - the caught value
 * @param origin - step and peer
 * @param signal - the caller's signal
 */
export function toBackendError(
  thrown: unknown,
  origin: ErrorOrigin,
  signal: AbortSignal,
): SavoryspurError {
  if (thrown instanceof SavoryspurError) return thrown;
  const error = thrown as CodedError & Error;
  const message = thrown instanceof Error ? thrown.message : String(thrown);
  const options = {cause: thrown};
  if (signal.aborted) {
    return new SavoryspurError(
      ErrorCode.CANCELLED,
      origin,
      'the call was cancelled',
      options,
    );
  }
  if (isConnectFailure(error)) {
    return new SavoryspurError(ErrorCode.UNAVAILABLE, origin, message, options);
  }
  const isTimeout = TIMEOUT_CODES.has(error.code ?? '');
  const code = isTimeout ? ErrorCode.TIMEOUT : ErrorCode.BROKEN_ANSWER;
  return new SavoryspurError(code, origin, message, options);
}

/** Tells whether an engine says that it did not run a request. */
export function isNotRun(answer: BufferedAnswer): boolean {
  if (answer.statusCode !== STATUS_UNAVAILABLE) return false;
  try {
    const body = JSON.parse(answer.body.toString('utf8')) as {
      error?: {code?: string};
    };
    return body.error?.code === 'not_run';
  } catch (thrown) {
    return false;
  }
}
