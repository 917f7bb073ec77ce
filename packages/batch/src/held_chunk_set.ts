/** Chunks that this host holds, and limits on claiming more of them. */
import type {ActiveJob} from './active_job.js';
import type {ChunkRunner} from './chunk_runner.js';
import type {HeldChunkLookup} from './job_scheduler.js';
import {computeMaxHeldChunks, type WorkerContext} from './worker_context.js';

/**
 * Number of refused items of a job at which this host claims no more chunks of
 * it.
 */
const MAX_REFUSED_ITEMS_PER_JOB = 16;

/** A chunk in progress. */
export interface HeldChunk {
  runner: ChunkRunner;
  /** Settles when the chunk runner has ended and its result is handled. */
  finished: Promise<void>;
}

/** Set of the chunks that one host holds. */
export class HeldChunkSet implements HeldChunkLookup {
  private readonly chunks = new Map<string, HeldChunk>();
  /** Monotonic time before which no refused chunk is released, milliseconds. */
  private nextReleaseMs = -Infinity;

  /**
   * @param context - clock, settings and bounds
   */
  constructor(private readonly context: WorkerContext) {}

  /** {@inheritDoc HeldChunkLookup.has} */
  has(job: ActiveJob, chunk: number): boolean {
    return this.chunks.has(formatKey(job, chunk));
  }

  /** {@inheritDoc HeldChunkLookup.count} */
  count(): number {
    return this.chunks.size;
  }

  /** Adds a chunk. */
  add(chunk: HeldChunk): void {
    const {job, chunk: chunkNumber} = chunk.runner.lease;
    this.chunks.set(formatKey(job, chunkNumber), chunk);
  }

  /** Removes a chunk. */
  remove(runner: ChunkRunner): void {
    const {job, chunk} = runner.lease;
    this.chunks.delete(formatKey(job, chunk));
  }

  /** Lists the chunks. */
  list(): HeldChunk[] {
    return [...this.chunks.values()];
  }

  /** Lists the jobs of the held chunks. */
  listJobs(): Set<ActiveJob> {
    return new Set(this.list().map(({runner}) => runner.lease.job));
  }

  /** Counts the items without an outcome in all held chunks. */
  countUnfinished(): number {
    return this.list().reduce((sum, c) => sum + c.runner.countUnfinished(), 0);
  }

  /** Tells whether the host may hold one more chunk and can run its items. */
  hasRoom(): boolean {
    return !this.isFull() && this.hasIdlePermits();
  }

  /**
   * Lists the jobs with many refused items, such as jobs of a workspace that
   * has reached its rate limit or of a model whose servers are at capacity.
   *
   * @returns keys of the active rows of the jobs
   */
  listRefusedJobs(): Set<string> {
    const counts = new Map<string, number>();
    for (const {runner} of this.chunks.values()) {
      const {key} = runner.lease.job;
      counts.set(key, (counts.get(key) ?? 0) + runner.countRefused());
    }
    const refused = new Set<string>();
    for (const {runner} of this.chunks.values()) {
      const {key} = runner.lease.job;
      const hasManyRefused = counts.get(key)! >= MAX_REFUSED_ITEMS_PER_JOB;
      if (hasManyRefused || runner.isMostlyRefused()) refused.add(key);
    }
    return refused;
  }

  /**
   * Releases one chunk whose unfinished items are all refused, at most once per
   * term of a chunk lease. It does so when the host holds its maximum of
   * chunks, has fewer runnable items than it may run at once, and another job
   * waits.
   *
   * @param hasOtherJob - whether another job waits for this host
   */
  releaseRefusedChunk(hasOtherJob: boolean): void {
    const {clock, leases} = this.context;
    if (!hasOtherJob || !this.isFull() || !this.hasIdlePermits()) return;
    if (clock.now() < this.nextReleaseMs) return;
    for (const {runner} of this.chunks.values()) {
      if (!isAllRefused(runner)) continue;
      this.nextReleaseMs = clock.now() + leases.chunkMs;
      runner.stop();
      return;
    }
  }

  private isFull(): boolean {
    return this.chunks.size >= computeMaxHeldChunks(this.context);
  }

  /** Tells whether fewer items are runnable than the host may run at once. */
  private hasIdlePermits(): boolean {
    let runnable = 0;
    for (const {runner} of this.chunks.values()) {
      runnable += runner.countUnfinished() - runner.countRefused();
    }
    return runnable < this.context.settings.concurrency;
  }
}

function isAllRefused(runner: ChunkRunner): boolean {
  const unfinished = runner.countUnfinished();
  return unfinished > 0 && runner.countRefused() === unfinished;
}

function formatKey(job: ActiveJob, chunk: number): string {
  return `${job.key}/${chunk}`;
}
