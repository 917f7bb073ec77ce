/** Submits jobs; creates at most one job per idempotency key. */
import {BatchEvent, type SavoryspurError} from '@savoryspur/common';
import {TransactionOutcome, transactWithReadBack} from '@savoryspur/storage';
import {
  type ActiveJobRow,
  type FileRow,
  type JobRow,
  JobState,
  type Transaction,
  validateIdempotencyKeyRow,
  validateJobRow,
} from '@savoryspur/schema';
import {err, ok, type Result} from 'neverthrow';
import {isDeepStrictEqual} from 'node:util';
import type {BatchContext} from './context.js';
import {createConflict, createInvalid} from './errors.js';
import type {FileService} from './file_service.js';
import * as keys from './keys.js';
import {readRow, type TypedRow} from './rows.js';

/** Step in the origin of errors. */
const STEP = 'batch.submit';

/** Milliseconds in each unit of a completion window. */
const WINDOW_UNIT_MS = new Map([
  ['m', 60_000],
  ['h', 3_600_000],
  ['d', 86_400_000],
]);

/** Pattern of a completion window, such as `24h`. */
const COMPLETION_WINDOW_PATTERN = /^([1-9][0-9]{0,3})([mhd])$/;

/** Maximum number of metadata entries. */
const MAX_METADATA_ENTRIES = 16;

/** Request of a caller to create a job. */
export interface JobRequest {
  workspace: string;
  inputFileId: string;
  endpoint: string;
  completionWindow: string;
  metadata: Record<string, string>;
  /**
   * Value of the `Idempotency-Key` header; `metadata.job_key` is the fallback.
   */
  idempotencyKey?: string;
}

/** Submits jobs. */
export class JobSubmitter {
  /**
   * @param context - storage, clock, log and settings
   * @param files - service for input files
   */
  constructor(
    private readonly context: BatchContext,
    private readonly files: FileService,
  ) {}

  /**
   * Submits a job. A repeated request with the same idempotency key and the
   * same content returns the existing job.
   *
   * @returns the row of the job once it is durable, or an error: code CONFLICT
   *     when the idempotency key belongs to a job with other content,
   *     UNAVAILABLE when no job was created, AMBIGUOUS when it is unknown
   *     whether a job was created; repeating the request with an idempotency
   *     key is then safe
   */
  async submit(request: JobRequest): Promise<Result<JobRow, SavoryspurError>> {
    const windowMs = parseWindow(request.completionWindow);
    if (windowMs === undefined) {
      const message = `completion_window: found ${JSON.stringify(request.completionWindow)}, expected a duration such as "24h"`;
      return err(createInvalid(STEP, message));
    }
    if (Object.keys(request.metadata).length > MAX_METADATA_ENTRIES) {
      const message = `metadata: expected at most ${MAX_METADATA_ENTRIES} entries`;
      return err(createInvalid(STEP, message));
    }
    const idempotencyKey = request.idempotencyKey ?? request.metadata.job_key;
    const file = await this.files.read(request.workspace, request.inputFileId);
    if (idempotencyKey !== undefined) {
      const existing = await this.readByIdempotencyKey(
        request.workspace,
        idempotencyKey,
      );
      if (existing.isErr()) return err(existing.error);
      if (existing.value) {
        const digest = file.isOk() ? file.value.value.digest : undefined;
        return checkSameContent(existing.value, request, digest);
      }
    }
    if (file.isErr()) return err(file.error);
    const fault = findEndpointFault(request.endpoint, file.value.value);
    if (fault) return err(createInvalid(STEP, fault));
    const job = this.createJob(request, file.value.value, windowMs);
    return this.write(request, job, file.value, idempotencyKey);
  }

  /**
   * Writes the rows of a new job. When the transaction conflicts or its outcome
   * is unknown, reads the job row to find out whether it took effect.
   */
  private async write(
    request: JobRequest,
    job: JobRow,
    file: TypedRow<FileRow>,
    idempotencyKey: string | undefined,
  ): Promise<Result<JobRow, SavoryspurError>> {
    const outcome = await transactWithReadBack(
      {...this.context, options: this.context.readBack},
      createTransaction(job, file, idempotencyKey),
    );
    if (outcome.isOk() && outcome.value === TransactionOutcome.COMMITTED) {
      return ok(this.recordAccepted(job));
    }
    const stored = await readRow(
      this.context.table,
      keys.formatJobRowKey(job.id),
      validateJobRow,
    );
    if (stored.isOk() && stored.value) return ok(this.recordAccepted(job));
    if (outcome.isErr()) return err(outcome.error);
    if (stored.isErr()) return err(stored.error);
    return this.resolveConflict(request, file.value, idempotencyKey);
  }

  /**
   * Resolves a conflict of the transaction: either another request has created
   * a job with the idempotency key, or the input file was deleted.
   */
  private async resolveConflict(
    request: JobRequest,
    file: FileRow,
    idempotencyKey: string | undefined,
  ): Promise<Result<JobRow, SavoryspurError>> {
    if (idempotencyKey !== undefined) {
      const existing = await this.readByIdempotencyKey(
        request.workspace,
        idempotencyKey,
      );
      if (existing.isErr()) return err(existing.error);
      if (existing.value)
        return checkSameContent(existing.value, request, file.digest);
    }
    return err(
      createConflict(STEP, 'the input file was deleted during the submission'),
    );
  }

  private recordAccepted(job: JobRow): JobRow {
    this.context.log.record(BatchEvent.JOB_ACCEPTED, {
      job: job.id,
      workspace: job.workspace,
      items: job.items,
    });
    return job;
  }

  /**
   * Reads the job that was created with an idempotency key, if there is one.
   */
  private async readByIdempotencyKey(
    workspace: string,
    idempotencyKey: string,
  ): Promise<Result<JobRow | undefined, SavoryspurError>> {
    const {table} = this.context;
    const key = keys.formatIdempotencyRowKey(workspace, idempotencyKey);
    const keyRow = await readRow(table, key, validateIdempotencyKeyRow);
    if (keyRow.isErr()) return err(keyRow.error);
    if (!keyRow.value) return ok(undefined);
    const rowKey = keys.formatJobRowKey(keyRow.value.value.jobId);
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

/**
 * Parses a completion window.
 *
 * @returns milliseconds, or undefined when the text is invalid
 */
function parseWindow(text: string): number | undefined {
  const match = COMPLETION_WINDOW_PATTERN.exec(text);
  if (!match) return undefined;
  return Number(match[1]) * WINDOW_UNIT_MS.get(match[2]!)!;
}

/**
 * Checks that all lines of the file have the endpoint of the job.
 *
 * @returns the fault as text, or undefined
 */
function findEndpointFault(
  endpoint: string,
  file: FileRow,
): string | undefined {
  const others = file.endpoints.filter((url) => url !== endpoint);
  if (others.length === 0) return undefined;
  return `endpoint: found ${JSON.stringify(endpoint)}, but the file has lines for ${others.join(', ')}`;
}

/**
 * Returns the existing job if the request has the same content; else CONFLICT.
 */
function checkSameContent(
  existing: JobRow,
  request: JobRequest,
  digest: string | undefined,
): Result<JobRow, SavoryspurError> {
  const isSameInput =
    existing.inputFileId === request.inputFileId ||
    existing.inputDigest === digest;
  const isSame =
    isSameInput &&
    existing.endpoint === request.endpoint &&
    existing.completionWindow === request.completionWindow &&
    isDeepStrictEqual(existing.metadata, request.metadata);
  if (isSame) return ok(existing);
  const message = `the idempotency key belongs to ${existing.id}, a job with other content`;
  return err(createConflict(STEP, message));
}

/**
 * Creates the transaction that adds the rows of a job, on condition that none
 * of them exists and that the file row is unchanged.
 */
function createTransaction(
  job: JobRow,
  file: TypedRow<FileRow>,
  idempotencyKey: string | undefined,
): Transaction {
  const active: ActiveJobRow = {
    jobId: job.id,
    workspace: job.workspace,
    indexName: job.indexName,
    createdAt: job.createdAt,
    deadline: job.deadline,
    items: job.items,
    chunks: job.chunks,
  };
  const writes: Transaction['writes'] = [
    {key: keys.formatJobRowKey(job.id), value: {...job}},
    {key: keys.formatActiveRowKey(job.deadline, job.id), value: {...active}},
    {
      key: keys.formatJobListPrefix(job.workspace) + job.id,
      value: {jobId: job.id},
    },
  ];
  if (idempotencyKey !== undefined) {
    const key = keys.formatIdempotencyRowKey(job.workspace, idempotencyKey);
    writes.push({key, value: {jobId: job.id}});
  }
  const created = writes.map(({key}) => ({key, version: 0}));
  const unchanged = {key: file.key, version: file.version};
  return {conditions: [...created, unchanged], writes};
}
