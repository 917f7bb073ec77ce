/** Authenticates callers by their API key. */
import {ErrorCode, type EnvironmentIndex} from '@savoryspur/common';
import type {Key, Workspace} from '@savoryspur/schema';
import {err, ok, type Result} from 'neverthrow';
import {createHash} from 'node:crypto';
import type {IncomingMessage} from 'node:http';
import {getHeader} from './caller_request.js';
import type {Refusal} from './refusal.js';

/** A caller that presented an active key, and the key's workspace. */
export interface Caller {
  key: Key;
  workspace: Workspace;
}

const BEARER_PREFIX = 'bearer ';

/** Hashes a key as stored in the configuration: SHA-256, hexadecimal. */
function hashKey(key: string): string {
  return createHash('sha256').update(key, 'utf8').digest('hex');
}

/**
 * Lists the keys in the headers of a request. The first one authenticates it.
 *
 * @param message - the request
 * @returns non-empty keys from the `authorization`, `x-api-key` and `api-key`
 *     headers, in this order
 */
export function listPresentedKeys(message: IncomingMessage): string[] {
  const authorization = getHeader(message, 'authorization');
  const isBearer = authorization.toLowerCase().startsWith(BEARER_PREFIX);
  const keys = [
    isBearer ? authorization.slice(BEARER_PREFIX.length) : '',
    getHeader(message, 'x-api-key'),
    getHeader(message, 'api-key'),
  ];
  return keys.map((key) => key.trim()).filter((key) => key !== '');
}

/** Gets the key that authenticates a request; empty when there is none. */
export function getPresentedKey(message: IncomingMessage): string {
  return listPresentedKeys(message)[0] ?? '';
}

/**
 * Finds the workspace of the key that a request presents. Every request is
 * authenticated on its own, so that a withdrawn key also stops working on open
 * connections.
 */
export function authenticateCaller(
  environment: EnvironmentIndex,
  message: IncomingMessage,
): Result<Caller, Refusal> {
  const presented = getPresentedKey(message);
  if (presented === '') {
    return err({
      code: ErrorCode.UNAUTHENTICATED,
      field: 'authorization',
      detail: 'missing_api_key',
      message: 'authorization: found no key, expected "Bearer KEY"',
    });
  }
  const key = environment.findActiveKey(hashKey(presented));
  const workspace = key && environment.findWorkspace(key.workspace);
  if (key && workspace) return ok({key, workspace});
  return err({
    code: ErrorCode.UNAUTHENTICATED,
    field: 'authorization',
    detail: 'invalid_api_key',
    message:
      'authorization: found an unknown or withdrawn key, expected an active key',
  });
}
