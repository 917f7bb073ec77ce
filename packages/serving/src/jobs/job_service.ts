/** What callers do with their batch jobs after the submission. */
import {type Clock, type EventLog, ServingEvent} from '@savoryspur/common';
import {
  type BatchPayload,
  type BatchResultRow,
  BatchState,
} from '@savoryspur/schema';
import type {JobDirectory} from './job_directory.js';
import type {JobStore, StoredJob} from './job_store.js';

/** Period in which a waiting read asks the store, milliseconds. */
const POLL_MS = 300;

/** Largest part of a job that one read returns, bytes. */
const MAX_READ_BYTES = 900_000;

/** Results that are kept in memory, bytes over all jobs. */
const MAX_CACHE_BYTES = 8 * 1024 * 1024;

/** Payloads that are kept in memory. */
const MAX_PAYLOADS = 32;

/** Tries to end a job before its caller is told to come back. */
const END_TRIES = 4;

/** Why a call on a job has no answer. */
export enum JobFailure {
  /** No such job of the workspace, or no such item in it. */
  NOT_FOUND = 'not_found',
  /** The store does not answer, so nothing is certain. */
  UNCERTAIN = 'uncertain',
}

/** Results from a position on. */
export interface JobResults {
  total: number;
  results: BatchResultRow[];
  /** Position after the last result. */
  next: number;
}

/** Reads and ends batch jobs. */
export class JobService {
  private readonly cache = new Map<string, BatchResultRow[]>();
  private cacheBytes = 0;
  private readonly payloads = new Map<string, BatchPayload>();

  /**
   * @param store - where jobs are kept
   * @param directory - jobs that are known here
   * @param clock - source of time
   * @param log - event log
   */
  constructor(
    private readonly store: JobStore,
    private readonly directory: JobDirectory,
    private readonly clock: Clock,
    private readonly log: EventLog,
  ) {}

  /**
   * Reads results in order.
   *
   * @param workspace - caller's workspace
   * @param jobId - the job
   * @param from - first position
   * @param waitMs - longest wait for a first result, milliseconds
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
      const results = await this.readFrom(job, from);
      if (typeof results === 'string') return results;
      const isOver = from >= total || this.clock.now() + POLL_MS > untilMs;
      if (results.length > 0 || isOver || signal.aborted) {
        const kept = takeBytes(results);
        return {total, results: kept, next: from + kept.length};
      }
      await this.clock.sleep(POLL_MS, signal);
    }
  }

  /**
   * Reads the body of an item.
   *
   * @param workspace - caller's workspace
   * @param jobId - the job
   * @param itemId - the item
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
    const payload = await this.readPayload(job);
    const item = payload?.items.find((entry) => entry.itemId === itemId);
    return item ? Buffer.from(item.body, 'base64') : JobFailure.UNCERTAIN;
  }

  /**
   * Ends a job; nothing of it starts afterwards.
   *
   * @param workspace - caller's workspace
   * @param jobId - the job
   * @returns undefined once the end is durable
   */
  async cancel(
    workspace: string,
    jobId: string,
  ): Promise<JobFailure | undefined> {
    let job = await this.find(workspace, jobId);
    for (let tries = 0; tries < END_TRIES; tries += 1) {
      if (typeof job === 'string') return job;
      if (job.row.state !== BatchState.OPEN) return undefined;
      const row = {...job.row, state: BatchState.ENDED};
      const replaced = await this.store.replaceJob(job, row);
      if (replaced.isOk() && replaced.value) {
        this.log.record(ServingEvent.JOB_ENDED, {requestId: jobId, workspace});
        return undefined;
      }
      job = await this.readFresh(workspace, jobId);
    }
    return JobFailure.UNCERTAIN;
  }

  private async find(
    workspace: string,
    jobId: string,
  ): Promise<StoredJob | JobFailure> {
    const known = this.directory.find(jobId);
    if (!known) return this.readFresh(workspace, jobId);
    return known.row.workspace === workspace ? known : JobFailure.NOT_FOUND;
  }

  private async readFresh(
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

  /** Results never change, so those that were read once are kept and continued. */
  private async readFrom(
    job: StoredJob,
    from: number,
  ): Promise<BatchResultRow[] | JobFailure> {
    const {jobId, items} = job.row;
    const cached = this.cache.get(jobId) ?? [];
    const known = cached.slice(from);
    const isWhole = cached.length >= items.length;
    if (isWhole || from >= items.length) return known;
    const start = Math.max(from, cached.length);
    const read = await this.store.readResults(job.row, start);
    if (read.isErr()) {
      this.recordFailure(jobId, read.error.message);
      return known.length > 0 ? known : JobFailure.UNCERTAIN;
    }
    const isNext = start === cached.length && read.value.length > 0;
    if (isNext) this.keep(jobId, [...cached, ...read.value]);
    return [...known, ...read.value];
  }

  private keep(jobId: string, results: BatchResultRow[]): void {
    const old = this.cache.get(jobId) ?? [];
    this.cacheBytes += countBytes(results) - countBytes(old);
    this.cache.delete(jobId);
    this.cache.set(jobId, results);
    for (const [oldest, kept] of this.cache) {
      if (this.cacheBytes <= MAX_CACHE_BYTES) return;
      this.cache.delete(oldest);
      this.cacheBytes -= countBytes(kept);
    }
  }

  private async readPayload(job: StoredJob): Promise<BatchPayload | undefined> {
    const known = this.payloads.get(job.row.payload);
    if (known) return known;
    const read = await this.store.readPayload(job.row);
    if (read.isErr()) {
      this.recordFailure(job.row.jobId, read.error.message);
      return undefined;
    }
    this.payloads.set(job.row.payload, read.value);
    for (const oldest of this.payloads.keys()) {
      if (this.payloads.size <= MAX_PAYLOADS) break;
      this.payloads.delete(oldest);
    }
    return read.value;
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

/** Takes results up to the bound of one read, at least one. */
function takeBytes(results: BatchResultRow[]): BatchResultRow[] {
  let bytes = 0;
  let count = 0;
  for (const result of results) {
    bytes += Buffer.byteLength(result.output);
    if (count > 0 && bytes > MAX_READ_BYTES) break;
    count += 1;
  }
  return results.slice(0, count);
}
