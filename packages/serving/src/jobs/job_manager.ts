/** Decides which jobs this daemon runs, and takes over those of daemons that are gone. */
import {ServingEvent} from '@savoryspur/common';
import type {Membership} from '../peers/membership.js';
import type {OwnerDirectory} from '../peers/owner_directory.js';
import {isOpen, type StoredJob} from './job_store.js';
import {JobRunner, type JobRunnerParts} from './job_runner.js';

/** Period in which the jobs are looked at without a change, milliseconds. */
const CHECK_MS = 250;

/** Start of the keys under which ownerless jobs are dealt out. */
const JOB_KEY_PREFIX = 'job:';

/** What the manager needs beyond what runs jobs. */
export interface JobManagerParts extends JobRunnerParts {
  members: Membership;
  owners: OwnerDirectory;
  /** This run of this daemon. */
  runner: string;
}

/** Runs the jobs of one daemon. */
export class JobManager {
  private readonly runners = new Map<string, JobRunner>();
  private readonly claiming = new Set<string>();
  private isDraining = false;

  /**
   * @param parts - collaborators
   */
  constructor(private readonly parts: JobManagerParts) {
    parts.directory.subscribe(() => this.check());
  }

  /** Counts the jobs that run here. */
  count(): number {
    return this.runners.size;
  }

  /**
   * Looks at the jobs until it is told to stop.
   *
   * @param signal - ends the task
   */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.check();
      await this.parts.clock.sleep(CHECK_MS, signal);
    }
  }

  /** Starts a job of this daemon unless it runs. */
  private start(jobId: string): void {
    if (this.isDraining || this.runners.has(jobId)) return;
    const runner = new JobRunner(jobId, this.parts);
    this.runners.set(jobId, runner);
    void runner.wait().then(() => {
      if (this.runners.get(jobId) === runner) this.runners.delete(jobId);
    });
  }

  /** Stops all jobs and hands them over with what was done of their items. */
  async drain(): Promise<void> {
    this.isDraining = true;
    const runners = [...this.runners];
    await Promise.all(
      runners.map(([jobId, runner]) => this.release(jobId, runner)),
    );
  }

  private async release(jobId: string, runner: JobRunner): Promise<void> {
    await runner.end();
    const job = this.parts.directory.find(jobId);
    if (!job || !isOpen(job.row)) return;
    const outcome = await this.parts.store.release(
      job,
      runner.describePartials(),
    );
    if (outcome.isOk() && outcome.value) return;
    this.parts.log.record(ServingEvent.JOB_STORE_FAILED, {
      requestId: jobId,
      step: 'jobs.release',
      peer: 'store',
      reason: outcome.isErr() ? outcome.error.message : 'the job has changed',
    });
  }

  private check(): void {
    if (this.isDraining) return;
    const {directory, members, owners, runner} = this.parts;
    for (const [jobId, running] of this.runners) {
      const job = directory.find(jobId);
      if (job && isOpen(job.row) && job.row.runner === runner) continue;
      void running.end();
    }
    for (const job of directory.list()) {
      if (!isOpen(job.row)) continue;
      if (job.row.runner === runner) {
        this.start(job.row.jobId);
        continue;
      }
      if (members.isIncarnationAlive(job.row.runner)) continue;
      const owner = owners.find(`${JOB_KEY_PREFIX}${job.row.jobId}`);
      if (owners.isSelf(owner)) void this.claim(job);
    }
  }

  private async claim(job: StoredJob): Promise<void> {
    const {jobId} = job.row;
    if (this.claiming.has(jobId)) return;
    this.claiming.add(jobId);
    try {
      const {store, log, runner, clock} = this.parts;
      const replaced = await store.replaceJob(job, {...job.row, runner});
      if (replaced.isErr() || !replaced.value) {
        await clock.sleep(CHECK_MS);
        return;
      }
      log.record(ServingEvent.JOB_TAKEN_OVER, {
        requestId: jobId,
        former: job.row.runner,
        version: job.version,
      });
    } finally {
      this.claiming.delete(jobId);
    }
  }
}
