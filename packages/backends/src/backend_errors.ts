/**
 * Classifies failed calls of backend servers by whether any byte of the request
 * can have left this host.
 */
import {
  ConnectFailedError,
  ErrorCode,
  type ErrorOrigin,
  SavoryspurError,
} from '@savoryspur/common';
import type {BufferedAnswer} from './backend_clients.js';

/** Error codes of failed connection attempts: no byte of the request was sent. */
const CONNECT_ERROR_CODES: ReadonlySet<string> = new Set([
  'UND_ERR_CONNECT_TIMEOUT',
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'ENOTFOUND',
]);

/** Error codes of timeouts that expire after the request was sent. */
const TIMEOUT_ERROR_CODES: ReadonlySet<string> = new Set([
  'UND_ERR_HEADERS_TIMEOUT',
  'UND_ERR_BODY_TIMEOUT',
  'ETIMEDOUT',
]);

/** HTTP status of an engine that accepts no requests at present. */
const STATUS_UNAVAILABLE = 503;

/** Error for an answer in which a backend server refuses or fails a request. */
export class BackendRefusal extends SavoryspurError {
  /**
   * @param origin - step and peer
   * @param answer - the unchanged answer of the server
   * @param isNotRun - whether the server states that it did not run the request
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

/** Fields of a Node.js system error or an undici error. */
interface CodedError {
  code?: string;
  syscall?: string;
}

/** Tells whether a call failed before its connection was established. */
function isConnectFailure(error: CodedError): boolean {
  if (error instanceof ConnectFailedError) return true;
  if (error.code === undefined) return false;
  if (CONNECT_ERROR_CODES.has(error.code)) return true;
  return error.syscall === 'connect';
}

/**
 * Converts a value that undici threw into a typed error.
 *
 * @param thrown - the caught value
 * @param origin - step and peer
 * @param signal - abort signal of the call
 * @returns an error with code CANCELLED when the signal is aborted, UNAVAILABLE
 *     when no byte of the request was sent, TIMEOUT or BROKEN_ANSWER otherwise
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
  const isTimeout = TIMEOUT_ERROR_CODES.has(error.code ?? '');
  const code = isTimeout ? ErrorCode.TIMEOUT : ErrorCode.BROKEN_ANSWER;
  return new SavoryspurError(code, origin, message, options);
}

/** Tells whether an answer states that the engine did not run the request. */
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
