/**
 * Routes and answers HTTP requests of the operator API. The daemon
 * authenticates the requests before they are routed.
 */
import {ErrorCode, SavoryspurError} from '@savoryspur/common';
import {type FieldError, formatFieldError} from '@savoryspur/schema';
import type {Result} from 'neverthrow';
import {type DocumentError, formatDocumentError} from './parse_environment.js';

/** An authenticated request of an operator. */
export interface OperatorRequest {
  /** Values of the `:name` segments of the path. */
  params: Record<string, string>;
  query: URLSearchParams;
  /** Parsed JSON body; undefined when there is none. */
  body: unknown;
}

/** Answer to a request of an operator. */
export interface OperatorAnswer {
  status: number;
  /** Value to send as JSON. */
  body: unknown;
}

/** Handler of one method and path of the operator API. */
export interface OperatorHandler {
  method: 'GET' | 'POST' | 'PUT';
  /** Path below `/operator/v1`; a segment `:name` is a parameter. */
  path: string;
  handle(request: OperatorRequest): Promise<OperatorAnswer>;
}

/** HTTP status of each error code. */
const STATUS_BY_CODE: Record<ErrorCode, number> = {
  [ErrorCode.INVALID_INPUT]: 400,
  [ErrorCode.UNAUTHENTICATED]: 401,
  [ErrorCode.FORBIDDEN]: 403,
  [ErrorCode.NOT_FOUND]: 404,
  [ErrorCode.CONFLICT]: 409,
  [ErrorCode.RATE_LIMITED]: 429,
  [ErrorCode.OVERLOADED]: 503,
  [ErrorCode.UNAVAILABLE]: 503,
  [ErrorCode.TIMEOUT]: 504,
  [ErrorCode.CANCELLED]: 499,
  [ErrorCode.REVOKED]: 503,
  [ErrorCode.QUARANTINED]: 403,
  [ErrorCode.BROKEN_ANSWER]: 502,
  [ErrorCode.REMOTE_ERROR]: 502,
  [ErrorCode.AMBIGUOUS]: 504,
  [ErrorCode.INTERNAL]: 500,
};

/** A handler that matches a request, with the parameters of the path. */
export interface MatchedHandler {
  handler: OperatorHandler;
  params: Record<string, string>;
}

/**
 * Finds the handler of a request.
 *
 * @param handlers - all handlers
 * @param method - HTTP method
 * @param pathname - path without the query
 * @returns undefined when no handler matches
 */
export function findHandler(
  handlers: readonly OperatorHandler[],
  method: string,
  pathname: string,
): MatchedHandler | undefined {
  for (const handler of handlers) {
    if (handler.method !== method) continue;
    const params = matchPath(handler.path, pathname);
    if (params) return {handler, params};
  }
  return undefined;
}

/**
 * Routes a request to its handler; answers an unknown path with NOT_FOUND.
 *
 * @param handlers - all handlers
 * @param method - HTTP method
 * @param url - URL of the request
 * @param body - parsed JSON body; undefined when there is none
 */
export async function handleOperatorRequest(
  handlers: readonly OperatorHandler[],
  method: string,
  url: URL,
  body: unknown,
): Promise<OperatorAnswer> {
  const found = findHandler(handlers, method, url.pathname);
  if (!found) {
    return answerError(
      new SavoryspurError(
        ErrorCode.NOT_FOUND,
        {step: 'operator.route', peer: url.pathname},
        `path: found ${method} ${url.pathname}, expected a path of ` +
          'the operator API',
      ),
    );
  }
  const {handler, params} = found;
  return handler.handle({params, query: url.searchParams, body});
}

/** Creates the answer for an error. */
export function answerError(error: SavoryspurError): OperatorAnswer {
  return {
    status: STATUS_BY_CODE[error.code],
    body: {
      error: {
        code: error.code,
        message: error.message,
        step: error.origin.step,
        peer: error.origin.peer,
      },
    },
  };
}

/** Creates the answer for an invalid document, with all validation errors. */
export function answerDocumentErrors(
  errors: readonly DocumentError[],
): OperatorAnswer {
  const message = errors.map((error) => formatDocumentError(error)).join('\n');
  return {
    status: STATUS_BY_CODE[ErrorCode.INVALID_INPUT],
    body: {error: {code: ErrorCode.INVALID_INPUT, message, faults: errors}},
  };
}

/** Creates the answer for a result; converts a value, or answers the error. */
export function answerResult<T>(
  result: Result<T, SavoryspurError>,
  convert: (value: T) => unknown,
): OperatorAnswer {
  if (result.isErr()) return answerError(result.error);
  return {status: 200, body: convert(result.value)};
}

/**
 * Creates a handler that validates the body of a request first.
 *
 * @param validate - validator of `@savoryspur/schema`
 * @param handle - handler of the validated body
 */
export function createBodyHandler<T>(
  validate: (value: unknown) => Result<T, FieldError>,
  handle: (body: T, request: OperatorRequest) => Promise<OperatorAnswer>,
): (request: OperatorRequest) => Promise<OperatorAnswer> {
  return async (request) => {
    const body = validate(request.body);
    if (body.isOk()) return handle(body.value, request);
    const message = formatFieldError(body.error);
    const origin = {step: 'operator.body', peer: 'operator'};
    return answerError(
      new SavoryspurError(ErrorCode.INVALID_INPUT, origin, message),
    );
  };
}

/**
 * Matches a path with a pattern.
 *
 * @returns the values of the parameters; undefined when the path does not match
 */
function matchPath(
  pattern: string,
  pathname: string,
): Record<string, string> | undefined {
  const expected = pattern.split('/');
  const found = pathname.split('/');
  if (expected.length !== found.length) return undefined;
  const params: Record<string, string> = {};
  for (const [index, segment] of expected.entries()) {
    const value = found[index] ?? '';
    if (segment.startsWith(':')) {
      const decoded = decodeSegment(value);
      if (!decoded) return undefined;
      params[segment.slice(1)] = decoded;
    } else if (segment !== value) {
      return undefined;
    }
  }
  return params;
}

function decodeSegment(segment: string): string | undefined {
  try {
    return decodeURIComponent(segment);
  } catch {
    return undefined;
  }
}
