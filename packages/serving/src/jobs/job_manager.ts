/** Decides which jobs this daemon runs, and takes over jobs of daemons that are no longer alive. */
import {ServingEvent} from '@savoryspur/common';
import type {Membership} from '../peers/membership.js';
import type {OwnerDirectory} from '../peers/owner_directory.js';
import {formatJobKey, isOpen, type StoredJob} from './job_store.js';
import {JobRunner, type JobRunnerOptions} from './job_runner.js';

/** Interval between checks of the jobs when none has changed, milliseconds. */
const CHECK_INTERVAL_MS = 250;

/** Time without a known owner after which a daemon claims orphaned jobs itself, milliseconds: all daemons of a fleet that was restarted would claim all jobs otherwise. */
const NO_OWNER_CLAIM_DELAY_MS = 3000;

/** Prefix of the keys by which orphaned jobs are assigned: the owner of the key of a job takes it over. */
const JOB_KEY_PREFIX = 'job:';

/** Components that the manager uses beyond those that run jobs. */
export interface JobManagerOptions extends JobRunnerOptions {
  members: Membership;
  owners: OwnerDirectory;
  /** Host and incarnation of this daemon, as job rows name the daemon that runs them. */
  hostIncarnation: string;
}

/** Runs the jobs of one daemon. */
export class JobManager {
  /** Jobs that run on this daemon, by their keys. */
  private readonly runners = new Map<string, JobRunner>();
  /** Keys of the jobs that are being claimed. */
  private readonly claimingJobs = new Set<string>();
  /** Since when no owner has been known, monotonic milliseconds. */
  private noOwnerSinceMs: number | undefined;
  private isDraining = false;

  /**
   * @param options - components that the manager uses
   */
  constructor(private readonly options: JobManagerOptions) {
    options.directory.subscribe(() => this.checkJobs());
  }

  /** Counts the jobs that run on this daemon. */
  count(): number {
    return this.runners.size;
  }

  /**
   * Checks the jobs periodically until it is stopped.
   *
   * @param signal - ends the task
   */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.checkJobs();
      await this.options.clock.sleep(CHECK_INTERVAL_MS, signal);
    }
  }

  /** Starts a job that is assigned to this daemon unless it runs already. */
  private startJob({row}: StoredJob): void {
    const key = formatJobKey(row);
    if (this.isDraining || this.runners.has(key)) return;
    const runner = new JobRunner(row, this.options);
    this.runners.set(key, runner);
    void runner.wait().then(() => {
      if (this.runners.get(key) === runner) this.runners.delete(key);
    });
  }

  /** Stops all jobs and releases them to other daemons with checkpoints of their items. */
  async drain(): Promise<void> {
    this.isDraining = true;
    const runners = [...this.runners.values()];
    await Promise.all(runners.map((runner) => this.releaseJob(runner)));
  }

  private async releaseJob(runner: JobRunner): Promise<void> {
    await runner.end();
    const job = this.options.directory.find(runner.identity);
    if (!job || !isOpen(job.row)) return;
    const outcome = await this.options.store.release(
      job,
      runner.describeCheckpoints(),
    );
    if (outcome.isOk() && outcome.value) return;
    this.options.log.record(ServingEvent.JOB_STORE_FAILED, {
      requestId: job.row.jobId,
      step: 'jobs.release',
      peer: 'store',
      reason: outcome.isErr()
        ? outcome.error.message
        : 'the row of the job has changed since it was read',
    });
  }

  /** Stops jobs that are no longer open or no longer assigned to this daemon, starts those that are, and claims orphaned ones. */
  private checkJobs(): void {
    if (this.isDraining) return;
    const {directory, members, owners, hostIncarnation} = this.options;
    for (const running of this.runners.values()) {
      const job = directory.find(running.identity);
      if (job && isOpen(job.row) && job.row.runner === hostIncarnation)
        continue;
      void running.end();
    }
    for (const job of directory.list()) {
      if (!isOpen(job.row)) continue;
      if (job.row.runner === hostIncarnation) {
        this.startJob(job);
        continue;
      }
      if (members.isIncarnationAlive(job.row.runner)) continue;
      const owner = owners.find(`${JOB_KEY_PREFIX}${job.row.jobId}`);
      if (owner) this.noOwnerSinceMs = undefined;
      const isOwner = owner ? owners.isSelf(owner) : this.isCutOffForLong();
      if (isOwner) void this.claimJob(job);
    }
  }

  /** Whether this daemon has known no owner for so long that it claims jobs itself; the claims are conditional. */
  private isCutOffForLong(): boolean {
    const nowMs = this.options.clock.now();
    this.noOwnerSinceMs ??= nowMs;
    return nowMs - this.noOwnerSinceMs > NO_OWNER_CLAIM_DELAY_MS;
  }

  /** Assigns an orphaned job to this daemon if its row has not changed. */
  private async claimJob(job: StoredJob): Promise<void> {
    const key = formatJobKey(job.row);
    if (this.claimingJobs.has(key)) return;
    this.claimingJobs.add(key);
    try {
      const {store, log, hostIncarnation, clock} = this.options;
      const replaced = await store.replaceJob(job, {
        ...job.row,
        runner: hostIncarnation,
      });
      if (replaced.isErr() || !replaced.value) {
        await clock.sleep(CHECK_INTERVAL_MS);
        return;
      }
      log.record(ServingEvent.JOB_TAKEN_OVER, {
        requestId: job.row.jobId,
        former: job.row.runner,
        version: job.version,
      });
    } finally {
      this.claimingJobs.delete(key);
    }
  }
}
