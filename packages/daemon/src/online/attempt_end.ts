/** How the failure of an attempt is told to routing. */
import {ErrorCode, type SavoryspurError} from '@savoryspur/common';
import {SlotUsageEnd} from '@savoryspur/routing';

/** End of a placement for each error code of a backend call. */
const PLACEMENT_ENDS: Partial<Record<ErrorCode, SlotUsageEnd>> = {
  [ErrorCode.UNAVAILABLE]: SlotUsageEnd.NOT_SENT,
  [ErrorCode.BROKEN_ANSWER]: SlotUsageEnd.CRASHED,
  [ErrorCode.TIMEOUT]: SlotUsageEnd.FAILED,
  [ErrorCode.REMOTE_ERROR]: SlotUsageEnd.FAILED,
  [ErrorCode.CANCELLED]: SlotUsageEnd.CANCELLED,
  [ErrorCode.REVOKED]: SlotUsageEnd.CANCELLED,
};

/** Gets the end of a placement whose backend call failed. */
export function getPlacementEnd(error: SavoryspurError): SlotUsageEnd {
  return PLACEMENT_ENDS[error.code] ?? SlotUsageEnd.FAILED;
}

/** Codes after which an idempotent request may run on another server. */
const RETRYABLE_CODES = new Set<ErrorCode>([
  ErrorCode.UNAVAILABLE,
  ErrorCode.BROKEN_ANSWER,
  ErrorCode.TIMEOUT,
  ErrorCode.REMOTE_ERROR,
]);

/** Tells whether an idempotent request is worth another attempt. */
export function isRetryable(error: SavoryspurError): boolean {
  return RETRYABLE_CODES.has(error.code);
}
