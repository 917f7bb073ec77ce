/** Jobs that will miss their deadline at the rate seen so far. */
import type {SavoryspurError} from '@savoryspur/common';
import {type ActiveRow, validateActiveRow} from '@savoryspur/schema';
import {err, ok, type Result} from 'neverthrow';
import type {BatchContext} from './context.js';
import {sumOutcomes} from './job_counts.js';
import {ACTIVE_PREFIX} from './keys.js';
import {parseRows} from './rows.js';

/** Part of the window after which a job without progress is at risk. */
const MAX_IDLE_PART = 0.25;

/** A job that is expected to be late. */
export interface JobAtRisk {
  jobId: string;
  workspace: string;
  /** Wall time by which the job is due, milliseconds. */
  deadline: number;
  /** Wall time at which it is expected to end; absent without progress. */
  expectedEnd?: number;
  items: number;
  done: number;
}

/** Progress of a job at an earlier look. */
interface Sample {
  wallMs: number;
  done: number;
}

/** Judges running jobs by their progress since the last look. */
export class JobRiskEstimator {
  private samples = new Map<string, Sample>();

  /**
   * @param context - table, clock and log
   */
  constructor(private readonly context: BatchContext) {}

  /**
   * Lists the jobs that will be late, among those due first.
   *
   * @param limit - jobs to look at
   */
  async list(limit: number): Promise<Result<JobAtRisk[], SavoryspurError>> {
    const {table, log, clock} = this.context;
    const rows = await table.scan({prefix: ACTIVE_PREFIX, after: '', limit});
    if (rows.isErr()) return err(rows.error);
    const wallMs = clock.nowWall().getTime();
    const samples = new Map<string, Sample>();
    const atRisk: JobAtRisk[] = [];
    for (const {value} of parseRows(rows.value, validateActiveRow, log)) {
      const counts = await sumOutcomes(this.context, value.jobId);
      if (counts.isErr()) return err(counts.error);
      const done = counts.value.completed + counts.value.failed;
      samples.set(value.jobId, {wallMs, done});
      const job = this.check(value, {wallMs, done});
      if (job) atRisk.push(job);
    }
    this.samples = samples;
    return ok(atRisk);
  }

  /** Makes an entry for a job that is expected to be late. */
  private check(row: ActiveRow, now: Sample): JobAtRisk | undefined {
    const expectedEnd = this.computeEnd(row, now);
    if (expectedEnd !== undefined && expectedEnd <= row.deadline) {
      return undefined;
    }
    const windowMs = row.deadline - row.createdAt;
    const isYoung = now.wallMs - row.createdAt < windowMs * MAX_IDLE_PART;
    if (expectedEnd === undefined && isYoung) return undefined;
    const {jobId, workspace, deadline, items} = row;
    return {jobId, workspace, deadline, items, done: now.done, expectedEnd};
  }

  /**
   * Computes when a job ends at the slower of its rate since the start and its
   * rate since the last look.
   */
  private computeEnd(row: ActiveRow, now: Sample): number | undefined {
    const start = {wallMs: row.createdAt, done: 0};
    const last = this.samples.get(row.jobId) ?? start;
    const rate = Math.min(computeRate(start, now), computeRate(last, now));
    if (rate === 0) return undefined;
    return now.wallMs + (row.items - now.done) / rate;
  }
}

/** Computes items a millisecond between two looks. */
function computeRate(from: Sample, to: Sample): number {
  const elapsedMs = to.wallMs - from.wallMs;
  return elapsedMs > 0 ? (to.done - from.done) / elapsedMs : 0;
}
