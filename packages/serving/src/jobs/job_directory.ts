/** Local copy of the job table, as this daemon last read it. */
import {type EventLog, ServingEvent} from '@savoryspur/common';
import type {FollowedRow, TableListener} from '../store/table_follower.js';
import {
  formatJobName,
  type JobIdentity,
  parseJob,
  type StoredJob,
} from './job_store.js';

/** Called after jobs have changed. */
export type JobListener = () => void;

/** Jobs of all daemons, kept current by a table follower and by this daemon's own reads and writes. */
export class JobDirectory implements TableListener {
  /** Jobs by their ids and the partitions of their rows; a job of one workspace replaces a former one of another whose row was in its place. */
  private readonly jobs = new Map<string, Map<string, StoredJob>>();
  private readonly listeners: JobListener[] = [];

  /**
   * @param log - event log
   */
  constructor(private readonly log: EventLog) {}

  /** Adds a listener that is called after changes. */
  subscribe(listener: JobListener): void {
    this.listeners.push(listener);
  }

  /** Finds a job of a workspace; undefined when none is known. */
  find({workspace, jobId}: JobIdentity): StoredJob | undefined {
    const {part} = formatJobName(workspace, jobId);
    const job = this.jobs.get(jobId)?.get(part);
    return job?.row.workspace === workspace ? job : undefined;
  }

  /** Checks whether another workspace has a job of this id. */
  isIdOfOther({workspace, jobId}: JobIdentity): boolean {
    const jobs = [...(this.jobs.get(jobId)?.values() ?? [])];
    return jobs.some(({row}) => row.workspace !== workspace);
  }

  /** Lists all known jobs. */
  list(): StoredJob[] {
    return [...this.jobs.values()].flatMap((jobs) => [...jobs.values()]);
  }

  /** Stores a job that this daemon has read or written, unless a version at least as new is known. */
  update(job: StoredJob): void {
    const {workspace, jobId} = job.row;
    const {part} = formatJobName(workspace, jobId);
    const jobs = this.jobs.get(jobId) ?? new Map<string, StoredJob>();
    const known = jobs.get(part);
    if (known && known.version >= job.version) return;
    this.jobs.set(jobId, jobs.set(part, job));
  }

  /** {@inheritDoc TableListener.apply} */
  apply(row: FollowedRow): void {
    if (row.value === undefined) {
      this.remove(row.key, row.part);
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

  private remove(jobId: string, part: string): void {
    const jobs = this.jobs.get(jobId);
    jobs?.delete(part);
    if (jobs?.size === 0) this.jobs.delete(jobId);
  }

  /** {@inheritDoc TableListener.finish} */
  finish(): void {
    for (const listener of this.listeners) listener();
  }
}
