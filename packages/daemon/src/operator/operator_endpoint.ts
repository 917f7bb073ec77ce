/** HTTP endpoint of the operator API. */
import {ErrorCode} from '@savoryspur/common';
import {handleOperatorRequest, type OperatorHandler} from '@savoryspur/config';
import {createHash, timingSafeEqual} from 'node:crypto';
import {getPresentedKey} from '../http/authentication.js';
import {readBody} from '../http/body_reader.js';
import type {CallerRequest} from '../http/caller_request.js';
import {DispatchRecord} from '../http/dispatch_record.js';
import {type Refusal, sendRefusal} from '../http/refusal.js';
import {sendJson} from '../http/reply.js';

/** Path prefix of the operator API. */
export const OPERATOR_PATH_PREFIX = '/operator/v1/';

/** Largest body of a request to the operator API, bytes. */
const MAX_OPERATOR_BODY_BYTES = 32 * 1024 * 1024;

/** Returned by {@link parseBody} for a body that is not JSON. */
const INVALID_JSON = Symbol('invalid JSON');

/** Authenticates operators by a shared token and answers their requests. */
export class OperatorEndpoint {
  private readonly tokenDigest: Buffer;

  /**
   * @param handlers - handlers of the operator API
   * @param token - bearer token that operators must present
   */
  constructor(
    private readonly handlers: readonly OperatorHandler[],
    token: string,
  ) {
    this.tokenDigest = computeDigest(token);
  }

  /** Answers one request to the operator API. */
  async handle(request: CallerRequest): Promise<void> {
    const presented = computeDigest(getPresentedKey(request.message));
    if (!timingSafeEqual(presented, this.tokenDigest)) {
      refuse(request, INVALID_TOKEN_REFUSAL);
      return;
    }
    const body = await readBody(request.message, MAX_OPERATOR_BODY_BYTES);
    if (body.isErr()) {
      refuse(request, body.error);
      return;
    }
    const json = parseBody(body.value);
    if (json === INVALID_JSON) {
      refuse(request, INVALID_JSON_REFUSAL);
      return;
    }
    const url = new URL(request.target, 'http://operator');
    const {method} = request;
    const answer = await handleOperatorRequest(
      this.handlers,
      method,
      url,
      json,
    );
    sendJson(request.response, answer.status, answer.body);
  }
}

const INVALID_TOKEN_REFUSAL: Refusal = {
  code: ErrorCode.UNAUTHENTICATED,
  field: 'authorization',
  message:
    'authorization: found no valid operator token, expected "Bearer TOKEN"',
};

const INVALID_JSON_REFUSAL: Refusal = {
  code: ErrorCode.INVALID_INPUT,
  field: 'body',
  message: 'body: found no JSON, expected JSON',
};

function parseBody(body: Buffer): unknown {
  if (body.length === 0) return undefined;
  try {
    return JSON.parse(body.toString('utf8')) as unknown;
  } catch (thrown) {
    return INVALID_JSON;
  }
}

function computeDigest(token: string): Buffer {
  return createHash('sha256').update(token, 'utf8').digest();
}

function refuse(request: CallerRequest, refusal: Refusal): void {
  const record = new DispatchRecord();
  sendRefusal(request.response, request.requestId, refusal, record);
}
