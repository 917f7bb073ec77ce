/** Jobs as this daemon last read them. */
import {type EventLog, ServingEvent} from '@savoryspur/common';
import type {FollowedRow, TableListener} from '../store/table_follower.js';
import {parseJob, type StoredJob} from './job_store.js';

/** Told of changed jobs. */
export type JobListener = () => void;

/** Copy of the table of jobs. */
export class JobDirectory implements TableListener {
  private readonly jobs = new Map<string, StoredJob>();
  private readonly listeners: JobListener[] = [];

  /**
   * @param log - event log
   */
  constructor(private readonly log: EventLog) {}

  /** Adds a listener that is called after changes. */
  subscribe(listener: JobListener): void {
    this.listeners.push(listener);
  }

  /** Finds a job. */
  find(jobId: string): StoredJob | undefined {
    return this.jobs.get(jobId);
  }

  /** Lists all jobs. */
  list(): StoredJob[] {
    return [...this.jobs.values()];
  }

  /** Takes in a job that was read or written by this daemon. */
  update(job: StoredJob): void {
    const known = this.jobs.get(job.row.jobId);
    if (known && known.version >= job.version) return;
    this.jobs.set(job.row.jobId, job);
  }

  /** {@inheritDoc TableListener.apply} */
  apply(row: FollowedRow): void {
    if (row.value === undefined) {
      this.jobs.delete(row.key);
      return;
    }
    const job = parseJob(row.value, row.version);
    if (job.isOk()) {
      this.update(job.value);
      return;
    }
    this.log.record(ServingEvent.DOCUMENT_REJECTED, {
      step: 'jobs.follow',
      peer: row.key,
      reason: job.error.message,
    });
  }

  /** {@inheritDoc TableListener.finish} */
  finish(): void {
    for (const listener of this.listeners) listener();
  }
}
