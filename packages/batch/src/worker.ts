/** Batch worker of one host: finds claimable chunks, claims and runs them. */
import {
  BatchEvent,
  type SavoryspurError,
  toSavoryspurError,
} from '@savoryspur/common';
import {JobState} from '@savoryspur/schema';
import {err, type Result} from 'neverthrow';
import type {ActiveJob} from './active_job.js';
import {loadItems} from './chunk_items.js';
import {type ClaimCandidate, claimChunk, ClaimResult} from './chunk_claim.js';
import {ChunkLease} from './chunk_lease.js';
import type {BatchItem} from './item_executor.js';
import {ChunkEnd, ChunkRunner, type ChunkServices} from './chunk_runner.js';
import {HeldChunkSet} from './held_chunk_set.js';
import {FileIndexCache} from './file_index.js';
import {ItemRunner} from './item_runner.js';
import {ItemSemaphore} from './item_semaphore.js';
import {JobScheduler} from './job_scheduler.js';
import {finishJob} from './job_finisher.js';
import {ScanResult} from './chunk_scanner.js';
import {formatJobRowKey} from './keys.js';
import {MemoryBudget} from './memory_budget.js';
import {StoreHealth} from './store_health.js';
import {
  computePollIntervalMs,
  DEFAULT_WORKER_BOUNDS,
  type WorkerBounds,
  type WorkerContext,
} from './worker_context.js';

/** Default time that a drain waits for unavailable storage, milliseconds. */
const DEFAULT_DRAIN_TIMEOUT_MS = 25_000;

/** Status of a worker; part of the status that the daemon reports as JSON. */
export interface WorkerStatus {
  activeJobs: number;
  heldChunks: number;
  unfinishedItems: number;
  runningItems: number;
  bufferedBytes: number;
  /** Whether storage is unavailable. */
  isStoreAway: boolean;
  /** Chunks claimed since the start. */
  claimed: number;
  /** Chunks ended since the start, by how they ended. */
  ended: Record<ChunkEnd, number>;
}

/** Batch worker of one host. */
export class BatchWorker {
  private readonly scheduler: JobScheduler;
  private readonly semaphore: ItemSemaphore;
  private readonly services: ChunkServices;
  private readonly indexes: FileIndexCache;
  private readonly heldChunks: HeldChunkSet;
  private readonly stopper = new AbortController();
  /** Wakes the loop before the next poll, when a chunk has ended. */
  private waker = new AbortController();
  private loop: Promise<void> | undefined;
  /** Monotonic time of the next check of held jobs, milliseconds. */
  private nextHeldJobCheckMs = -Infinity;
  private claimedCount = 0;
  private readonly endedCounts: Record<ChunkEnd, number> = {
    [ChunkEnd.DONE]: 0,
    [ChunkEnd.RELEASED]: 0,
    [ChunkEnd.LOST]: 0,
    [ChunkEnd.ABANDONED]: 0,
  };

  /**
   * @param context - storage, identity, executor, callbacks and bounds
   */
  constructor(private readonly context: WorkerContext) {
    this.heldChunks = new HeldChunkSet(context);
    this.scheduler = new JobScheduler(context, this.heldChunks);
    this.semaphore = new ItemSemaphore(context.settings.concurrency);
    this.indexes = new FileIndexCache(context.objects);
    this.services = {
      context,
      runner: new ItemRunner(context, this.semaphore),
      budget: new MemoryBudget(context.bounds.maxBufferedBytes),
      health: new StoreHealth(context.log),
    };
  }

  /** Starts the worker loop, if batch work is enabled on this host. */
  start(): void {
    if (!this.context.settings.enabled) return;
    this.loop ??= this.run();
  }

  /**
   * Stops gracefully: aborts the running items, commits the outcomes and
   * releases all chunks.
   *
   * @param timeoutMs - time after which chunks are abandoned if storage is
   *     still unavailable, milliseconds
   */
  async drain(timeoutMs = DEFAULT_DRAIN_TIMEOUT_MS): Promise<void> {
    this.stopper.abort();
    for (const {runner} of this.heldChunks.list()) runner.stop();
    await this.loop;
    for (const {runner} of this.heldChunks.list()) runner.stop();
    const done = new AbortController();
    const abandonTimeout = this.context.clock
      .sleep(timeoutMs, done.signal)
      .then(() => {
        for (const {runner} of this.heldChunks.list())
          runner.stopCommitRetries();
      });
    await Promise.all(this.heldChunks.list().map(({finished}) => finished));
    done.abort();
    await abandonTimeout;
  }

  /** Stops work on a job that has ended; also called on notice from a peer. */
  cancelJob(jobId: string): void {
    const job = this.scheduler.activeJobs.find(jobId);
    if (job) this.scheduler.remove(job);
    for (const {runner} of this.heldChunks.list()) {
      if (runner.lease.job.row.jobId === jobId) runner.abort();
    }
  }

  /** Gets the status of the worker. */
  getStatus(): WorkerStatus {
    return {
      activeJobs: this.scheduler.activeJobs.count(),
      heldChunks: this.heldChunks.count(),
      unfinishedItems: this.heldChunks.countUnfinished(),
      runningItems: this.semaphore.countRunning(),
      bufferedBytes: this.services.budget.getUsedBytes(),
      isStoreAway: this.services.health.isUnavailable(),
      claimed: this.claimedCount,
      ended: {...this.endedCounts},
    };
  }

  /** Runs rounds until the worker stops. */
  private async run(): Promise<void> {
    const {clock, settings} = this.context;
    const stop = this.stopper.signal;
    let nextPollMs = clock.now();
    while (!stop.aborted) {
      const isPollDue = clock.now() >= nextPollMs;
      if (isPollDue) nextPollMs = clock.now() + settings.pollMs;
      await this.runRound(isPollDue).catch((thrown: unknown) => {
        this.recordFailure(thrown);
      });
      const waitMs = Math.max(nextPollMs - clock.now(), 1);
      await clock.sleep(waitMs, AbortSignal.any([stop, this.waker.signal]));
      this.waker = new AbortController();
    }
  }

  /**
   * Refreshes the active jobs and ends jobs when a poll is due, then claims
   * chunks.
   */
  private async runRound(isPollDue: boolean): Promise<void> {
    if (isPollDue) {
      const isScanned = await this.scheduler.activeJobs.scanNextPage();
      if (isScanned && this.heldChunks.count() === 0) {
        this.services.health.recordAnswer();
      }
      await this.checkHeldJobs();
      await this.expireJobs();
      this.scheduler.removeUnused();
    }
    await this.claimChunks();
  }

  /**
   * Aborts the held chunks of ended jobs, in case the notice of a peer was
   * lost.
   */
  private async checkHeldJobs(): Promise<void> {
    const nowMs = this.context.clock.now();
    if (nowMs < this.nextHeldJobCheckMs) return;
    this.nextHeldJobCheckMs = nowMs + computePollIntervalMs(this.context);
    const jobs = new Map<string, ActiveJob>();
    for (const job of this.heldChunks.listJobs()) {
      jobs.set(formatJobRowKey(job.row.jobId), job);
    }
    if (jobs.size === 0) return;
    const rows = await this.context.table.read([...jobs.keys()]);
    if (rows.isErr()) return;
    const versions = new Map(rows.value.map((row) => [row.key, row.version]));
    for (const [key, job] of jobs) {
      if (versions.get(key) !== job.version) this.cancelJob(job.row.jobId);
    }
  }

  /** Expires jobs whose deadline is more than `expiryGraceMs` ago. */
  private async expireJobs(): Promise<void> {
    const {clock, bounds} = this.context;
    const oldestDeadlineMs = clock.nowWall().getTime() - bounds.expiryGraceMs;
    for (const job of this.scheduler.listCandidates()) {
      if (job.row.deadline >= oldestDeadlineMs) continue;
      const result = await finishJob(this.context, job, JobState.EXPIRED);
      if (result.isOk()) this.cancelJob(job.row.jobId);
    }
  }

  /**
   * Claims chunks until the host has enough work, the token bucket for reads is
   * empty, or no candidate has a claimable chunk. Jobs with many refused items
   * are no candidates.
   */
  private async claimChunks(): Promise<void> {
    const candidates = new Set(this.scheduler.listCandidates());
    const refusedJobs = this.heldChunks.listRefusedJobs();
    for (const job of candidates) {
      if (refusedJobs.has(job.key)) candidates.delete(job);
    }
    this.heldChunks.releaseRefusedChunk(
      this.scheduler.choose(candidates) !== undefined,
    );
    const stop = this.stopper.signal;
    while (!stop.aborted && this.hasRoom() && this.scheduler.hasReadToken()) {
      const job = this.scheduler.choose(candidates);
      if (job === undefined) return;
      const mayHaveMore = await this.tryJob(job);
      if (!mayHaveMore) candidates.delete(job);
    }
  }

  /**
   * Scans a job for a claimable chunk and claims it. Completes a job whose
   * chunks are all done.
   *
   * @returns whether the job may have more claimable chunks
   */
  private async tryJob(job: ActiveJob): Promise<boolean> {
    const outcome = await this.scheduler.getScanner(job).findClaimable();
    if (outcome.result === ScanResult.ALL_DONE) await this.completeJob(job);
    if (outcome.candidate === undefined) return false;
    return this.claim(outcome.candidate);
  }

  /**
   * Loads the items of a chunk, claims the chunk and starts its runner.
   *
   * @returns whether the job may have more claimable chunks
   */
  private async claim(candidate: ClaimCandidate): Promise<boolean> {
    const {job} = candidate;
    const items = await this.loadCandidateItems(candidate);
    if (items.isErr()) {
      this.recordFailure(items.error);
      this.scheduler.getScanner(job).pauseScans();
      return false;
    }
    const {result, claimed} = await claimChunk(this.context, candidate);
    if (result === ClaimResult.JOB_ENDED) this.scheduler.remove(job);
    if (claimed === undefined) return result === ClaimResult.CONFLICT;
    this.claimedCount += 1;
    const {table, clock, leases} = this.context;
    const lease = new ChunkLease(table, clock, leases.chunkMs, claimed);
    const runner = new ChunkRunner(this.services, lease, items.value);
    this.scheduler.recordClaimedItems(job, runner.countUnfinished());
    this.heldChunks.add({runner, finished: this.runChunk(runner)});
    return true;
  }

  /**
   * Loads the items before the claim: a host that cannot read them claims
   * nothing.
   */
  private async loadCandidateItems(
    candidate: ClaimCandidate,
  ): Promise<Result<BatchItem[], SavoryspurError>> {
    const {row} = candidate.job;
    const index = await this.indexes.load(row.indexName);
    if (index.isErr()) return err(index.error);
    const {jobId, workspace} = row;
    const source = {jobId, workspace, chunk: candidate.chunk};
    return loadItems(this.context, {...source, index: index.value});
  }

  private async runChunk(runner: ChunkRunner): Promise<void> {
    try {
      const end = await runner.run();
      this.endedCounts[end] += 1;
      this.heldChunks.remove(runner);
      await this.handleEnd(runner, end);
    } catch (thrown) {
      this.recordFailure(thrown);
      this.scheduler.getScanner(runner.lease.job).pauseScans();
    } finally {
      this.heldChunks.remove(runner);
      this.waker.abort();
    }
  }

  /**
   * Handles the end of a chunk: updates the scanner and completes a done job.
   */
  private async handleEnd(runner: ChunkRunner, end: ChunkEnd): Promise<void> {
    const {job, chunk} = runner.lease;
    const scanner = this.scheduler.getScanner(job);
    const row = runner.lease.getRow();
    if (end === ChunkEnd.LOST) {
      const fields = {job: job.row.jobId, chunk, peer: row.host};
      this.context.log.record(BatchEvent.CHUNK_LOST, fields);
    }
    if (end === ChunkEnd.RELEASED) scanner.pauseScans();
    else scanner.resetBackoff();
    if (end !== ChunkEnd.DONE) return;
    scanner.markDone(chunk, row);
    const {result} = await scanner.findClaimable();
    if (result === ScanResult.ALL_DONE) await this.completeJob(job);
  }

  private async completeJob(job: ActiveJob): Promise<void> {
    const counts = this.scheduler.getScanner(job).getDoneCounts();
    const {context} = this;
    const result = await finishJob(context, job, JobState.COMPLETED, counts);
    if (result.isOk()) this.scheduler.remove(job);
  }

  private recordFailure(thrown: unknown): void {
    const origin = {step: 'batch.work', peer: this.context.host};
    const error = toSavoryspurError(thrown, origin);
    const fields = {...error.origin, error: error.message};
    this.context.log.record(BatchEvent.CHUNK_FAILED, fields);
  }

  /** Tells whether this host may claim another chunk now. */
  private hasRoom(): boolean {
    const {budget, health} = this.services;
    if (budget.isFull() || health.isUnavailable()) return false;
    return this.heldChunks.hasRoom();
  }
}

/** Options of {@link createBatchWorker}; missing bounds get their defaults. */
export type WorkerOptions = Omit<WorkerContext, 'bounds'> & {
  bounds?: Partial<WorkerBounds>;
};

/**
 * Creates the batch worker of one host.
 *
 * @param options - storage, identity, executor, callbacks and bounds
 */
export function createBatchWorker(options: WorkerOptions): BatchWorker {
  const bounds = {...DEFAULT_WORKER_BOUNDS, ...options.bounds};
  return new BatchWorker({...options, bounds});
}
