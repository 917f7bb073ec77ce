/** Handlers of the operator API for documents, keys and zones. */
import {ErrorCode, SavoryspurError} from '@savoryspur/common';
import {
  type ApplyRequest,
  type Environment,
  type EnvironmentChange,
  type FieldError,
  type IssueKeyRequest,
  type PromoteRequest,
  validateApplyRequest,
  validateDiffRequest,
  validateIssueKeyRequest,
  validatePromoteRequest,
  validateWithdrawKeyRequest,
  validateZoneStateRequest,
  ZoneState,
} from '@savoryspur/schema';
import type {Result} from 'neverthrow';
import type {ConfigStore} from './config_store.js';
import {computeDigest} from './digest.js';
import {compareEnvironments} from './environment_diff.js';
import type {LoadedState} from './environment_loader.js';
import {isEnvironmentName} from './environment_rows.js';
import type {CommitResult} from './environment_writer.js';
import {mergeDocument} from './merge_document.js';
import {
  answerError,
  answerDocumentErrors,
  answerResult,
  createBodyHandler,
  type OperatorAnswer,
  type OperatorHandler,
  type OperatorRequest,
} from './operator_http.js';
import {parseEnvironment} from './parse_environment.js';

/** Path of one environment; the paths of all handlers start with it. */
const ENVIRONMENT_PATH = '/operator/v1/environments/:environment';

/** Maximum number of changes in one answer when the request gives no limit. */
const DEFAULT_HISTORY_LIMIT = 20;

/** Highest limit that a request may give for the changes in one answer. */
const MAX_HISTORY_LIMIT = 100;

/**
 * Creates the handlers for documents, keys and zones.
 *
 * @param store - reads and changes environments
 */
export function createConfigHandlers(store: ConfigStore): OperatorHandler[] {
  return [...createDocumentHandlers(store), ...createCommandHandlers(store)];
}

function createDocumentHandlers(store: ConfigStore): OperatorHandler[] {
  return [
    createHandler('GET', '', async (environment) =>
      answerResult(await store.get(environment), describeState),
    ),
    createPostHandler('/diff', validateDiffRequest, (body, environment) =>
      handleDiff(store, environment, body.toml),
    ),
    createPostHandler('/apply', validateApplyRequest, (body, environment) =>
      handleApply(store, environment, body),
    ),
    createPostHandler('/promote', validatePromoteRequest, (body, environment) =>
      handlePromote(store, environment, body),
    ),
    createHandler('GET', '/history', (environment, {query}) =>
      handleHistory(store, environment, query),
    ),
  ];
}

function createCommandHandlers(store: ConfigStore): OperatorHandler[] {
  return [
    createHandler('GET', '/workspaces', async (environment) =>
      answerResult(await store.get(environment), describeWorkspaces),
    ),
    createHandler('GET', '/keys', async (environment) =>
      answerResult(await store.get(environment), describeKeys),
    ),
    createPostHandler('/keys', validateIssueKeyRequest, (body, environment) =>
      handleIssueKey(store, environment, body),
    ),
    createPostHandler(
      '/keys/:key/withdraw',
      validateWithdrawKeyRequest,
      async ({operator}, environment, {key = ''}) =>
        answerResult(
          await store.withdrawKey(environment, key, operator),
          describeCommitted,
        ),
    ),
    createPostHandler(
      '/zones/:zone',
      validateZoneStateRequest,
      async ({isOut, operator}, environment, {zone = ''}) => {
        const state = isOut ? ZoneState.OUT : ZoneState.IN;
        return answerResult(
          await store.setZoneState(environment, zone, state, operator),
          describeCommitted,
        );
      },
    ),
  ];
}

/** Creates a handler that refuses a request with an invalid environment name. */
function createHandler(
  method: 'GET' | 'POST',
  suffix: string,
  handle: (
    environment: string,
    request: OperatorRequest,
  ) => Promise<OperatorAnswer>,
): OperatorHandler {
  return {
    method,
    path: `${ENVIRONMENT_PATH}${suffix}`,
    handle: async (request) => {
      const {environment = ''} = request.params;
      if (isEnvironmentName(environment)) return handle(environment, request);
      return answerError(createEnvironmentNameError(environment));
    },
  };
}

/** Creates a handler for POST requests with a validated body. */
function createPostHandler<T>(
  suffix: string,
  validate: (value: unknown) => Result<T, FieldError>,
  handle: (
    body: T,
    environment: string,
    params: OperatorRequest['params'],
  ) => Promise<OperatorAnswer>,
): OperatorHandler {
  return createHandler('POST', suffix, (environment, request) =>
    createBodyHandler(validate, (body) =>
      handle(body, environment, request.params),
    )(request),
  );
}

function createEnvironmentNameError(name: string): SavoryspurError {
  return new SavoryspurError(
    ErrorCode.INVALID_INPUT,
    {step: 'operator.environment', peer: name},
    `environment: found ${JSON.stringify(name)}, expected a name such as ` +
      '"trial" or "production"',
  );
}

async function handleDiff(
  store: ConfigStore,
  environment: string,
  toml: string,
): Promise<OperatorAnswer> {
  const parsed = parseEnvironment(toml);
  if (parsed.isErr()) return answerDocumentErrors(parsed.error);
  const loaded = await store.get(environment);
  if (loaded.isErr()) return answerError(loaded.error);
  const live = loaded.value.state;
  const merged = mergeDocument(live.document, parsed.value);
  if (merged.isErr()) return answerDocumentErrors(merged.error);
  return {
    status: 200,
    body: {
      environment,
      version: live.version,
      documentDigest: computeDigest(parsed.value),
      changes: compareEnvironments(live.document, merged.value),
    },
  };
}

async function handleApply(
  store: ConfigStore,
  environment: string,
  request: ApplyRequest,
): Promise<OperatorAnswer> {
  const parsed = parseEnvironment(request.toml);
  if (parsed.isErr()) return answerDocumentErrors(parsed.error);
  const document: Environment = parsed.value;
  const {baseVersion, operator} = request;
  return answerResult(
    await store.apply({environment, document, baseVersion, operator}),
    describeCommitted,
  );
}

async function handlePromote(
  store: ConfigStore,
  environment: string,
  request: PromoteRequest,
): Promise<OperatorAnswer> {
  return answerResult(
    await store.promote({...request, to: environment}),
    describeCommitted,
  );
}

async function handleIssueKey(
  store: ConfigStore,
  environment: string,
  request: IssueKeyRequest,
): Promise<OperatorAnswer> {
  return answerResult(await store.issueKey(environment, request), (issued) => ({
    ...describeCommitted(issued.committed),
    id: issued.key.id,
    workspace: issued.key.workspace,
    secret: issued.secret,
  }));
}

async function handleHistory(
  store: ConfigStore,
  environment: string,
  query: URLSearchParams,
): Promise<OperatorAnswer> {
  const limit = Number(query.get('limit') ?? DEFAULT_HISTORY_LIMIT);
  const before = Number(query.get('before') ?? 0);
  if (!Number.isInteger(limit) || limit < 1 || limit > MAX_HISTORY_LIMIT) {
    return answerQueryError('limit', query, `1 to ${MAX_HISTORY_LIMIT}`);
  }
  if (!Number.isInteger(before) || before < 0) {
    return answerQueryError('before', query, 'a version');
  }
  const changes = await store.getHistory(environment, before, limit);
  return answerResult(changes, (list) => ({
    changes: list.map((change) => describeChange(change)),
  }));
}

function answerQueryError(
  field: string,
  query: URLSearchParams,
  expected: string,
): OperatorAnswer {
  const found = JSON.stringify(query.get(field));
  return answerError(
    new SavoryspurError(
      ErrorCode.INVALID_INPUT,
      {step: 'operator.query', peer: 'operator'},
      `${field}: found ${found}, expected ${expected}`,
    ),
  );
}

function describeState({state}: LoadedState): unknown {
  const {version, digest, documentDigest, document} = state;
  return {version, digest, documentDigest, document};
}

function describeCommitted({state, change}: CommitResult) {
  const {version, digest, documentDigest} = state;
  return {version, digest, documentDigest, isChanged: change !== undefined};
}

function describeWorkspaces({state}: LoadedState): unknown {
  return {version: state.version, workspaces: state.document.workspaces};
}

function describeKeys({state}: LoadedState): unknown {
  const keys = state.document.keys.map(({id, workspace, state: keyState}) => ({
    id,
    workspace,
    state: keyState,
  }));
  return {version: state.version, keys};
}

function describeChange(change: EnvironmentChange): unknown {
  const {version, digest, documentDigest, action} = change;
  const {operator, changedAt, delta, deltaObject} = change;
  return {
    version,
    digest,
    documentDigest,
    action,
    operator,
    changedAt,
    delta,
    deltaObject,
  };
}
