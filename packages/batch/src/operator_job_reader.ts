/** Reads the jobs of all workspaces for operators. */
import type {SavoryspurError} from '@savoryspur/common';
import {type JobRow, validateJobRow} from '@savoryspur/schema';
import {err, ok, type Result} from 'neverthrow';
import type {BatchContext} from './context.js';
import {createNotFound} from './errors.js';
import * as keys from './keys.js';
import {parseRows, readRow} from './rows.js';

/** One page of the list of all jobs. */
export interface JobPage {
  jobs: JobRow[];
  /** Id after which the next page starts; absent on the last page. */
  next?: string;
}

/** Key prefix of the rows of all jobs. */
const JOB_ROW_PREFIX = keys.formatJobRowKey('');

/** Reads jobs by id, whatever their workspace, and lists all jobs. */
export class OperatorJobReader {
  /**
   * @param context - table and log
   */
  constructor(private readonly context: BatchContext) {}

  /** Finds a job by its id; code NOT_FOUND when there is none. */
  async find(jobId: string): Promise<Result<JobRow, SavoryspurError>> {
    const notFound = createNotFound('batch.find_job', `job ${jobId}`);
    if (!keys.isJobId(jobId)) return err(notFound);
    const key = keys.formatJobRowKey(jobId);
    const row = await readRow(this.context.table, key, validateJobRow);
    if (row.isErr()) return err(row.error);
    return row.value ? ok(row.value.value) : err(notFound);
  }

  /**
   * Lists jobs, newest first.
   *
   * @param limit - maximum number of jobs on the page
   * @param after - id after which the page starts; empty for the first page
   */
  async list(
    limit: number,
    after = '',
  ): Promise<Result<JobPage, SavoryspurError>> {
    const rows = await this.context.table.scan({
      prefix: JOB_ROW_PREFIX,
      after: after && keys.formatJobRowKey(after),
      limit,
    });
    if (rows.isErr()) return err(rows.error);
    const parsed = parseRows(rows.value, validateJobRow, this.context.log);
    const jobs = parsed.map((row) => row.value);
    const isEnd = rows.value.length < limit;
    return ok({jobs, next: isEnd ? undefined : jobs[jobs.length - 1]?.id});
  }
}
