/** Builds error answers to callers. */
import {ErrorCode} from '@savoryspur/common';
import type {ServerResponse} from 'node:http';
import {type DispatchRecord, RunState} from './dispatch_record.js';

/** HTTP status and error type of an error code. */
interface RefusalForm {
  status: number;
  type: string;
}

/** HTTP status and error type by error code. */
const REFUSAL_FORMS: Record<ErrorCode, RefusalForm> = {
  [ErrorCode.INVALID_INPUT]: {status: 400, type: 'invalid_request_error'},
  [ErrorCode.UNAUTHENTICATED]: {status: 401, type: 'authentication_error'},
  [ErrorCode.FORBIDDEN]: {status: 403, type: 'permission_error'},
  [ErrorCode.NOT_FOUND]: {status: 404, type: 'invalid_request_error'},
  [ErrorCode.CONFLICT]: {status: 409, type: 'conflict_error'},
  [ErrorCode.RATE_LIMITED]: {status: 429, type: 'rate_limit_error'},
  [ErrorCode.OVERLOADED]: {status: 503, type: 'overloaded_error'},
  [ErrorCode.UNAVAILABLE]: {status: 503, type: 'unavailable_error'},
  [ErrorCode.TIMEOUT]: {status: 504, type: 'timeout_error'},
  [ErrorCode.CANCELLED]: {status: 499, type: 'cancelled_error'},
  [ErrorCode.REVOKED]: {status: 503, type: 'overloaded_error'},
  [ErrorCode.QUARANTINED]: {status: 422, type: 'quarantined_error'},
  [ErrorCode.BROKEN_ANSWER]: {status: 502, type: 'backend_error'},
  [ErrorCode.REMOTE_ERROR]: {status: 502, type: 'backend_error'},
  [ErrorCode.AMBIGUOUS]: {status: 503, type: 'unavailable_error'},
  [ErrorCode.INTERNAL]: {status: 500, type: 'internal_error'},
};

const MS_PER_SECOND = 1000;

/** Reason for which a request is answered with an error. */
export interface Refusal {
  code: ErrorCode;
  /** Error message for people. */
  message: string;
  /** Field of the request that caused the error. */
  field?: string;
  /** More specific error code for programs; absent to send `code`. */
  detail?: string;
  /** Time after which the caller may retry, milliseconds. */
  retryAfterMs?: number;
}

/** Body of an error answer. */
export interface RefusalBody {
  error: {
    message: string;
    type: string;
    code: string;
    param: string | null;
    /** Whether the request may have run on a backend server. */
    run: RunState;
    request_id: string;
  };
}

/** Builds the body of an error answer. */
export function buildRefusalBody(
  requestId: string,
  refusal: Refusal,
  record: DispatchRecord,
): RefusalBody {
  return {
    error: {
      message: refusal.message,
      type: REFUSAL_FORMS[refusal.code].type,
      code: refusal.detail ?? refusal.code,
      param: refusal.field ?? null,
      run: record.getState(),
      request_id: requestId,
    },
  };
}

/** Gets the HTTP status of an error code. */
function getRefusalStatus(code: ErrorCode): number {
  return REFUSAL_FORMS[code].status;
}

/**
 * Tells whether client libraries should retry the request: only when it has not
 * run and a retry delay is known.
 */
function isRetryAdvised(refusal: Refusal, record: DispatchRecord): boolean {
  if (refusal.retryAfterMs === undefined) return false;
  return record.getState() === RunState.NOT_RUN;
}

/**
 * Answers a request with an error.
 *
 * @param response - response to the caller; destroyed when its headers were
 *     sent already
 * @param requestId - id of the request
 * @param refusal - reason of the error
 * @param record - run state of the request
 */
export function sendRefusal(
  response: ServerResponse,
  requestId: string,
  refusal: Refusal,
  record: DispatchRecord,
): void {
  if (response.headersSent || response.destroyed) {
    response.destroy();
    return;
  }
  const body = JSON.stringify(buildRefusalBody(requestId, refusal, record));
  const headers: Record<string, string> = {
    'content-type': 'application/json',
    'content-length': String(Buffer.byteLength(body)),
    'x-request-id': requestId,
    'x-savoryspur-run': record.getState(),
    'x-should-retry': String(isRetryAdvised(refusal, record)),
  };
  if (refusal.retryAfterMs !== undefined) {
    const seconds = Math.max(
      1,
      Math.ceil(refusal.retryAfterMs / MS_PER_SECOND),
    );
    headers['retry-after'] = String(seconds);
    headers['retry-after-ms'] = String(Math.ceil(refusal.retryAfterMs));
  }
  response.writeHead(getRefusalStatus(refusal.code), headers);
  response.end(body);
}
