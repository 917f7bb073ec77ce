/** The chunks that one host holds, and whether there is room for more. */
import type {ActiveJob} from './active_job.js';
import type {ChunkRunner} from './chunk_runner.js';
import type {HeldChunks} from './job_scheduler.js';
import {computeMaxHeld, type WorkerContext} from './worker_context.js';

/** Refused items after which no more chunks of a job are claimed. */
const MAX_REFUSED_ITEMS = 16;

/** A chunk in progress and its end. */
export interface HeldChunk {
  runner: ChunkRunner;
  end: Promise<void>;
}

/** Chunks of one host. */
export class HeldChunkSet implements HeldChunks {
  private readonly chunks = new Map<string, HeldChunk>();
  private nextYieldMs = -Infinity;

  /**
   * @param context - clock, settings and bounds
   */
  constructor(private readonly context: WorkerContext) {}

  /** {@inheritDoc HeldChunks.has} */
  has(job: ActiveJob, chunk: number): boolean {
    return this.chunks.has(formatKey(job, chunk));
  }

  /** {@inheritDoc HeldChunks.count} */
  count(): number {
    return this.chunks.size;
  }

  /** Adds a chunk. */
  add(chunk: HeldChunk): void {
    const {job, chunk: number} = chunk.runner.lease;
    this.chunks.set(formatKey(job, number), chunk);
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

  /** Lists the jobs of the chunks. */
  listJobs(): Set<ActiveJob> {
    return new Set(this.list().map(({runner}) => runner.lease.job));
  }

  /** Counts the items without an outcome. */
  countUnfinished(): number {
    return this.list().reduce((sum, c) => sum + c.runner.countUnfinished(), 0);
  }

  /** Tells whether the host can run items of one more chunk. */
  hasRoom(): boolean {
    return !this.isFull() && this.hasIdleSlots();
  }

  /**
   * Lists the jobs with many refused items, such as those of a workspace at its
   * rate or of a model whose servers are full.
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
      const isMany = counts.get(key)! >= MAX_REFUSED_ITEMS;
      if (isMany || runner.isMostlyRefused()) refused.add(key);
    }
    return refused;
  }

  /**
   * Gives a chunk back whose items are all refused, when the host is full of
   * chunks but not of running items and another job waits.
   */
  releaseRefused(hasOtherJob: boolean): void {
    const {clock, leases} = this.context;
    if (!hasOtherJob || !this.isFull() || !this.hasIdleSlots()) return;
    if (clock.now() < this.nextYieldMs) return;
    for (const {runner} of this.chunks.values()) {
      if (!isAllRefused(runner)) continue;
      this.nextYieldMs = clock.now() + leases.chunkMs;
      runner.stop();
      return;
    }
  }

  private isFull(): boolean {
    return this.chunks.size >= computeMaxHeld(this.context);
  }

  private hasIdleSlots(): boolean {
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
