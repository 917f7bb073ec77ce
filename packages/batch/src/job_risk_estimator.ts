/** Estimates which running jobs will miss their deadline. */
import type {SavoryspurError} from '@savoryspur/common';
import {type ActiveJobRow, validateActiveJobRow} from '@savoryspur/schema';
import {err, ok, type Result} from 'neverthrow';
import type {BatchContext} from './context.js';
import {sumOutcomes} from './job_counts.js';
import {ACTIVE_PREFIX} from './keys.js';
import {parseRows} from './rows.js';

/**
 * Fraction of the time from creation to deadline after which a job without
 * progress is at risk.
 */
const NO_PROGRESS_WINDOW_FRACTION = 0.25;

/** A job that is expected to miss its deadline. */
export interface JobAtRisk {
  jobId: string;
  workspace: string;
  /** Wall time of the deadline, milliseconds. */
  deadlineMs: number;
  /** Expected end as wall time, milliseconds; absent without progress. */
  expectedEndMs?: number;
  items: number;
  /** Items with a committed outcome. */
  done: number;
}

/** Progress of a job at a wall time. */
interface ProgressSample {
  wallMs: number;
  done: number;
}

/** Estimates the end of running jobs from their progress between samples. */
export class JobRiskEstimator {
  /** Sample of each listed job at the last call, by job id. */
  private samples = new Map<string, ProgressSample>();

  /**
   * @param context - table, clock and log
   */
  constructor(private readonly context: BatchContext) {}

  /**
   * Lists the jobs that are expected to miss their deadline, among the jobs
   * with the earliest deadlines. Each call takes a new sample of their
   * progress.
   *
   * @param limit - maximum number of jobs to check
   */
  async list(limit: number): Promise<Result<JobAtRisk[], SavoryspurError>> {
    const {table, log, clock} = this.context;
    const rows = await table.scan({prefix: ACTIVE_PREFIX, after: '', limit});
    if (rows.isErr()) return err(rows.error);
    const wallMs = clock.nowWall().getTime();
    const samples = new Map<string, ProgressSample>();
    const atRisk: JobAtRisk[] = [];
    for (const {value} of parseRows(rows.value, validateActiveJobRow, log)) {
      const counts = await sumOutcomes(this.context, value.jobId);
      if (counts.isErr()) return err(counts.error);
      const done = counts.value.completed + counts.value.failed;
      samples.set(value.jobId, {wallMs, done});
      const job = this.estimateRisk(value, {wallMs, done});
      if (job) atRisk.push(job);
    }
    this.samples = samples;
    return ok(atRisk);
  }

  /** Creates an entry if the job is expected to miss its deadline. */
  private estimateRisk(
    row: ActiveJobRow,
    current: ProgressSample,
  ): JobAtRisk | undefined {
    const expectedEnd = this.estimateEndMs(row, current);
    if (expectedEnd !== undefined && expectedEnd <= row.deadline) {
      return undefined;
    }
    const windowMs = row.deadline - row.createdAt;
    const isWithinGrace =
      current.wallMs - row.createdAt < windowMs * NO_PROGRESS_WINDOW_FRACTION;
    if (expectedEnd === undefined && isWithinGrace) return undefined;
    const {jobId, workspace, deadline, items} = row;
    return {
      jobId,
      workspace,
      deadlineMs: deadline,
      items,
      done: current.done,
      expectedEndMs: expectedEnd,
    };
  }

  /**
   * Estimates the end of a job from the lower of its rate since it was created
   * and its rate since the previous sample.
   *
   * @returns wall time, milliseconds; undefined without progress
   */
  private estimateEndMs(
    row: ActiveJobRow,
    current: ProgressSample,
  ): number | undefined {
    const created = {wallMs: row.createdAt, done: 0};
    const previous = this.samples.get(row.jobId) ?? created;
    const itemsPerMs = Math.min(
      computeItemsPerMs(created, current),
      computeItemsPerMs(previous, current),
    );
    if (itemsPerMs === 0) return undefined;
    return current.wallMs + (row.items - current.done) / itemsPerMs;
  }
}

/** Computes the rate between two samples, items per millisecond. */
function computeItemsPerMs(from: ProgressSample, to: ProgressSample): number {
  const elapsedMs = to.wallMs - from.wallMs;
  return elapsedMs > 0 ? (to.done - from.done) / elapsedMs : 0;
}
