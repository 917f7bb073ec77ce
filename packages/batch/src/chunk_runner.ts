/** Runs the items of one claimed chunk and commits their outcomes. */
import {ChunkState} from '@savoryspur/schema';
import {setMaxListeners} from 'node:events';
import {Bitmap} from './bitmap.js';
import {
  ChunkCommitter,
  type CommitOptions,
  DEFAULT_COMMIT_OPTIONS,
} from './chunk_committer.js';
import {type ChunkLease, LeaseState} from './chunk_lease.js';
import type {BatchItem} from './item_executor.js';
import type {ItemRunner} from './item_runner.js';
import type {MemoryBudget} from './memory_budget.js';
import type {StoreHealth} from './store_health.js';
import {
  computeRenewalIntervalMs,
  type WorkerContext,
} from './worker_context.js';

/**
 * Number of items that run as one group after the first takeover of the chunk;
 * each further takeover halves the group.
 */
const INITIAL_GROUP_ITEMS = 16;

/** How the work of this host on a chunk ended. */
export enum ChunkEnd {
  /** Every item has a committed outcome. */
  DONE = 'done',
  /** The chunk was released with unfinished items. */
  RELEASED = 'released',
  /** Another host has claimed the chunk, or the job has ended. */
  LOST = 'lost',
  /**
   * The chunk was neither finished nor released, because storage was
   * unavailable until the drain timeout. Its lease expires.
   */
  ABANDONED = 'abandoned',
}

/** Dependencies shared by all chunk runners of a host. */
export interface ChunkServices {
  context: WorkerContext;
  runner: ItemRunner;
  budget: MemoryBudget;
  health: StoreHealth;
}

/** Runs one claimed chunk. */
export class ChunkRunner {
  /** Aborts the running items. */
  private readonly itemStopper = new AbortController();
  /** Ends the repeated attempts to commit while storage is unavailable. */
  private readonly commitRetryStopper = new AbortController();
  private readonly leaseLoopStopper = new AbortController();
  /** Wakes the lease loop before the next renewal is due. */
  private leaseLoopWaker = new AbortController();
  /** Number of failed attempts by item position. */
  private readonly attempts = new Map<number, number>();
  /** Positions of the items whose last run was refused. */
  private readonly refusedItems = new Set<number>();
  private readonly committer: ChunkCommitter;
  private readonly initialUncommittedCount: number;
  private unfinishedCount: number;
  private isLost = false;
  /**
   * Monotonic time of the oldest outcome since the last commit, milliseconds.
   */
  private oldestOutcomeMs: number | undefined;
  /** Positions of the current group, which the chunk row lists as in flight. */
  private inFlight: number[] = [];

  /**
   * @param services - dependencies shared by the chunk runners of the host
   * @param lease - lease of the chunk
   * @param items - items of the chunk
   */
  constructor(
    private readonly services: ChunkServices,
    readonly lease: ChunkLease,
    private readonly items: readonly BatchItem[],
  ) {
    setMaxListeners(0, this.itemStopper.signal);
    for (const {index, count} of lease.getRow().attempts) {
      this.attempts.set(index, count);
    }
    this.committer = new ChunkCommitter(
      services.context,
      lease,
      items.length,
      this.attempts,
      services.budget,
    );
    this.initialUncommittedCount = this.listUncommitted().length;
    this.unfinishedCount = this.initialUncommittedCount;
  }

  /** Counts the items without an outcome. */
  countUnfinished(): number {
    return this.unfinishedCount;
  }

  /** Counts the items whose last run was refused. */
  countRefused(): number {
    return this.refusedItems.size;
  }

  /**
   * Tells whether more than half of the items were refused in their last run.
   */
  isMostlyRefused(): boolean {
    return this.refusedItems.size > this.initialUncommittedCount / 2;
  }

  /**
   * Stops the running items. {@link run} then commits the outcomes and releases
   * the chunk.
   */
  stop(): void {
    this.itemStopper.abort();
  }

  /**
   * Abandons the chunk if storage is still unavailable after the current
   * commit.
   */
  stopCommitRetries(): void {
    this.commitRetryStopper.abort();
  }

  /** Stops the running items after the lease was lost or the job has ended. */
  abort(): void {
    this.isLost = true;
    this.itemStopper.abort();
  }

  /**
   * Runs the chunk until it ends; a background loop renews the lease meanwhile.
   */
  async run(): Promise<ChunkEnd> {
    const leaseLoop = this.runLeaseLoop();
    try {
      const {crashes} = this.lease.getRow();
      await (crashes > 0 ? this.runInGroups(crashes) : this.runAll());
      return await this.commitAndRelease();
    } finally {
      this.itemStopper.abort();
      this.leaseLoopStopper.abort();
      await leaseLoop;
      this.committer.close();
    }
  }

  /** Lists the positions of items without a committed outcome. */
  private listUncommitted(): number[] {
    const {done} = this.lease.getRow();
    const bitmap = Bitmap.decode(done, this.items.length);
    return [...this.items.keys()].filter((index) => !bitmap.has(index));
  }

  /** Runs all items; the semaphore of the host limits their concurrency. */
  private async runAll(): Promise<void> {
    await Promise.all(
      this.listUncommitted().map((index) => this.runItem(index)),
    );
  }

  /**
   * Runs the items in small groups after a takeover, because an item may have
   * crashed the previous lease holder. The chunk row lists the items of a group
   * before the group starts, so that after another takeover the next lease
   * holder knows the suspects. Suspects, which have failed attempts, run last
   * and one by one.
   *
   * @param crashes - number of takeovers, each of which counts as a crash
   */
  private async runInGroups(crashes: number): Promise<void> {
    const uncommitted = this.listUncommitted();
    const suspects = uncommitted.filter((index) => this.attempts.has(index));
    const others = uncommitted.filter((index) => !this.attempts.has(index));
    const size = Math.max(1, INITIAL_GROUP_ITEMS >> (crashes - 1));
    const groups = [...splitGroups(others, size), ...splitGroups(suspects, 1)];
    for (const inFlight of groups) {
      this.inFlight = inFlight;
      const state = await this.commitWithRetries({
        ...DEFAULT_COMMIT_OPTIONS,
        inFlight,
      });
      if (state !== LeaseState.HELD || this.itemStopper.signal.aborted) return;
      await Promise.all(inFlight.map((index) => this.runItem(index)));
    }
  }

  private async runItem(index: number): Promise<void> {
    const {context, runner} = this.services;
    const item = this.items[index]!;
    const outcome = await runner.run({
      item,
      identity: {
        jobId: item.jobId,
        chunk: this.lease.chunk,
        index,
        customId: item.customId,
      },
      attempts: this.attempts,
      refused: this.refusedItems,
      signal: this.itemStopper.signal,
      isChunkUsable: () => this.isChunkUsable(),
    });
    if (outcome === undefined || this.isLost) return;
    this.committer.add(outcome);
    this.unfinishedCount -= 1;
    this.oldestOutcomeMs ??= context.clock.now();
    if (
      this.committer.getBufferedBytes() >= context.bounds.commitThresholdBytes
    ) {
      this.leaseLoopWaker.abort();
    }
  }

  /**
   * Waits for memory, then tells whether an item may start. While storage is
   * unavailable items still start, within the memory budget, since no other
   * host can claim the chunk then either.
   */
  private async isChunkUsable(): Promise<boolean> {
    const {budget, health} = this.services;
    await budget.waitForRoom(this.itemStopper.signal);
    const state = await this.lease.check();
    health.recordLeaseState(state);
    if (state === LeaseState.LOST) this.abort();
    return state !== LeaseState.LOST;
  }

  /**
   * Periodically renews the lease and commits buffered outcomes that are due.
   */
  private async runLeaseLoop(): Promise<void> {
    const {context, health} = this.services;
    const intervalMs = computeRenewalIntervalMs(context);
    const stop = this.leaseLoopStopper.signal;
    while (!stop.aborted) {
      const wake = AbortSignal.any([stop, this.leaseLoopWaker.signal]);
      await context.clock.sleep(intervalMs, wake);
      this.leaseLoopWaker = new AbortController();
      if (stop.aborted || this.isLost) return;
      const state = await this.commitOrRenew();
      health.recordLeaseState(state);
      if (state === LeaseState.LOST) this.abort();
    }
  }

  /**
   * Commits buffered outcomes when a commit is due, otherwise renews the lease.
   * When segments cannot be stored, it still renews the lease, but only up to
   * `maxStoreFailureMs`: the object store may be unreachable from this host
   * alone, and another host could then finish the chunk.
   */
  private async commitOrRenew(): Promise<LeaseState> {
    if (!this.isCommitDue()) return this.lease.renew();
    const state = await this.commitBuffered();
    if (state !== LeaseState.STORE_UNAVAILABLE) return state;
    const {maxStoreFailureMs} = this.services.context.bounds;
    if (this.committer.computeStoreFailureMs() >= maxStoreFailureMs)
      return state;
    const renewed = await this.lease.renew();
    return renewed === LeaseState.LOST ? renewed : state;
  }

  private isCommitDue(): boolean {
    if (this.committer.computeStoreFailureMs() > 0) return true;
    const {clock, bounds} = this.services.context;
    const buffered = this.committer.getBufferedBytes();
    if (buffered >= bounds.commitThresholdBytes) return true;
    if (this.services.budget.isFull()) return buffered > 0;
    if (this.oldestOutcomeMs === undefined) return false;
    return clock.now() - this.oldestOutcomeMs >= bounds.maxCommitDelayMs;
  }

  private commitBuffered(): Promise<LeaseState> {
    this.oldestOutcomeMs = undefined;
    return this.committer.commit({
      ...DEFAULT_COMMIT_OPTIONS,
      inFlight: this.inFlight,
    });
  }

  /**
   * Commits; retries while storage is unavailable and retries are not stopped.
   */
  private async commitWithRetries(options: CommitOptions): Promise<LeaseState> {
    const {context, health} = this.services;
    const retryMs = context.settings.pollMs;
    for (;;) {
      const state = await this.committer.commit(options);
      health.recordLeaseState(state);
      if (state === LeaseState.LOST) this.abort();
      if (state !== LeaseState.STORE_UNAVAILABLE) return state;
      if (this.commitRetryStopper.signal.aborted) return state;
      await context.clock.sleep(retryMs, this.commitRetryStopper.signal);
    }
  }

  /** Commits the remaining outcomes and releases the chunk. */
  private async commitAndRelease(): Promise<ChunkEnd> {
    const options = {isRelease: true, inFlight: []};
    const state = this.isLost
      ? LeaseState.LOST
      : await this.commitWithRetries(options);
    if (state === LeaseState.LOST) {
      await this.committer.deleteUncommittedSegment();
      return ChunkEnd.LOST;
    }
    if (state === LeaseState.STORE_UNAVAILABLE) return ChunkEnd.ABANDONED;
    const isDone = this.lease.getRow().state === ChunkState.DONE;
    return isDone ? ChunkEnd.DONE : ChunkEnd.RELEASED;
  }
}

/** Splits item positions into groups of at most `size`. */
function splitGroups(indexes: number[], size: number): number[][] {
  const groups: number[][] = [];
  for (let start = 0; start < indexes.length; start += size) {
    groups.push(indexes.slice(start, start + size));
  }
  return groups;
}
