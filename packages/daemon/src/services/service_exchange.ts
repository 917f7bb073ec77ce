/** A call to a plain service: its route, workspace and idempotency key. */
import {ErrorCode, type EnvironmentIndex} from '@savoryspur/common';
import type {Route, Workspace} from '@savoryspur/schema';
import {err, ok, type Result} from 'neverthrow';
import {createHash} from 'node:crypto';
import {authenticateCaller} from '../http/authentication.js';
import {type CallerRequest, getHeader} from '../http/caller_request.js';
import type {DispatchRecord} from '../http/dispatch_record.js';
import type {Refusal} from '../http/refusal.js';
import type {IntentKey} from './intent_store.js';

/** Route of a call and the workspace that is charged for it. */
export interface ServiceTarget {
  route: Route;
  workspace: Workspace;
}

/** State of a call while it is handled. */
export interface ServiceExchange extends ServiceTarget {
  request: CallerRequest;
  body: Buffer;
  record: DispatchRecord;
  /**
   * Identity of the call; present when the caller sent an idempotency key, so
   * that the call runs at most once over all its resends.
   */
  intentKey?: IntentKey;
}

/**
 * Finds the workspace that is charged for a call: that of the route when the
 * route is open (requires no key), otherwise that of the caller's key.
 */
export function findWorkspace(
  index: EnvironmentIndex,
  route: Route,
  request: CallerRequest,
): Result<Workspace, Refusal> {
  if (!route.open) {
    return authenticateCaller(index, request.message).map((c) => c.workspace);
  }
  const workspace = index.findWorkspace(route.workspace ?? '');
  return workspace ? ok(workspace) : err(refuseUnknownPath(request));
}

/** Refuses a request whose path matches no route. */
export function refuseUnknownPath(request: CallerRequest): Refusal {
  return {
    code: ErrorCode.NOT_FOUND,
    field: 'url',
    detail: 'unknown_url',
    message: `url: found ${request.method} ${request.path}, expected a route of this environment`,
  };
}

/**
 * Gets the identity of a call with an idempotency key.
 *
 * @returns the identity; undefined without a key, or when the route is
 *     idempotent
 */
export function getIntentKey(exchange: ServiceExchange): IntentKey | undefined {
  const {request, route, workspace, body} = exchange;
  if (route.idempotent) return undefined;
  const idempotencyKey = getHeader(request.message, 'idempotency-key');
  if (idempotencyKey === '') return undefined;
  const hash = createHash('sha256');
  hash.update(`${request.method}\u0000${request.path}\u0000`);
  return {
    workspace: workspace.name,
    idempotencyKey,
    signature: hash.update(body).digest('hex'),
  };
}
