/** Jobs of all workspaces, as operators see them. */
import type {SavoryspurError} from '@savoryspur/common';
import {type JobRow, validateJobRow} from '@savoryspur/schema';
import {err, ok, type Result} from 'neverthrow';
import type {BatchContext} from './context.js';
import {createNotFound} from './errors.js';
import * as keys from './keys.js';
import {parseRows, readRow} from './rows.js';

/** A part of the list of all jobs. */
export interface JobPage {
  jobs: JobRow[];
  /** Job after which the list goes on; absent at its end. */
  next?: string;
}

/** Key prefix of the rows of all jobs. */
const JOB_PREFIX = keys.formatJobKey('');

/** Finds jobs without knowing their workspace. */
export class OperatorJobReader {
  /**
   * @param context - table and log
   */
  constructor(private readonly context: BatchContext) {}

  /** Finds a job; code NOT_FOUND when there is none. */
  async find(jobId: string): Promise<Result<JobRow, SavoryspurError>> {
    const notFound = createNotFound('batch.find_job', `job ${jobId}`);
    if (!keys.isJobId(jobId)) return err(notFound);
    const key = keys.formatJobKey(jobId);
    const row = await readRow(this.context.table, key, validateJobRow);
    if (row.isErr()) return err(row.error);
    return row.value ? ok(row.value.value) : err(notFound);
  }

  /**
   * Lists jobs, the newest first.
   *
   * @param limit - most jobs of the page
   * @param after - job after which the page starts; the newest when absent
   */
  async list(
    limit: number,
    after = '',
  ): Promise<Result<JobPage, SavoryspurError>> {
    const rows = await this.context.table.scan({
      prefix: JOB_PREFIX,
      after: after && keys.formatJobKey(after),
      limit,
    });
    if (rows.isErr()) return err(rows.error);
    const parsed = parseRows(rows.value, validateJobRow, this.context.log);
    const jobs = parsed.map((row) => row.value);
    const isEnd = rows.value.length < limit;
    return ok({jobs, next: isEnd ? undefined : jobs[jobs.length - 1]?.id});
  }
}
