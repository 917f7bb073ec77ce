/** Holds the outcomes of one chunk until they are committed. */
import {type ChunkRow, ChunkState} from '@savoryspur/schema';
import {Bitmap} from './bitmap.js';
import {type ChunkLease, LeaseState} from './chunk_lease.js';
import type {BatchContext} from './context.js';
import type {MemoryBudget} from './memory_budget.js';
import {putObject} from './object_writer.js';
import type {ItemOutcome} from './result_line.js';
import {type BuiltSegment, buildSegment} from './segment.js';

/** What a write states besides the outcomes. */
export interface CommitNote {
  /** Whether the lease is given back. */
  isRelease: boolean;
  /** Items that start next while the chunk runs isolated. */
  inFlight: number[];
}

/** A note that states nothing. */
export const NO_NOTE: CommitNote = {isRelease: false, inFlight: []};

/** Commits outcomes in segments, each by one conditional transaction. */
export class ChunkCommitter {
  private outcomes: ItemOutcome[] = [];
  private bufferedBytes = 0;
  private pending: BuiltSegment | undefined;
  private isPendingStored = false;
  /** When storing began to fail, on the monotonic clock. */
  private failingSinceMs: number | undefined;
  private lastCommit: Promise<unknown> = Promise.resolve();

  /**
   * @param context - object store and clock
   * @param lease - lease of the chunk
   * @param items - number of items in the chunk
   * @param attempts - failed attempts by position
   * @param budget - memory of the host
   */
  constructor(
    private readonly context: BatchContext,
    private readonly lease: ChunkLease,
    private readonly items: number,
    private readonly attempts: ReadonlyMap<number, number>,
    private readonly budget: MemoryBudget,
  ) {}

  /** Gets the bytes of outcomes that are not committed. */
  getBufferedBytes(): number {
    return this.bufferedBytes;
  }

  /** Computes for how long no segment could be stored, milliseconds. */
  computeFailingMs(): number {
    if (this.failingSinceMs === undefined) return 0;
    return this.context.clock.now() - this.failingSinceMs;
  }

  /** Adds the outcome of an item that has none yet. */
  add(outcome: ItemOutcome): void {
    this.outcomes.push(outcome);
    this.bufferedBytes += outcome.line.length;
    this.budget.add(outcome.line.length);
  }

  /**
   * Commits all outcomes added so far; also renews the lease.
   *
   * @param note - what to state besides
   */
  commit(note: CommitNote = NO_NOTE): Promise<LeaseState> {
    const result = this.lastCommit.then(() => this.runCommit(note));
    this.lastCommit = result;
    return result;
  }

  /** Gives back the memory; nothing more is committed. */
  close(): void {
    this.releaseBytes(this.bufferedBytes);
    this.outcomes = [];
  }

  /** Deletes a segment that was stored in vain, after the lease was lost. */
  async drop(): Promise<void> {
    const pending = this.pending;
    this.pending = undefined;
    if (!pending || !this.isPendingStored) return;
    const {segments} = this.lease.getRow();
    const {name} = pending.segment;
    if (segments.some((segment) => segment.name === name)) return;
    await this.context.objects.delete(name);
  }

  private async runCommit(note: CommitNote): Promise<LeaseState> {
    do {
      const stored = await this.storePending();
      if (!stored) return LeaseState.STORE_AWAY;
      const isLast = this.outcomes.length === 0;
      const state = await this.lease.write((row) =>
        this.createNext(row, {...note, isRelease: isLast && note.isRelease}),
      );
      if (state !== LeaseState.HELD) return state;
      this.clearPending();
    } while (this.outcomes.length > 0);
    return LeaseState.HELD;
  }

  /** Stores the next segment; repeats the put of an earlier one first. */
  private async storePending(): Promise<boolean> {
    if (this.pending === undefined) {
      if (this.outcomes.length === 0) return true;
      const {jobId} = this.lease.job.row;
      this.pending = buildSegment(jobId, this.lease.chunk, this.outcomes);
      this.outcomes = [];
      this.isPendingStored = false;
    }
    if (this.isPendingStored) return true;
    const {segment, body} = this.pending;
    const put = await putObject(this.context, segment.name, body);
    this.isPendingStored = put.isOk();
    if (put.isOk()) this.failingSinceMs = undefined;
    else this.failingSinceMs ??= this.context.clock.now();
    return this.isPendingStored;
  }

  private clearPending(): void {
    if (this.pending === undefined) return;
    this.pending = undefined;
    const left = this.outcomes.reduce((sum, o) => sum + o.line.length, 0);
    this.releaseBytes(this.bufferedBytes - left);
  }

  private releaseBytes(bytes: number): void {
    this.bufferedBytes -= bytes;
    this.budget.release(bytes);
  }

  /** Computes the row that commits the pending segment. */
  private createNext(row: ChunkRow, note: CommitNote): ChunkRow {
    const done = Bitmap.decode(row.done, this.items);
    const next = {...row, inFlight: note.inFlight};
    if (this.pending && !done.has(this.pending.indexes[0]!)) {
      for (const index of this.pending.indexes) done.add(index);
      next.segments = [...row.segments, this.pending.segment];
      next.completed += this.pending.completed;
      next.failed += this.pending.failed;
      next.done = done.encode();
    }
    next.attempts = this.listAttempts(done);
    if (note.isRelease) next.state = ChunkState.RELEASED;
    if (next.completed + next.failed === this.items) {
      next.state = ChunkState.DONE;
    }
    return next;
  }

  /** Lists the failed attempts of items without an outcome. */
  private listAttempts(done: Bitmap): ChunkRow['attempts'] {
    const entries = [...this.attempts].filter(([index]) => !done.has(index));
    return entries.map(([index, count]) => ({index, count}));
  }
}
