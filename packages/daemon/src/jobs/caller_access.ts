/** Authentication and answers of handlers that call no backend server. */
import type {EnvironmentSource, SavoryspurError} from '@savoryspur/common';
import type {Result} from 'neverthrow';
import {authenticateCaller, type Caller} from '../http/authentication.js';
import type {CallerHandler, CallerRequest} from '../http/caller_request.js';
import {DispatchRecord} from '../http/dispatch_record.js';
import {sendRefusal} from '../http/refusal.js';
import {sendJson} from '../http/reply.js';
import {convertFailure, refuseUnconfigured} from '../http/failure_refusal.js';

/** Answers a request of an authenticated caller. */
export type AuthenticatedHandler = (
  request: CallerRequest,
  caller: Caller,
) => Promise<void>;

/**
 * Creates a handler that refuses callers without an active key.
 *
 * @param environment - configuration with the keys
 * @param handler - answers authenticated callers
 */
export function requireCaller(
  environment: EnvironmentSource,
  handler: AuthenticatedHandler,
): CallerHandler {
  return async (request) => {
    const {response, requestId} = request;
    const index = environment.getCurrent();
    if (!index) {
      const refusal = refuseUnconfigured();
      sendRefusal(response, requestId, refusal, new DispatchRecord());
      return;
    }
    const caller = authenticateCaller(index, request.message);
    if (caller.isErr()) {
      sendRefusal(response, requestId, caller.error, new DispatchRecord());
      return;
    }
    await handler(request, caller.value);
  };
}

/** Answers with the value of a result as JSON, or with its error. */
export function sendResult<T>(
  request: CallerRequest,
  result: Result<T, SavoryspurError>,
): void {
  if (result.isOk()) {
    const headers = {'x-request-id': request.requestId};
    sendJson(request.response, 200, result.value, headers);
    return;
  }
  sendFailure(request, result.error);
}

/** Answers with an error and run state `not_run`. */
export function sendFailure(
  request: CallerRequest,
  error: SavoryspurError,
): void {
  const refusal = convertFailure(error);
  const record = new DispatchRecord();
  sendRefusal(request.response, request.requestId, refusal, record);
}
