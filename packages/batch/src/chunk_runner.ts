/** Runs the items of one claimed chunk and commits their outcomes. */
import {ChunkState} from '@savoryspur/schema';
import {setMaxListeners} from 'node:events';
import {Bitmap} from './bitmap.js';
import {ChunkCommitter, type CommitNote, NO_NOTE} from './chunk_committer.js';
import {type ChunkLease, LeaseState} from './chunk_lease.js';
import type {BatchItem} from './item_executor.js';
import type {ItemRunner} from './item_runner.js';
import type {MemoryBudget} from './memory_budget.js';
import type {StoreHealth} from './store_health.js';
import {computeRenewalMs, type WorkerContext} from './worker_context.js';

/** Items run at once after the first loss of a holder; halves with each. */
const FIRST_ISOLATED_ITEMS = 16;

/** How the work on a chunk ended. */
export enum ChunkEnd {
  /** Every item has a committed outcome. */
  DONE = 'done',
  /** Given back with items left. */
  RELEASED = 'released',
  /** Another host has it, or the job ended. */
  LOST = 'lost',
  /** Left behind, because the platform did not answer. */
  ABANDONED = 'abandoned',
}

/** What all chunks of a host share. */
export interface ChunkServices {
  context: WorkerContext;
  runner: ItemRunner;
  budget: MemoryBudget;
  health: StoreHealth;
}

/** One claimed chunk in progress. */
export class ChunkRunner {
  private readonly stopper = new AbortController();
  /** Ends the attempts to reach a platform that is away. */
  private readonly leaver = new AbortController();
  private readonly keeperStopper = new AbortController();
  private wakeKeeper = new AbortController();
  private readonly attempts = new Map<number, number>();
  private readonly refused = new Set<number>();
  private readonly committer: ChunkCommitter;
  private readonly openAtStart: number;
  private unfinished: number;
  private isLost = false;
  private oldestOutcomeMs: number | undefined;
  /** Items noted as in flight while the chunk runs isolated. */
  private inFlight: number[] = [];

  /**
   * @param services - what all chunks of the host share
   * @param lease - lease of the chunk
   * @param items - items of the chunk
   */
  constructor(
    private readonly services: ChunkServices,
    readonly lease: ChunkLease,
    private readonly items: readonly BatchItem[],
  ) {
    setMaxListeners(0, this.stopper.signal);
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
    this.openAtStart = this.listOpen().length;
    this.unfinished = this.openAtStart;
  }

  /** Counts the items without an outcome. */
  countUnfinished(): number {
    return this.unfinished;
  }

  /** Counts the items whose last run was refused. */
  countRefused(): number {
    return this.refused.size;
  }

  /** Tells whether the last run of most items was refused. */
  isMostlyRefused(): boolean {
    return this.refused.size > this.openAtStart / 2;
  }

  /** Stops the items; what is done is committed and the chunk given back. */
  stop(): void {
    this.stopper.abort();
  }

  /** Leaves the chunk behind when the platform still does not answer. */
  drop(): void {
    this.leaver.abort();
  }

  /** Stops the items of a chunk that is no longer this host's. */
  abort(): void {
    this.isLost = true;
    this.stopper.abort();
  }

  /** Runs the chunk to its end; the lease is kept until then. */
  async run(): Promise<ChunkEnd> {
    const keeper = this.keepLease();
    try {
      const {crashes} = this.lease.getRow();
      await (crashes > 0 ? this.runIsolated(crashes) : this.runAll());
      return await this.finish();
    } finally {
      this.stopper.abort();
      this.keeperStopper.abort();
      await keeper;
      this.committer.close();
    }
  }

  /** Lists the positions of items without a committed outcome. */
  private listOpen(): number[] {
    const {done} = this.lease.getRow();
    const bitmap = Bitmap.decode(done, this.items.length);
    return [...this.items.keys()].filter((index) => !bitmap.has(index));
  }

  /** Runs all items within the slots of the host. */
  private async runAll(): Promise<void> {
    await Promise.all(this.listOpen().map((index) => this.runItem(index)));
  }

  /**
   * Runs the items in small groups after a holder was lost with items in
   * flight. Each group is noted in the row before it starts, so that the next
   * holder knows which items to suspect; suspects run last and alone.
   */
  private async runIsolated(crashes: number): Promise<void> {
    const open = this.listOpen();
    const suspects = open.filter((index) => this.attempts.has(index));
    const others = open.filter((index) => !this.attempts.has(index));
    const size = Math.max(1, FIRST_ISOLATED_ITEMS >> (crashes - 1));
    const groups = [...splitGroups(others, size), ...splitGroups(suspects, 1)];
    for (const inFlight of groups) {
      this.inFlight = inFlight;
      const state = await this.commitUntilKnown({...NO_NOTE, inFlight});
      if (state !== LeaseState.HELD || this.stopper.signal.aborted) return;
      await Promise.all(inFlight.map((index) => this.runItem(index)));
    }
  }

  private async runItem(index: number): Promise<void> {
    const {context, runner} = this.services;
    const item = this.items[index]!;
    const outcome = await runner.run({
      item,
      name: {
        jobId: item.jobId,
        chunk: this.lease.chunk,
        index,
        customId: item.customId,
      },
      attempts: this.attempts,
      refused: this.refused,
      signal: this.stopper.signal,
      isUsable: () => this.isUsable(),
    });
    if (outcome === undefined || this.isLost) return;
    this.committer.add(outcome);
    this.unfinished -= 1;
    this.oldestOutcomeMs ??= context.clock.now();
    if (this.committer.getBufferedBytes() >= context.bounds.commitBytes) {
      this.wakeKeeper.abort();
    }
  }

  /**
   * Tells whether an item may start now. With the platform away the chunk is
   * used on, since no other host can claim it either, within the memory bound.
   */
  private async isUsable(): Promise<boolean> {
    const {budget, health} = this.services;
    await budget.waitForRoom(this.stopper.signal);
    const state = await this.lease.check();
    health.observe(state);
    if (state === LeaseState.LOST) this.abort();
    return state !== LeaseState.LOST;
  }

  /** Renews the lease and commits outcomes that have waited long enough. */
  private async keepLease(): Promise<void> {
    const {context, health} = this.services;
    const periodMs = computeRenewalMs(context);
    const stop = this.keeperStopper.signal;
    while (!stop.aborted) {
      const wake = AbortSignal.any([stop, this.wakeKeeper.signal]);
      await context.clock.sleep(periodMs, wake);
      this.wakeKeeper = new AbortController();
      if (stop.aborted || this.isLost) return;
      const state = await this.commitOrRenew();
      health.observe(state);
      if (state === LeaseState.LOST) this.abort();
    }
  }

  /**
   * Renews also while segments cannot be stored, but not for ever: perhaps only
   * this host is cut off from the object store.
   */
  private async commitOrRenew(): Promise<LeaseState> {
    if (!this.isCommitDue()) return this.lease.renew();
    const state = await this.commitNow();
    if (state !== LeaseState.STORE_AWAY) return state;
    const {maxHoldMs} = this.services.context.bounds;
    if (this.committer.computeFailingMs() >= maxHoldMs) return state;
    const renewed = await this.lease.renew();
    return renewed === LeaseState.LOST ? renewed : state;
  }

  private isCommitDue(): boolean {
    if (this.committer.computeFailingMs() > 0) return true;
    const {clock, bounds} = this.services.context;
    const buffered = this.committer.getBufferedBytes();
    if (buffered >= bounds.commitBytes) return true;
    if (this.services.budget.isFull()) return buffered > 0;
    if (this.oldestOutcomeMs === undefined) return false;
    return clock.now() - this.oldestOutcomeMs >= bounds.commitIntervalMs;
  }

  private commitNow(): Promise<LeaseState> {
    this.oldestOutcomeMs = undefined;
    return this.committer.commit({...NO_NOTE, inFlight: this.inFlight});
  }

  /** Commits; waits for the platform to return while it is away. */
  private async commitUntilKnown(note: CommitNote): Promise<LeaseState> {
    const {context, health} = this.services;
    const retryMs = context.settings.pollMs;
    for (;;) {
      const state = await this.committer.commit(note);
      health.observe(state);
      if (state === LeaseState.LOST) this.abort();
      if (state !== LeaseState.STORE_AWAY) return state;
      if (this.leaver.signal.aborted) return state;
      await context.clock.sleep(retryMs, this.leaver.signal);
    }
  }

  /** Commits what is done and gives back what is not. */
  private async finish(): Promise<ChunkEnd> {
    const note = {isRelease: true, inFlight: []};
    const state = this.isLost
      ? LeaseState.LOST
      : await this.commitUntilKnown(note);
    if (state === LeaseState.LOST) {
      await this.committer.drop();
      return ChunkEnd.LOST;
    }
    if (state === LeaseState.STORE_AWAY) return ChunkEnd.ABANDONED;
    const isDone = this.lease.getRow().state === ChunkState.DONE;
    return isDone ? ChunkEnd.DONE : ChunkEnd.RELEASED;
  }
}

function splitGroups(indexes: number[], size: number): number[][] {
  const groups: number[][] = [];
  for (let start = 0; start < indexes.length; start += size) {
    groups.push(indexes.slice(start, start + size));
  }
  return groups;
}
