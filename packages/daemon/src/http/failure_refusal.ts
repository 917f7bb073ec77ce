/** Refusals that all request handlers share. */
import {ErrorCode, type SavoryspurError} from '@savoryspur/common';
import type {Refusal} from './refusal.js';

/** Retry delay reported to callers when no better estimate exists, milliseconds. */
const DEFAULT_RETRY_AFTER_MS = 1000;

/** Error codes for which the caller is told to retry later. */
const RETRY_LATER_CODES = new Set<ErrorCode>([
  ErrorCode.OVERLOADED,
  ErrorCode.UNAVAILABLE,
  ErrorCode.REVOKED,
]);

/** Converts the error of the last attempt into a refusal for the caller. */
export function convertFailure(failure: SavoryspurError): Refusal {
  const isRetryableLater = RETRY_LATER_CODES.has(failure.code);
  return {
    code: failure.code,
    message: failure.message,
    retryAfterMs: isRetryableLater
      ? (failure.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS)
      : undefined,
  };
}

/** Refuses a request that arrived before this host has any configuration. */
export function refuseUnconfigured(): Refusal {
  return {
    code: ErrorCode.UNAVAILABLE,
    detail: 'no_configuration',
    message: 'No configuration is in force on this host yet.',
    retryAfterMs: DEFAULT_RETRY_AFTER_MS,
  };
}
