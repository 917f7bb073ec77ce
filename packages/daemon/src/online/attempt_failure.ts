/** Classifies failed calls to backend servers. */
import {ErrorCode, type SavoryspurError} from '@savoryspur/common';
import {SlotUsageEnd} from '@savoryspur/routing';

/** How a slot's use ended, by error code of the backend call. */
const SLOT_USAGE_ENDS: Partial<Record<ErrorCode, SlotUsageEnd>> = {
  [ErrorCode.UNAVAILABLE]: SlotUsageEnd.NOT_SENT,
  [ErrorCode.BROKEN_ANSWER]: SlotUsageEnd.CRASHED,
  [ErrorCode.TIMEOUT]: SlotUsageEnd.FAILED,
  [ErrorCode.REMOTE_ERROR]: SlotUsageEnd.FAILED,
  [ErrorCode.CANCELLED]: SlotUsageEnd.CANCELLED,
  [ErrorCode.REVOKED]: SlotUsageEnd.CANCELLED,
};

/** Gets how the use of a slot ended, from the error of its backend call. */
export function getSlotUsageEnd(error: SavoryspurError): SlotUsageEnd {
  return SLOT_USAGE_ENDS[error.code] ?? SlotUsageEnd.FAILED;
}

/**
 * Error codes after which a request that is idempotent or was never sent may be
 * retried on another server.
 */
const RETRYABLE_CODES = new Set<ErrorCode>([
  ErrorCode.UNAVAILABLE,
  ErrorCode.BROKEN_ANSWER,
  ErrorCode.TIMEOUT,
  ErrorCode.REMOTE_ERROR,
]);

/**
 * Tells whether a failed request may be retried on another server, provided
 * that it is idempotent or was never sent.
 */
export function isRetryable(error: SavoryspurError): boolean {
  return RETRYABLE_CODES.has(error.code);
}
