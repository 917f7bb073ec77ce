/** Local copy of the job table, as this daemon last read it. */
import {type EventLog, ServingEvent} from '@savoryspur/common';
import type {FollowedRow, TableListener} from '../store/table_follower.js';
import {parseJob, type StoredJob} from './job_store.js';

/** Called after jobs have changed. */
export type JobListener = () => void;

/** Jobs of all daemons, kept current by a table follower and by this daemon's own reads and writes. */
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

  /** Finds a job by its id; undefined when none is known. */
  find(jobId: string): StoredJob | undefined {
    return this.jobs.get(jobId);
  }

  /** Lists all known jobs. */
  list(): StoredJob[] {
    return [...this.jobs.values()];
  }

  /** Stores a job that this daemon has read or written, unless a version at least as new is known. */
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
