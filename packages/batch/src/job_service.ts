/** Submission, lookup, cancellation and results of jobs. */
import {BatchEvent, type SavoryspurError} from '@savoryspur/common';
import {TransactionOutcome, transactWithReadBack} from '@savoryspur/storage';
import {
  type ActiveJobRow,
  type JobRow,
  JobState,
  type OutcomeCounts,
  validateActiveJobRow,
  validateJobRow,
} from '@savoryspur/schema';
import {err, ok, type Result} from 'neverthrow';
import type {BatchContext} from './context.js';
import {createConflict, createNotFound} from './errors.js';
import {FileService} from './file_service.js';
import type {FileUpload} from './file_upload.js';
import {OutcomeCounter} from './job_counts.js';
import {type JobAtRisk, JobRiskEstimator} from './job_risk_estimator.js';
import {JobSubmitter, type JobRequest} from './job_submitter.js';
import * as keys from './keys.js';
import {
  type BatchObject,
  type DeletedObject,
  type FileObject,
  type ListObject,
  toBatchObject,
  toSeconds,
} from './openai_objects.js';
import {createPage, DEFAULT_PAGE, type PageRequest} from './pages.js';
import {streamResults} from './result_reader.js';
import {parseRow, parseRows, readRow, type TypedRow} from './rows.js';

/** Maximum number of jobs that one call checks for a missed deadline. */
const MAX_JOBS_CHECKED_FOR_RISK = 200;

/** Notifies the workers of all daemons of a cancelled job, without waiting. */
export type CancelPublisher = (jobId: string) => void;

/** Manages the files and jobs of all workspaces. */
export class JobService {
  private readonly files: FileService;
  private readonly submitter: JobSubmitter;
  private readonly riskEstimator: JobRiskEstimator;
  private readonly outcomeCounter: OutcomeCounter;

  /**
   * @param context - storage, clock, log and settings
   * @param publishCancelled - notifies the workers of a cancelled job
   */
  constructor(
    private readonly context: BatchContext,
    private readonly publishCancelled: CancelPublisher,
  ) {
    this.files = new FileService(context);
    this.submitter = new JobSubmitter(context, this.files);
    this.outcomeCounter = new OutcomeCounter(context);
    this.riskEstimator = new JobRiskEstimator(context);
  }

  /** Accepts an input file; see {@link FileService.create}. */
  createFile(upload: FileUpload): Promise<Result<FileObject, SavoryspurError>> {
    return this.files.create(upload);
  }

  /** Deletes an input file; see {@link FileService.delete}. */
  deleteFile(
    workspace: string,
    fileId: string,
  ): Promise<Result<DeletedObject, SavoryspurError>> {
    return this.files.delete(workspace, fileId);
  }

  /** Lists the input files of a workspace. */
  listFiles(
    workspace: string,
    page?: PageRequest,
  ): Promise<Result<ListObject<FileObject>, SavoryspurError>> {
    return this.files.list(workspace, page);
  }

  /**
   * Gets the API object of an input file or a result file. The size of a result
   * file is not stored; its object has 0 bytes.
   */
  async showFile(
    workspace: string,
    fileId: string,
  ): Promise<Result<FileObject, SavoryspurError>> {
    const name = keys.parseResultFileId(fileId);
    if (!name) return this.files.show(workspace, fileId);
    const job = await this.readJob(workspace, name.jobId);
    return job.map((row) => ({
      id: fileId,
      object: 'file',
      bytes: 0,
      created_at: toSeconds(row.value.endedAt ?? row.value.createdAt),
      filename: `${name.jobId}_${name.kind}.jsonl`,
      purpose: 'batch_output',
      status: 'processed',
    }));
  }

  /** Submits a job; see {@link JobSubmitter.submit}. */
  submit(request: JobRequest): Promise<Result<BatchObject, SavoryspurError>> {
    return this.submitter.submit(request).then(async (row) => {
      if (row.isErr()) return err(row.error);
      return this.toObject(row.value);
    });
  }

  /** Gets the API object of a job with its outcome counts. */
  async show(
    workspace: string,
    jobId: string,
  ): Promise<Result<BatchObject, SavoryspurError>> {
    const row = await this.readJob(workspace, jobId);
    if (row.isErr()) return err(row.error);
    return this.toObject(row.value.value);
  }

  /** Lists the jobs of a workspace, newest first. */
  async list(
    workspace: string,
    page: PageRequest = DEFAULT_PAGE,
  ): Promise<Result<ListObject<BatchObject>, SavoryspurError>> {
    const prefix = keys.formatJobListPrefix(workspace);
    const entries = await this.context.table.scan({
      prefix,
      after: page.after ? prefix + page.after : '',
      limit: page.limit + 1,
    });
    if (entries.isErr()) return err(entries.error);
    const jobKeys = entries.value.map((row) =>
      keys.formatJobRowKey(row.key.slice(prefix.length)),
    );
    const rows = await this.context.table.read(jobKeys);
    if (rows.isErr()) return err(rows.error);
    const objects: BatchObject[] = [];
    for (const row of rows.value) {
      const job = parseRow(row, validateJobRow);
      if (job.isErr()) return err(job.error);
      const object = await this.toObject(job.value.value);
      if (object.isErr()) return err(object.error);
      objects.push(object.value);
    }
    objects.sort((a, b) => (a.id < b.id ? -1 : 1));
    return ok(createPage(objects, page.limit));
  }

  /**
   * Cancels a job. After this succeeds, no more outcomes of the job are
   * committed. Cancelling a cancelled job succeeds; a job that has completed or
   * expired does not change, and code CONFLICT is returned.
   */
  async cancel(
    workspace: string,
    jobId: string,
  ): Promise<Result<BatchObject, SavoryspurError>> {
    const row = await this.readJob(workspace, jobId);
    if (row.isErr()) return err(row.error);
    const job = row.value.value;
    if (job.state === JobState.CANCELLED) return this.toObject(job);
    if (job.state !== JobState.IN_PROGRESS) {
      return err(
        createConflict('batch.cancel', `the job is already ${job.state}`),
      );
    }
    const cancelled = await this.writeCancelled(row.value);
    if (cancelled.isErr()) return err(cancelled.error);
    if (cancelled.value === TransactionOutcome.CONFLICT) {
      return this.cancel(workspace, jobId);
    }
    this.context.log.record(BatchEvent.JOB_CANCELLED, {job: jobId});
    this.publishCancelled(jobId);
    return this.show(workspace, jobId);
  }

  /**
   * Opens the content of an input file or a result file.
   *
   * @returns a stream of JSON Lines that throws a SavoryspurError when storage
   *     fails, or an error when there is no such file
   */
  async readResults(
    workspace: string,
    fileId: string,
  ): Promise<Result<AsyncGenerator<Buffer, void, void>, SavoryspurError>> {
    const name = keys.parseResultFileId(fileId);
    if (!name) {
      const file = await this.files.read(workspace, fileId);
      return file.map((row) => this.files.readContent(row.value));
    }
    const job = await this.readJob(workspace, name.jobId);
    return job.map((row) => streamResults(this.context, row.value, name.kind));
  }

  /**
   * Lists the running jobs of all workspaces, earliest deadline first, for
   * operators.
   *
   * @param limit - maximum number of jobs
   */
  async listRunning(
    limit: number,
  ): Promise<Result<ActiveJobRow[], SavoryspurError>> {
    const {table, log} = this.context;
    const range = {prefix: keys.ACTIVE_PREFIX, after: '', limit};
    const rows = await table.scan(range);
    return rows.map((found) =>
      parseRows(found, validateActiveJobRow, log).map((row) => row.value),
    );
  }

  /**
   * Lists the jobs of all workspaces that are expected to miss their deadline,
   * among the jobs with the earliest deadlines.
   *
   * @param limit - maximum number of jobs to check
   */
  listJobsAtRisk(
    limit = MAX_JOBS_CHECKED_FOR_RISK,
  ): Promise<Result<JobAtRisk[], SavoryspurError>> {
    return this.riskEstimator.list(limit);
  }

  /**
   * Reads the row of a job; code NOT_FOUND when the workspace has no such job.
   */
  private async readJob(
    workspace: string,
    jobId: string,
  ): Promise<Result<TypedRow<JobRow>, SavoryspurError>> {
    const notFound = createNotFound('batch.read_job', `job ${jobId}`);
    if (!keys.isJobId(jobId)) return err(notFound);
    const {table} = this.context;
    const row = await readRow(
      table,
      keys.formatJobRowKey(jobId),
      validateJobRow,
    );
    if (row.isErr()) return err(row.error);
    if (row.value?.value.workspace !== workspace) return err(notFound);
    return ok(row.value);
  }

  /**
   * Writes the cancelled state and deletes the active row in one transaction.
   */
  private writeCancelled(row: TypedRow<JobRow>) {
    const {key, version, value} = row;
    const activeKey = keys.formatActiveRowKey(value.deadline, value.id);
    const endedAt = this.context.clock.nowWall().getTime();
    const cancelled: JobRow = {...value, state: JobState.CANCELLED, endedAt};
    return transactWithReadBack(
      {...this.context, options: this.context.readBack},
      {
        conditions: [
          {key, version},
          {key: activeKey, version},
        ],
        writes: [{key, value: {...cancelled}}, {key: activeKey}],
      },
    );
  }

  /**
   * Converts a job row into its API object; reads the outcome counts for it.
   */
  private async toObject(
    job: JobRow,
  ): Promise<Result<BatchObject, SavoryspurError>> {
    const counts = await this.outcomeCounter.count(job);
    return counts.map((sum) =>
      toBatchObject(job, this.countNotRunAsFailed(job, sum)),
    );
  }

  /** Counts the items that an ended job did not run as failed. */
  private countNotRunAsFailed(job: JobRow, sum: OutcomeCounts): OutcomeCounts {
    if (job.state === JobState.IN_PROGRESS) return sum;
    return {completed: sum.completed, failed: job.items - sum.completed};
  }
}

/**
 * Creates the service for files and jobs.
 *
 * @param context - storage, clock, log and settings
 * @param publishCancelled - notifies the workers of this and all other daemons
 *     of a cancelled job
 */
export function createJobService(
  context: BatchContext,
  publishCancelled: CancelPublisher = () => undefined,
): JobService {
  return new JobService(context, publishCancelled);
}
