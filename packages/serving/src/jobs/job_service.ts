/** Lets callers read the results of their batch jobs and cancel them. */
import {type Clock, type EventLog, ServingEvent} from '@savoryspur/common';
import {type BatchResultRow, BatchState} from '@savoryspur/schema';
import {
  type MemoryBudget,
  type MemoryReservation,
  MemoryUse,
} from '../memory/memory_budget.js';
import type {JobDirectory} from './job_directory.js';
import type {JobPayloads} from './job_payloads.js';
import {
  computeJsonBytes,
  formatJobKey,
  type JobStore,
  type StoredJob,
} from './job_store.js';

/** Interval at which a read that waits for results polls the store, milliseconds. */
const POLL_INTERVAL_MS = 300;

/** Maximum size of the outputs that one read returns, in JSON, bytes. */
const MAX_PAGE_BYTES = 900_000;

/** Maximum size of the results cached in memory over all jobs, bytes. */
const MAX_CACHED_RESULT_BYTES = 8 * 1024 * 1024;

/** Memory for the rows and outputs of one read of results from the store, bytes. */
const RESULT_READ_BYTES = 1024 * 1024;

/** Longest wait of a read of results for memory, milliseconds. */
const MAX_MEMORY_WAIT_MS = 500;

/** Maximum number of attempts to cancel a job before its caller is told that the outcome is uncertain. */
const MAX_CANCEL_ATTEMPTS = 4;

/** Why a call on a job failed. */
export enum JobFailure {
  /** The workspace has no such job, or the job has no such item. */
  NOT_FOUND = 'not_found',
  /** The store did not answer, so the state of the job or the effect of the call is unknown. */
  UNCERTAIN = 'uncertain',
}

/** Page of the results of a job. */
export interface JobResults {
  /** Number of items of the job. */
  total: number;
  results: BatchResultRow[];
  /** Position from which the next page starts. */
  next: number;
}

/** Reads and cancels batch jobs for callers. */
export class JobService {
  /** Results of jobs from position 0 on without gaps, by the key of the job, oldest entry first. */
  private readonly resultCache = new Map<string, BatchResultRow[]>();
  private resultCacheBytes = 0;

  /**
   * @param store - store of the jobs
   * @param directory - local copy of the job table
   * @param payloads - payloads of the jobs
   * @param memory - memory budget of this daemon
   * @param clock - source of time
   * @param log - event log
   */
  constructor(
    private readonly store: JobStore,
    private readonly directory: JobDirectory,
    private readonly payloads: JobPayloads,
    private readonly memory: MemoryBudget,
    private readonly clock: Clock,
    private readonly log: EventLog,
  ) {}

  /**
   * Reads a page of results in order; a long poll when there are none yet.
   *
   * @param workspace - caller's workspace
   * @param jobId - id of the job
   * @param from - position of the first result, counted from 0
   * @param waitMs - maximum wait for a first result, milliseconds
   * @param signal - ends the wait
   */
  async read(
    workspace: string,
    jobId: string,
    from: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<JobResults | JobFailure> {
    const job = await this.find(workspace, jobId);
    if (typeof job === 'string') return job;
    const total = job.row.items.length;
    const untilMs = this.clock.now() + waitMs;
    for (;;) {
      const results = await this.readResultsFrom(job, from);
      if (typeof results === 'string') return results;
      const isOver =
        from >= total || this.clock.now() + POLL_INTERVAL_MS > untilMs;
      if (results.length > 0 || isOver || signal.aborted) {
        const page = takePage(results);
        return {total, results: page, next: from + page.length};
      }
      await this.clock.sleep(POLL_INTERVAL_MS, signal);
    }
  }

  /**
   * Reads the body of an item.
   *
   * @param workspace - caller's workspace
   * @param jobId - id of the job
   * @param itemId - id of the item
   */
  async readBody(
    workspace: string,
    jobId: string,
    itemId: string,
  ): Promise<Buffer | JobFailure> {
    const job = await this.find(workspace, jobId);
    if (typeof job === 'string') return job;
    const isKnown = job.row.items.some((item) => item.itemId === itemId);
    if (!isKnown) return JobFailure.NOT_FOUND;
    const items = await this.payloads.get(job.row);
    if (items.isErr()) {
      this.recordFailure(jobId, items.error.message);
      return JobFailure.UNCERTAIN;
    }
    if (!items.value) this.recordFailure(jobId, 'no memory for the payload');
    const item = items.value?.find((entry) => entry.itemId === itemId);
    return item?.body ?? JobFailure.UNCERTAIN;
  }

  /**
   * Cancels a job, so that none of its items start any more. The state of a
   * cancelled job is called ended; a job that is no longer open stays as it is.
   *
   * @param workspace - caller's workspace
   * @param jobId - id of the job
   * @returns undefined once the cancellation is durable
   */
  async cancel(
    workspace: string,
    jobId: string,
  ): Promise<JobFailure | undefined> {
    let job = await this.find(workspace, jobId);
    for (let attempts = 0; attempts < MAX_CANCEL_ATTEMPTS; attempts += 1) {
      if (typeof job === 'string') return job;
      if (job.row.state !== BatchState.OPEN) return undefined;
      const row = {...job.row, state: BatchState.ENDED};
      const replaced = await this.store.replaceJob(job, row);
      if (replaced.isOk() && replaced.value) {
        this.log.record(ServingEvent.JOB_CANCELLED, {
          requestId: jobId,
          workspace,
        });
        return undefined;
      }
      job = await this.readFromStore(workspace, jobId);
    }
    return JobFailure.UNCERTAIN;
  }

  /** Finds a job of a workspace in the local copy or else in the store. */
  private async find(
    workspace: string,
    jobId: string,
  ): Promise<StoredJob | JobFailure> {
    const known = this.directory.find({workspace, jobId});
    return known ?? this.readFromStore(workspace, jobId);
  }

  private async readFromStore(
    workspace: string,
    jobId: string,
  ): Promise<StoredJob | JobFailure> {
    const read = await this.store.readJob(workspace, jobId);
    if (read.isErr()) {
      this.recordFailure(jobId, read.error.message);
      return JobFailure.UNCERTAIN;
    }
    if (!read.value) return JobFailure.NOT_FOUND;
    this.directory.update(read.value);
    return read.value;
  }

  /** Reads results from a position on. Results never change, so those that were read once are cached and only later ones are read. */
  private async readResultsFrom(
    job: StoredJob,
    from: number,
  ): Promise<BatchResultRow[] | JobFailure> {
    const {jobId, items} = job.row;
    const key = formatJobKey(job.row);
    const cached = this.resultCache.get(key) ?? [];
    const known = cached.slice(from);
    const isWhole = cached.length >= items.length;
    if (isWhole || from >= items.length) return known;
    const start = Math.max(from, cached.length);
    const memory = await this.reserveResultMemory();
    if (!memory) {
      this.recordFailure(jobId, 'no memory for the results');
      return known.length > 0 ? known : JobFailure.UNCERTAIN;
    }
    const read = await this.store.readResults(job.row, start, MAX_PAGE_BYTES);
    memory.release();
    if (read.isErr()) {
      this.recordFailure(jobId, read.error.message);
      return known.length > 0 ? known : JobFailure.UNCERTAIN;
    }
    const isNext = start === cached.length && read.value.length > 0;
    if (isNext) this.putInCache(key, [...cached, ...read.value]);
    return [...known, ...read.value];
  }

  /** Caches the results of a job and evicts the oldest entries beyond the size limit. */
  private putInCache(key: string, results: BatchResultRow[]): void {
    const previous = this.resultCache.get(key) ?? [];
    this.resultCacheBytes += countBytes(results) - countBytes(previous);
    this.resultCache.delete(key);
    this.resultCache.set(key, results);
    for (const [oldest, evicted] of this.resultCache) {
      if (this.resultCacheBytes <= MAX_CACHED_RESULT_BYTES) return;
      this.resultCache.delete(oldest);
      this.resultCacheBytes -= countBytes(evicted);
    }
  }

  private reserveResultMemory(): Promise<MemoryReservation | undefined> {
    return this.memory.reserve(
      MemoryUse.RESULT_READS,
      RESULT_READ_BYTES,
      AbortSignal.timeout(MAX_MEMORY_WAIT_MS),
    );
  }

  private recordFailure(requestId: string, reason: string): void {
    this.log.record(ServingEvent.JOB_STORE_FAILED, {
      requestId,
      step: 'jobs.read',
      peer: 'store',
      reason,
    });
  }
}

function countBytes(results: readonly BatchResultRow[]): number {
  return results.reduce((sum, result) => sum + result.output.length, 0);
}

/** Takes the first results up to {@link MAX_PAGE_BYTES}, but at least one. */
function takePage(results: BatchResultRow[]): BatchResultRow[] {
  let bytes = 0;
  let count = 0;
  for (const result of results) {
    bytes += computeJsonBytes(result.output);
    if (count > 0 && bytes > MAX_PAGE_BYTES) break;
    count += 1;
  }
  return results.slice(0, count);
}
