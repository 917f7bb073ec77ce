/** HTTP routes for files and batch jobs: `/v1/files` and `/v1/batches`. */
import type {FileUpload, JobService, PageRequest} from '@savoryspur/batch';
import {
  type EnvironmentSource,
  ErrorCode,
  toSavoryspurError,
} from '@savoryspur/common';
import {validateBatchRequest} from '@savoryspur/schema';
import type {Caller} from '../http/authentication.js';
import {parseJsonObject, readBody} from '../http/body_reader.js';
import {
  type CallerRequest,
  getHeader,
  getQuery,
} from '../http/caller_request.js';
import {DispatchRecord} from '../http/dispatch_record.js';
import {type Refusal, sendRefusal} from '../http/refusal.js';
import {writePart} from '../http/reply.js';
import type {HttpRoute} from '../http/request_router.js';
import {
  type AuthenticatedHandler,
  requireCaller,
  sendFailure,
  sendResult,
} from './caller_access.js';
import {type MultipartUpload, readUpload} from './multipart.js';

/** Components and limits of the handlers. */
export interface JobRoutesContext {
  environment: EnvironmentSource;
  jobs: JobService;
  /** Largest body of a job request, bytes. */
  maxBodyBytes: number;
  /** Longest wait for a caller that reads nothing, milliseconds. */
  stallTimeoutMs: number;
}

/** Entries of a page when the caller gives no valid limit. */
const DEFAULT_PAGE_LIMIT = 20;

/** Maximum number of entries of a page. */
const MAX_PAGE_LIMIT = 100;

/** The only supported purpose of a file. */
const FILE_PURPOSE = 'batch';

/**
 * Creates the routes for files and jobs.
 *
 * @param context - job service and limits
 */
export function createJobRoutes(context: JobRoutesContext): HttpRoute[] {
  const {jobs} = context;
  const buildRoute = (
    method: string,
    pattern: string,
    handler: AuthenticatedHandler,
  ): HttpRoute => ({
    method,
    pattern,
    handler: requireCaller(context.environment, handler),
  });
  return [
    buildRoute('POST', '/v1/files', (request, caller) =>
      createFile(context, request, caller),
    ),
    buildRoute('GET', '/v1/files', async (request, caller) => {
      const page = parsePage(request);
      sendResult(request, await jobs.listFiles(caller.workspace.name, page));
    }),
    buildRoute('GET', '/v1/files/:id', async (request, caller) =>
      sendResult(
        request,
        await jobs.showFile(caller.workspace.name, getId(request)),
      ),
    ),
    buildRoute('DELETE', '/v1/files/:id', async (request, caller) =>
      sendResult(
        request,
        await jobs.deleteFile(caller.workspace.name, getId(request)),
      ),
    ),
    buildRoute('GET', '/v1/files/:id/content', (request, caller) =>
      sendContent(context, request, caller),
    ),
    buildRoute('POST', '/v1/batches', (request, caller) =>
      submitJob(context, request, caller),
    ),
    buildRoute('GET', '/v1/batches', async (request, caller) => {
      const page = parsePage(request);
      sendResult(request, await jobs.list(caller.workspace.name, page));
    }),
    buildRoute('GET', '/v1/batches/:id', async (request, caller) =>
      sendResult(
        request,
        await jobs.show(caller.workspace.name, getId(request)),
      ),
    ),
    buildRoute('POST', '/v1/batches/:id/cancel', async (request, caller) =>
      sendResult(
        request,
        await jobs.cancel(caller.workspace.name, getId(request)),
      ),
    ),
  ];
}

function getId(request: CallerRequest): string {
  return request.params.id ?? '';
}

function parsePage(request: CallerRequest): PageRequest {
  const query = getQuery(request);
  const limit = Number(query.get('limit') ?? DEFAULT_PAGE_LIMIT);
  const isValid = Number.isInteger(limit) && limit >= 1;
  return {
    after: query.get('after') ?? undefined,
    limit: isValid ? Math.min(limit, MAX_PAGE_LIMIT) : DEFAULT_PAGE_LIMIT,
  };
}

function refuse(request: CallerRequest, refusal: Refusal): void {
  const record = new DispatchRecord();
  sendRefusal(request.response, request.requestId, refusal, record);
}

/**
 * Accepts an uploaded file. The `purpose` field may precede or follow the file
 * in the form; it is checked only when it precedes the file.
 */
async function createFile(
  context: JobRoutesContext,
  request: CallerRequest,
  caller: Caller,
): Promise<void> {
  const form = await readUpload(request.message, 'file');
  if (form.isErr()) {
    refuse(request, form.error);
    return;
  }
  const wrongPurpose = checkPurpose(form.value);
  if (wrongPurpose) {
    form.value.content.resume();
    refuse(request, wrongPurpose);
    return;
  }
  const upload: FileUpload = {
    workspace: caller.workspace.name,
    filename: form.value.filename,
    content: form.value.content as AsyncIterable<Uint8Array>,
  };
  sendResult(request, await context.jobs.createFile(upload));
}

function checkPurpose(form: MultipartUpload): Refusal | undefined {
  const purpose = form.getField('purpose');
  if (purpose === undefined || purpose === FILE_PURPOSE) return undefined;
  return {
    code: ErrorCode.INVALID_INPUT,
    field: 'purpose',
    message: `purpose: found "${purpose}", expected "${FILE_PURPOSE}"`,
  };
}

async function submitJob(
  context: JobRoutesContext,
  request: CallerRequest,
  caller: Caller,
): Promise<void> {
  const body = await readBody(request.message, context.maxBodyBytes);
  const json = body.andThen(parseJsonObject);
  if (json.isErr()) {
    refuse(request, json.error);
    return;
  }
  const checked = validateBatchRequest(json.value);
  if (checked.isErr()) {
    const {field, found, expected} = checked.error;
    refuse(request, {
      code: ErrorCode.INVALID_INPUT,
      field,
      message: `${field}: found ${found}, expected ${expected}`,
    });
    return;
  }
  const idempotencyKey = getHeader(request.message, 'idempotency-key');
  const submitted = await context.jobs.submit({
    workspace: caller.workspace.name,
    inputFileId: checked.value.input_file_id,
    endpoint: checked.value.endpoint,
    completionWindow: checked.value.completion_window,
    metadata: checked.value.metadata,
    idempotencyKey: idempotencyKey || undefined,
  });
  sendResult(request, submitted);
}

/**
 * Sends the content of a file. When reading fails after the headers were sent,
 * the connection is closed.
 */
async function sendContent(
  context: JobRoutesContext,
  request: CallerRequest,
  caller: Caller,
): Promise<void> {
  const {response} = request;
  const workspace = caller.workspace.name;
  const content = await context.jobs.readResults(workspace, getId(request));
  if (content.isErr()) {
    sendFailure(request, content.error);
    return;
  }
  try {
    for await (const part of content.value) {
      if (!response.headersSent) startContent(request);
      await writePart(response, part, context.stallTimeoutMs);
    }
  } catch (thrown) {
    if (response.headersSent) {
      response.destroy();
      return;
    }
    const origin = {step: 'files.content', peer: 'platform'};
    sendFailure(request, toSavoryspurError(thrown, origin));
    return;
  }
  if (!response.headersSent) startContent(request);
  response.end();
}

function startContent(request: CallerRequest): void {
  request.response.writeHead(200, {
    'content-type': 'application/jsonl',
    'x-request-id': request.requestId,
  });
}
