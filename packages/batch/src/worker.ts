/** Batch work of one host: looks for chunks, claims them and runs them. */
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
import {IndexCache} from './file_index.js';
import {ItemRunner} from './item_runner.js';
import {ItemSlots} from './item_slots.js';
import {JobScheduler} from './job_scheduler.js';
import {finishJob} from './job_finisher.js';
import {ProbeResult} from './chunk_scanner.js';
import {formatJobKey} from './keys.js';
import {MemoryBudget} from './memory_budget.js';
import {StoreHealth} from './store_health.js';
import {
  computePollMs,
  DEFAULT_BOUNDS,
  type WorkerBounds,
  type WorkerContext,
} from './worker_context.js';

/** Longest graceful stop when none is given, milliseconds. */
const DRAIN_MS = 25_000;

/** What a worker is doing. */
export interface WorkerStatus {
  activeJobs: number;
  heldChunks: number;
  unfinishedItems: number;
  runningItems: number;
  bufferedBytes: number;
  isStoreAway: boolean;
  claimed: number;
  ended: Record<ChunkEnd, number>;
}

/** Worker of one host. */
export class BatchWorker {
  private readonly board: JobScheduler;
  private readonly slots: ItemSlots;
  private readonly services: ChunkServices;
  private readonly indexes: IndexCache;
  private readonly held: HeldChunkSet;
  private readonly stopper = new AbortController();
  private waker = new AbortController();
  private loop: Promise<void> | undefined;
  private nextCheckMs = -Infinity;
  private claimed = 0;
  private readonly ended: Record<ChunkEnd, number> = {
    [ChunkEnd.DONE]: 0,
    [ChunkEnd.RELEASED]: 0,
    [ChunkEnd.LOST]: 0,
    [ChunkEnd.ABANDONED]: 0,
  };

  /**
   * @param context - platform, identity, executor, callbacks and bounds
   */
  constructor(private readonly context: WorkerContext) {
    this.held = new HeldChunkSet(context);
    this.board = new JobScheduler(context, this.held);
    this.slots = new ItemSlots(context.settings.concurrency);
    this.indexes = new IndexCache(context.objects);
    this.services = {
      context,
      runner: new ItemRunner(context, this.slots),
      budget: new MemoryBudget(context.bounds.maxBufferedBytes),
      health: new StoreHealth(context.log),
    };
  }

  /** Starts to look for work. */
  start(): void {
    if (!this.context.settings.enabled) return;
    this.loop ??= this.run();
  }

  /**
   * Stops gracefully: aborts the running items, commits what is done and gives
   * all chunks back.
   *
   * @param maxMs - time after which a platform that does not answer is left
   */
  async drain(maxMs = DRAIN_MS): Promise<void> {
    this.stopper.abort();
    for (const {runner} of this.held.list()) runner.stop();
    await this.loop;
    for (const {runner} of this.held.list()) runner.stop();
    const done = new AbortController();
    const limit = this.context.clock.sleep(maxMs, done.signal).then(() => {
      for (const {runner} of this.held.list()) runner.drop();
    });
    await Promise.all(this.held.list().map(({end}) => end));
    done.abort();
    await limit;
  }

  /** Stops the work on a job that was cancelled; called for peers too. */
  cancelJob(jobId: string): void {
    const job = this.board.directory.find(jobId);
    if (job) this.board.remove(job);
    for (const {runner} of this.held.list()) {
      if (runner.lease.job.row.jobId === jobId) runner.abort();
    }
  }

  /** Gets what the worker is doing. */
  getStatus(): WorkerStatus {
    return {
      activeJobs: this.board.directory.count(),
      heldChunks: this.held.count(),
      unfinishedItems: this.held.countUnfinished(),
      runningItems: this.slots.countRunning(),
      bufferedBytes: this.services.budget.getUsed(),
      isStoreAway: this.services.health.isAway(),
      claimed: this.claimed,
      ended: {...this.ended},
    };
  }

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

  private async runRound(isPollDue: boolean): Promise<void> {
    if (isPollDue) {
      const hasAnswered = await this.board.directory.scan();
      if (hasAnswered && this.held.count() === 0) {
        this.services.health.observeAnswer();
      }
      await this.checkHeldJobs();
      await this.expireJobs();
      this.board.clear();
    }
    await this.claimChunks();
  }

  /** Aborts the chunks of jobs that ended, should the push have been lost. */
  private async checkHeldJobs(): Promise<void> {
    const nowMs = this.context.clock.now();
    if (nowMs < this.nextCheckMs) return;
    this.nextCheckMs = nowMs + computePollMs(this.context);
    const jobs = new Map<string, ActiveJob>();
    for (const job of this.held.listJobs()) {
      jobs.set(formatJobKey(job.row.jobId), job);
    }
    if (jobs.size === 0) return;
    const rows = await this.context.table.read([...jobs.keys()]);
    if (rows.isErr()) return;
    const versions = new Map(rows.value.map((row) => [row.key, row.version]));
    for (const [key, job] of jobs) {
      if (versions.get(key) !== job.version) this.cancelJob(job.row.jobId);
    }
  }

  /** Ends jobs that are so late that nobody waits for them. */
  private async expireJobs(): Promise<void> {
    const {clock, bounds} = this.context;
    const limit = clock.nowWall().getTime() - bounds.expiryGraceMs;
    for (const job of this.board.listCandidates()) {
      if (job.row.deadline >= limit) continue;
      const result = await finishJob(this.context, job, JobState.EXPIRED);
      if (result.isOk()) this.cancelJob(job.row.jobId);
    }
  }

  /** Claims chunks until there is enough to do or nothing to claim. */
  private async claimChunks(): Promise<void> {
    const candidates = new Set(this.board.listCandidates());
    const refused = this.held.listRefusedJobs();
    for (const job of candidates) {
      if (refused.has(job.key)) candidates.delete(job);
    }
    this.held.releaseRefused(this.board.choose(candidates) !== undefined);
    const stop = this.stopper.signal;
    while (!stop.aborted && this.hasRoom() && this.board.hasToken()) {
      const job = this.board.choose(candidates);
      if (job === undefined) return;
      const hasMore = await this.tryJob(job);
      if (!hasMore) candidates.delete(job);
    }
  }

  /** @returns whether another look at the job is worthwhile */
  private async tryJob(job: ActiveJob): Promise<boolean> {
    const answer = await this.board.getProbe(job).find();
    if (answer.result === ProbeResult.ALL_DONE) await this.finish(job);
    if (answer.candidate === undefined) return false;
    return this.claim(answer.candidate);
  }

  /** @returns whether another look at the job is worthwhile */
  private async claim(candidate: ClaimCandidate): Promise<boolean> {
    const {job} = candidate;
    const items = await this.load(candidate);
    if (items.isErr()) {
      this.recordFailure(items.error);
      this.board.getProbe(job).pause();
      return false;
    }
    const {result, claimed} = await claimChunk(this.context, candidate);
    if (result === ClaimResult.JOB_ENDED) this.board.remove(job);
    if (claimed === undefined) return result === ClaimResult.CONFLICT;
    this.claimed += 1;
    const {table, clock, leases} = this.context;
    const lease = new ChunkLease(table, clock, leases.chunkMs, claimed);
    const runner = new ChunkRunner(this.services, lease, items.value);
    this.board.spend(job, runner.countUnfinished());
    this.held.add({runner, end: this.runChunk(runner)});
    return true;
  }

  /** Loads the items first: a host that cannot read them claims nothing. */
  private async load(
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
      this.ended[end] += 1;
      this.held.remove(runner);
      await this.handleEnd(runner, end);
    } catch (thrown) {
      this.recordFailure(thrown);
      this.board.getProbe(runner.lease.job).pause();
    } finally {
      this.held.remove(runner);
      this.waker.abort();
    }
  }

  private async handleEnd(runner: ChunkRunner, end: ChunkEnd): Promise<void> {
    const {job, chunk} = runner.lease;
    const probe = this.board.getProbe(job);
    const row = runner.lease.getRow();
    if (end === ChunkEnd.LOST) {
      const fields = {job: job.row.jobId, chunk, peer: row.host};
      this.context.log.record(BatchEvent.CHUNK_LOST, fields);
    }
    if (end === ChunkEnd.RELEASED) probe.pause();
    else probe.reset();
    if (end !== ChunkEnd.DONE) return;
    probe.markDone(chunk, row);
    const {result} = await probe.find();
    if (result === ProbeResult.ALL_DONE) await this.finish(job);
  }

  private async finish(job: ActiveJob): Promise<void> {
    const counts = this.board.getProbe(job).getCounts();
    const {context} = this;
    const result = await finishJob(context, job, JobState.COMPLETED, counts);
    if (result.isOk()) this.board.remove(job);
  }

  private recordFailure(thrown: unknown): void {
    const origin = {step: 'batch.work', peer: this.context.host};
    const error = toSavoryspurError(thrown, origin);
    const fields = {...error.origin, error: error.message};
    this.context.log.record(BatchEvent.CHUNK_FAILED, fields);
  }

  private hasRoom(): boolean {
    const {budget, health} = this.services;
    if (budget.isFull() || health.isAway()) return false;
    return this.held.hasRoom();
  }
}

/** What {@link createBatchWorker} takes; bounds may be left out. */
export type WorkerOptions = Omit<WorkerContext, 'bounds'> & {
  bounds?: Partial<WorkerBounds>;
};

/**
 * Makes the worker of one host.
 *
 * @param options - platform, identity, executor, callbacks and bounds
 */
export function createBatchWorker(options: WorkerOptions): BatchWorker {
  const bounds = {...DEFAULT_BOUNDS, ...options.bounds};
  return new BatchWorker({...options, bounds});
}
