/** Parses and validates requests for models. */
import {ErrorCode, type EnvironmentIndex} from '@savoryspur/common';
import type {Model, Pool} from '@savoryspur/schema';
import {err, ok, type Result} from 'neverthrow';
import {createHash} from 'node:crypto';
import type {Refusal} from '../http/refusal.js';

/** A valid request for a model of the environment. */
export interface ModelRequest {
  model: Model;
  pool: Pool;
  body: Record<string, unknown>;
  isStream: boolean;
  /** Hash of the start of the prompt, for prefix affinity. */
  prefixHash: string;
  /** Hash of workspace, path and body, by which a repeated request is recognized. */
  fingerprint: string;
}

/** Length of the start of the prompt used for prefix affinity, characters. */
const PREFIX_AFFINITY_CHARS = 256;

/** Length of a prefix hash, hexadecimal digits. */
const PREFIX_HASH_HEX_DIGITS = 16;

/**
 * Longest part of an invalid value that an error message quotes, characters.
 */
const MAX_QUOTED_CHARS = 60;

/** Field with the prompt in the bodies of one path, and its validation. */
interface PromptForm {
  field: string;
  expected: string;
  isValid: (value: unknown) => boolean;
}

/** Prompt field by path. */
const PROMPT_FORMS: Record<string, PromptForm> = {
  '/v1/chat/completions': {
    field: 'messages',
    expected: 'a list of messages, each with a role',
    isValid: isMessageList,
  },
  '/v1/completions': {
    field: 'prompt',
    expected: 'a string or a list',
    isValid: (value) => typeof value === 'string' || Array.isArray(value),
  },
};

/** Paths of the HTTP API that accept requests for models. */
export const MODEL_PATHS = Object.keys(PROMPT_FORMS);

function isMessageList(value: unknown): boolean {
  if (!Array.isArray(value) || value.length === 0) return false;
  for (const message of value as unknown[]) {
    if (message === null || typeof message !== 'object') return false;
    if (typeof (message as {role?: unknown}).role !== 'string') return false;
  }
  return true;
}

function refuseField(field: string, found: unknown, expected: string): Refusal {
  const text = found === undefined ? 'nothing' : JSON.stringify(found);
  return {
    code: ErrorCode.INVALID_INPUT,
    field,
    message: `${field}: found ${text.slice(0, MAX_QUOTED_CHARS)}, expected ${expected}`,
  };
}

/** Computes the fingerprint, which is equal for repeated requests. */
export function computeFingerprint(
  workspace: string,
  path: string,
  body: Buffer | string,
): string {
  const hash = createHash('sha256');
  hash.update(`${workspace}\u0000${path}\u0000`);
  return hash.update(body).digest('hex');
}

/** Computes the hash of the start of a prompt, for prefix affinity. */
export function computePrefixHash(prompt: unknown): string {
  const text = typeof prompt === 'string' ? prompt : JSON.stringify(prompt);
  return createHash('sha256')
    .update(text.slice(0, PREFIX_AFFINITY_CHARS))
    .digest('hex')
    .slice(0, PREFIX_HASH_HEX_DIGITS);
}

/**
 * Validates the body of a request for a model and finds its model and pool.
 *
 * @param environment - configuration in force
 * @param workspace - workspace of the caller
 * @param path - path of the request, one of {@link MODEL_PATHS}
 * @param body - parsed body
 * @returns the request, or a refusal that names the first invalid field
 */
export function parseModelRequest(
  environment: EnvironmentIndex,
  workspace: string,
  path: string,
  body: Record<string, unknown>,
): Result<ModelRequest, Refusal> {
  const form = PROMPT_FORMS[path];
  if (!form) {
    return err(refuseField('url', path, `one of ${MODEL_PATHS.join(', ')}`));
  }
  const name = body.model;
  if (typeof name !== 'string') {
    return err(refuseField('model', name, 'the name of a model'));
  }
  const prompt = body[form.field];
  if (!form.isValid(prompt)) {
    return err(refuseField(form.field, prompt, form.expected));
  }
  const stream = body.stream ?? false;
  if (typeof stream !== 'boolean') {
    return err(refuseField('stream', stream, 'true or false'));
  }
  const model = environment.findModel(name);
  const pool = model && environment.findPool(model.pool);
  if (!model || !pool) {
    return err({
      code: ErrorCode.NOT_FOUND,
      field: 'model',
      detail: 'model_not_found',
      message: `model: found "${name}", expected a model of this environment`,
    });
  }
  return ok({
    model,
    pool,
    body,
    isStream: stream,
    prefixHash: computePrefixHash(prompt),
    fingerprint: computeFingerprint(workspace, path, JSON.stringify(body)),
  });
}
