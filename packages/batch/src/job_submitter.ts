/** Submission of jobs, at most one for each job key. */
import {BatchEvent, type SavoryspurError} from '@savoryspur/common';
import {TransactionOutcome, transactWithReadBack} from '@savoryspur/storage';
import {
  type ActiveRow,
  type FileRow,
  type JobRow,
  JobState,
  type Transaction,
  validateJobKeyRow,
  validateJobRow,
} from '@savoryspur/schema';
import {err, ok, type Result} from 'neverthrow';
import {isDeepStrictEqual} from 'node:util';
import type {BatchContext} from './context.js';
import {createConflict, createInvalid} from './errors.js';
import type {FileService} from './file_service.js';
import * as keys from './keys.js';
import {readRow, type TypedRow} from './rows.js';

/** Step that errors name. */
const STEP = 'batch.submit';

/** Milliseconds in each unit of a completion window. */
const WINDOW_UNIT_MS = new Map([
  ['m', 60_000],
  ['h', 3_600_000],
  ['d', 86_400_000],
]);

/** Form of a completion window, such as `24h`. */
const WINDOW = /^([1-9][0-9]{0,3})([mhd])$/;

/** Most entries of the metadata. */
const MAX_METADATA = 16;

/** A job as the caller asks for it. */
export interface JobRequest {
  workspace: string;
  inputFileId: string;
  endpoint: string;
  completionWindow: string;
  metadata: Record<string, string>;
  /** Job key of the `Idempotency-Key` header; `metadata.job_key` else. */
  idempotencyKey?: string;
}

/** Submits jobs. */
export class JobSubmitter {
  /**
   * @param context - platform, clock, log and settings
   * @param files - input files
   */
  constructor(
    private readonly context: BatchContext,
    private readonly files: FileService,
  ) {}

  /**
   * Submits a job. A resend with the same job key and the same content gets the
   * first job.
   *
   * @returns the row of the job once it is durable; code CONFLICT when the key
   *     belongs to a job of other content, UNAVAILABLE when nothing was
   *     accepted, AMBIGUOUS when that is not known: a resend with a job key
   *     then settles it
   */
  async submit(request: JobRequest): Promise<Result<JobRow, SavoryspurError>> {
    const windowMs = parseWindow(request.completionWindow);
    if (windowMs === undefined) {
      const message = `completion_window: found ${JSON.stringify(request.completionWindow)}, expected a form such as "24h"`;
      return err(createInvalid(STEP, message));
    }
    if (Object.keys(request.metadata).length > MAX_METADATA) {
      const message = `metadata: expected at most ${MAX_METADATA} entries`;
      return err(createInvalid(STEP, message));
    }
    const jobKey = request.idempotencyKey ?? request.metadata.job_key;
    const file = await this.files.read(request.workspace, request.inputFileId);
    if (jobKey !== undefined) {
      const first = await this.readByKey(request.workspace, jobKey);
      if (first.isErr()) return err(first.error);
      if (first.value) {
        const digest = file.isOk() ? file.value.value.digest : undefined;
        return checkSame(first.value, request, digest);
      }
    }
    if (file.isErr()) return err(file.error);
    const fault = findEndpointFault(request.endpoint, file.value.value);
    if (fault) return err(createInvalid(STEP, fault));
    const job = this.createJob(request, file.value.value, windowMs);
    return this.write(request, job, file.value, jobKey);
  }

  private async write(
    request: JobRequest,
    job: JobRow,
    file: TypedRow<FileRow>,
    jobKey: string | undefined,
  ): Promise<Result<JobRow, SavoryspurError>> {
    const outcome = await transactWithReadBack(
      {...this.context, options: this.context.readBack},
      createTransaction(job, file, jobKey),
    );
    if (outcome.isOk() && outcome.value === TransactionOutcome.COMMITTED) {
      return ok(this.recordAccepted(job));
    }
    const stored = await readRow(
      this.context.table,
      keys.formatJobKey(job.id),
      validateJobRow,
    );
    if (stored.isOk() && stored.value) return ok(this.recordAccepted(job));
    if (outcome.isErr()) return err(outcome.error);
    if (stored.isErr()) return err(stored.error);
    return this.resolveConflict(request, file.value, jobKey);
  }

  /** Another job with the key came first, or the file is gone. */
  private async resolveConflict(
    request: JobRequest,
    file: FileRow,
    jobKey: string | undefined,
  ): Promise<Result<JobRow, SavoryspurError>> {
    if (jobKey !== undefined) {
      const first = await this.readByKey(request.workspace, jobKey);
      if (first.isErr()) return err(first.error);
      if (first.value) return checkSame(first.value, request, file.digest);
    }
    return err(createConflict(STEP, 'the input file was deleted meanwhile'));
  }

  private recordAccepted(job: JobRow): JobRow {
    this.context.log.record(BatchEvent.JOB_ACCEPTED, {
      job: job.id,
      workspace: job.workspace,
      items: job.items,
    });
    return job;
  }

  private async readByKey(
    workspace: string,
    jobKey: string,
  ): Promise<Result<JobRow | undefined, SavoryspurError>> {
    const {table} = this.context;
    const key = keys.formatJobKeyKey(workspace, jobKey);
    const bound = await readRow(table, key, validateJobKeyRow);
    if (bound.isErr()) return err(bound.error);
    if (!bound.value) return ok(undefined);
    const rowKey = keys.formatJobKey(bound.value.value.jobId);
    const job = await readRow(table, rowKey, validateJobRow);
    return job.map((row) => row?.value);
  }

  private createJob(
    request: JobRequest,
    file: FileRow,
    windowMs: number,
  ): JobRow {
    const wallMs = this.context.clock.nowWall().getTime();
    return {
      id: keys.createJobId(wallMs),
      workspace: request.workspace,
      state: JobState.IN_PROGRESS,
      inputFileId: file.id,
      inputDigest: file.digest,
      indexName: file.indexName,
      endpoint: request.endpoint,
      completionWindow: request.completionWindow,
      metadata: request.metadata,
      createdAt: wallMs,
      deadline: wallMs + windowMs,
      items: file.items,
      chunks: file.chunks,
    };
  }
}

/** Parses a completion window; undefined when it has another form. */
function parseWindow(text: string): number | undefined {
  const match = WINDOW.exec(text);
  if (!match) return undefined;
  return Number(match[1]) * WINDOW_UNIT_MS.get(match[2]!)!;
}

/** Finds what is wrong with the endpoint of a job. */
function findEndpointFault(
  endpoint: string,
  file: FileRow,
): string | undefined {
  const others = file.endpoints.filter((url) => url !== endpoint);
  if (others.length === 0) return undefined;
  return `endpoint: found ${JSON.stringify(endpoint)}, but lines of the file name ${others.join(', ')}`;
}

/** Gives the first job to a resend with the same content. */
function checkSame(
  first: JobRow,
  request: JobRequest,
  digest: string | undefined,
): Result<JobRow, SavoryspurError> {
  const isSameInput =
    first.inputFileId === request.inputFileId || first.inputDigest === digest;
  const isSame =
    isSameInput &&
    first.endpoint === request.endpoint &&
    first.completionWindow === request.completionWindow &&
    isDeepStrictEqual(first.metadata, request.metadata);
  if (isSame) return ok(first);
  const message = `the job key belongs to ${first.id}, a job of other content`;
  return err(createConflict(STEP, message));
}

function createTransaction(
  job: JobRow,
  file: TypedRow<FileRow>,
  jobKey: string | undefined,
): Transaction {
  const active: ActiveRow = {
    jobId: job.id,
    workspace: job.workspace,
    indexName: job.indexName,
    createdAt: job.createdAt,
    deadline: job.deadline,
    items: job.items,
    chunks: job.chunks,
  };
  const writes: Transaction['writes'] = [
    {key: keys.formatJobKey(job.id), value: {...job}},
    {key: keys.formatActiveKey(job.deadline, job.id), value: {...active}},
    {
      key: keys.formatJobListPrefix(job.workspace) + job.id,
      value: {jobId: job.id},
    },
  ];
  if (jobKey !== undefined) {
    const key = keys.formatJobKeyKey(job.workspace, jobKey);
    writes.push({key, value: {jobId: job.id}});
  }
  const created = writes.map(({key}) => ({key, version: 0}));
  const unchanged = {key: file.key, version: file.version};
  return {conditions: [...created, unchanged], writes};
}
