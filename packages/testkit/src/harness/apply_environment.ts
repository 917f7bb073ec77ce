/** Applies environment documents through the operator API. */
import {ErrorCode, SavoryspurError} from '@savoryspur/common';
import {stringify} from 'smol-toml';
import {request as sendRequest} from 'undici';
import type {EnvironmentDocument} from './environment_document.js';

/** Environment to which a document is applied before it is promoted. */
const TRIAL_ENVIRONMENT = 'trial';

/** Operator name that changes are recorded under. */
const OPERATOR_NAME = 'testkit';

/** Timeout of one call, milliseconds. */
const CALL_TIMEOUT_MS = 10_000;

/** Fields that are read of the answer to a read or change of an environment. */
interface EnvironmentState {
  version: number;
  documentDigest: string;
}

/** Daemon through which a document is applied, and its target environment. */
export interface ApplyContext {
  /** Base URL for operators of one daemon. */
  url: string;
  /** Operator token that authenticates the calls. */
  token: string;
  /** Environment that the daemons serve, to which the document is promoted. */
  environment: string;
}

/**
 * Applies a document to the trial environment and promotes it to the target
 * environment.
 *
 * @param context - daemon, token and target environment
 * @param document - document to apply
 * @returns the new version of the target environment
 */
export async function applyEnvironment(
  context: ApplyContext,
  document: EnvironmentDocument,
): Promise<number> {
  const trial = await postChange(context, `${TRIAL_ENVIRONMENT}/apply`, {
    toml: stringify(document),
    baseVersion: await readVersion(context, TRIAL_ENVIRONMENT),
    operator: OPERATOR_NAME,
  });
  const promoted = await postChange(context, `${context.environment}/promote`, {
    from: TRIAL_ENVIRONMENT,
    documentDigest: trial.documentDigest,
    baseVersion: await readVersion(context, context.environment),
    operator: OPERATOR_NAME,
  });
  return promoted.version;
}

async function readVersion(
  context: ApplyContext,
  environment: string,
): Promise<number> {
  const answer = await callOperatorApi(context, environment, undefined);
  if (answer.statusCode === 404) return 0;
  return parseState(context, environment, answer).version;
}

async function postChange(
  context: ApplyContext,
  path: string,
  body: unknown,
): Promise<EnvironmentState> {
  return parseState(context, path, await callOperatorApi(context, path, body));
}

async function callOperatorApi(
  context: ApplyContext,
  path: string,
  body: unknown,
): Promise<{statusCode: number; text: string}> {
  const url = `${context.url}/operator/v1/environments/${path}`;
  const answer = await sendRequest(url, {
    method: body === undefined ? 'GET' : 'POST',
    headers: {
      authorization: `Bearer ${context.token}`,
      'content-type': 'application/json',
    },
    body: body === undefined ? undefined : JSON.stringify(body),
    reset: true,
    signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
  });
  return {statusCode: answer.statusCode, text: await answer.body.text()};
}

function parseState(
  context: ApplyContext,
  path: string,
  answer: {statusCode: number; text: string},
): EnvironmentState {
  if (answer.statusCode === 200) {
    return JSON.parse(answer.text) as EnvironmentState;
  }
  throw new SavoryspurError(
    ErrorCode.REMOTE_ERROR,
    {step: 'testkit.apply', peer: `${context.url} ${path}`},
    `status ${answer.statusCode}: ${answer.text}`,
  );
}
