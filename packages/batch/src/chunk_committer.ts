/** Buffers the outcomes of one chunk and commits them in segments. */
import {type ChunkRow, ChunkState} from '@savoryspur/schema';
import {Bitmap} from './bitmap.js';
import {type ChunkLease, LeaseState} from './chunk_lease.js';
import type {BatchContext} from './context.js';
import type {MemoryBudget} from './memory_budget.js';
import {putObject} from './object_writer.js';
import type {ItemOutcome} from './result_line.js';
import {type BuiltSegment, buildSegment} from './segment.js';

/** What a commit writes to the chunk row in addition to the outcomes. */
export interface CommitOptions {
  /** Whether the commit also releases the chunk. */
  isRelease: boolean;
  /**
   * Positions of the items that start next, when the chunk runs in small groups
   * after a takeover.
   */
  inFlight: number[];
}

/** Options of a commit that neither releases the chunk nor starts items. */
export const DEFAULT_COMMIT_OPTIONS: CommitOptions = {
  isRelease: false,
  inFlight: [],
};

/**
 * Commits the outcomes of one chunk. Each commit stores a segment object and
 * then adds the segment to the chunk row by one conditional transaction.
 */
export class ChunkCommitter {
  private outcomes: ItemOutcome[] = [];
  private bufferedBytes = 0;
  /** Segment that is stored or committed next. */
  private pendingSegment: BuiltSegment | undefined;
  private isPendingStored = false;
  /**
   * Monotonic time of the first failure to store a segment since the last
   * success, milliseconds.
   */
  private storeFailingSinceMs: number | undefined;
  private lastCommit: Promise<unknown> = Promise.resolve();

  /**
   * @param context - object store and clock
   * @param lease - lease of the chunk
   * @param itemCount - number of items in the chunk
   * @param attempts - number of failed attempts by item position
   * @param budget - memory budget of the host
   */
  constructor(
    private readonly context: BatchContext,
    private readonly lease: ChunkLease,
    private readonly itemCount: number,
    private readonly attempts: ReadonlyMap<number, number>,
    private readonly budget: MemoryBudget,
  ) {}

  /** Gets the size of the uncommitted outcomes, bytes. */
  getBufferedBytes(): number {
    return this.bufferedBytes;
  }

  /** Computes for how long storing segments has failed, milliseconds. */
  computeStoreFailureMs(): number {
    if (this.storeFailingSinceMs === undefined) return 0;
    return this.context.clock.now() - this.storeFailingSinceMs;
  }

  /** Buffers the outcome of an item; an item is added only once. */
  add(outcome: ItemOutcome): void {
    this.outcomes.push(outcome);
    this.bufferedBytes += outcome.line.length;
    this.budget.add(outcome.line.length);
  }

  /**
   * Commits all outcomes added so far. Each commit also renews the lease.
   *
   * @param options - what else to write to the chunk row
   */
  commit(options: CommitOptions = DEFAULT_COMMIT_OPTIONS): Promise<LeaseState> {
    const result = this.lastCommit.then(() => this.runCommit(options));
    this.lastCommit = result;
    return result;
  }

  /** Discards uncommitted outcomes and releases their memory. */
  close(): void {
    this.releaseBufferedBytes(this.bufferedBytes);
    this.outcomes = [];
  }

  /**
   * After the lease was lost: deletes a stored segment that was not committed.
   */
  async deleteUncommittedSegment(): Promise<void> {
    const pending = this.pendingSegment;
    this.pendingSegment = undefined;
    if (!pending || !this.isPendingStored) return;
    const {segments} = this.lease.getRow();
    const {name} = pending.segment;
    if (segments.some((segment) => segment.name === name)) return;
    await this.context.objects.delete(name);
  }

  private async runCommit(options: CommitOptions): Promise<LeaseState> {
    do {
      const stored = await this.storePending();
      if (!stored) return LeaseState.STORE_UNAVAILABLE;
      const isLast = this.outcomes.length === 0;
      const state = await this.lease.write((row) =>
        this.createNextRow(row, {
          ...options,
          isRelease: isLast && options.isRelease,
        }),
      );
      if (state !== LeaseState.HELD) return state;
      this.clearPending();
    } while (this.outcomes.length > 0);
    return LeaseState.HELD;
  }

  /**
   * Stores the pending segment; a put that failed before is repeated. Without a
   * pending segment, builds one from the buffered outcomes first.
   *
   * @returns whether nothing is left to be stored
   */
  private async storePending(): Promise<boolean> {
    if (this.pendingSegment === undefined) {
      if (this.outcomes.length === 0) return true;
      const {jobId} = this.lease.job.row;
      this.pendingSegment = buildSegment(
        jobId,
        this.lease.chunk,
        this.outcomes,
      );
      this.outcomes = [];
      this.isPendingStored = false;
    }
    if (this.isPendingStored) return true;
    const {segment, body} = this.pendingSegment;
    const put = await putObject(this.context, segment.name, body);
    this.isPendingStored = put.isOk();
    if (put.isOk()) this.storeFailingSinceMs = undefined;
    else this.storeFailingSinceMs ??= this.context.clock.now();
    return this.isPendingStored;
  }

  private clearPending(): void {
    if (this.pendingSegment === undefined) return;
    this.pendingSegment = undefined;
    const remainingBytes = this.outcomes.reduce(
      (sum, o) => sum + o.line.length,
      0,
    );
    this.releaseBufferedBytes(this.bufferedBytes - remainingBytes);
  }

  private releaseBufferedBytes(bytes: number): void {
    this.bufferedBytes -= bytes;
    this.budget.release(bytes);
  }

  /**
   * Creates the chunk row that commits the pending segment. A segment whose
   * commit has already taken effect is not added a second time.
   */
  private createNextRow(row: ChunkRow, options: CommitOptions): ChunkRow {
    const done = Bitmap.decode(row.done, this.itemCount);
    const next = {...row, inFlight: options.inFlight};
    if (this.pendingSegment && !done.has(this.pendingSegment.indexes[0]!)) {
      for (const index of this.pendingSegment.indexes) done.add(index);
      next.segments = [...row.segments, this.pendingSegment.segment];
      next.completed += this.pendingSegment.completed;
      next.failed += this.pendingSegment.failed;
      next.done = done.encode();
    }
    next.attempts = this.listAttempts(done);
    if (options.isRelease) next.state = ChunkState.RELEASED;
    if (next.completed + next.failed === this.itemCount) {
      next.state = ChunkState.DONE;
    }
    return next;
  }

  /** Lists the failed attempts of items without a committed outcome. */
  private listAttempts(done: Bitmap): ChunkRow['attempts'] {
    const entries = [...this.attempts].filter(([index]) => !done.has(index));
    return entries.map(([index, count]) => ({index, count}));
  }
}
