/** Runs the items of one job and appends their results to the job's result list. */
import {
  type Clock,
  computeBackoffMs,
  ErrorCode,
  type EventLog,
  type SavoryspurError,
  ServingEvent,
} from '@savoryspur/common';
import {
  type BatchResultRow,
  BatchResultState,
  BatchState,
} from '@savoryspur/schema';
import type {Result} from 'neverthrow';
import type {ServiceRegistry} from '../service_registry.js';
import {createStopController} from '../create_stop_controller.js';
import type {EnvironmentView} from '../environment.js';
import type {ServerCaller} from '../online/online_types.js';
import type {ReachabilityMonitor} from '../online/reachability_monitor.js';
import type {StreamOrigins} from '../online/stream_origins.js';
import type {SlotAllocator} from '../slots/slot_allocator.js';
import {ItemOutcome, ItemRun} from './item_run.js';
import type {JobDirectory} from './job_directory.js';
import {
  AppendOutcome,
  createDeadLetter,
  type DoneItems,
  isOpen,
  type JobIdentity,
  type JobStore,
  type ItemCheckpoint,
  type PayloadItem,
  type StoredJob,
} from './job_store.js';
import {
  computeItemBytes,
  computePayloadBytes,
  type JobPayloads,
} from './job_payloads.js';
import {
  MAX_PAYLOAD_BYTES,
  type MemoryBudget,
  type MemoryReservation,
  MemoryUse,
} from '../memory/memory_budget.js';

/** Maximum number of items of one job that run or wait for a slot at the same time. */
const MAX_CONCURRENT_ITEMS = 32;

/** Backoff after the first failed call to the store, milliseconds; doubles up to {@link MAX_RETRY_DELAY_MS}. */
const INITIAL_RETRY_DELAY_MS = 100;

/** Maximum backoff after failed calls to the store, milliseconds. */
const MAX_RETRY_DELAY_MS = 800;

/** Maximum backoff after the store has refused a result for good, milliseconds. */
const MAX_REFUSED_RETRY_DELAY_MS = 5000;

/** Duration of an item that is assumed before any item has completed, milliseconds. */
const INITIAL_DURATION_MS = 5000;

/** Weight of the newest item in the exponential moving average of durations. */
const NEWEST_DURATION_WEIGHT = 0.1;

/** Exponential moving average of the durations of batch items on this daemon. */
export class ItemDurationAverage {
  private averageMs = INITIAL_DURATION_MS;

  /** Gets the average, milliseconds. */
  get(): number {
    return this.averageMs;
  }

  /** Adds the duration of one completed item, milliseconds. */
  record(ms: number): void {
    this.averageMs += NEWEST_DURATION_WEIGHT * (ms - this.averageMs);
  }
}

/** Components that a job runner uses. */
export interface JobRunnerOptions {
  store: JobStore;
  directory: JobDirectory;
  payloads: JobPayloads;
  memory: MemoryBudget;
  clock: Clock;
  log: EventLog;
  registry: ServiceRegistry<EnvironmentView>;
  /** Allocates slots on backend servers. */
  slotAllocator: SlotAllocator;
  servers: ServerCaller;
  /** Tells when servers have last responded. */
  reachability: Pick<ReachabilityMonitor, 'getLastResponseMs'>;
  /** Software versions of streams. */
  streamOrigins: Pick<StreamOrigins, 'hasSeveralVersions'>;
  /** Average duration of items over all jobs of this daemon. */
  itemDurations: ItemDurationAverage;
  /** Returns a random number from 0 (inclusive) to 1 (exclusive). */
  random: () => number;
}

/** Runs one job on this daemon. */
export class JobRunner {
  private readonly stop = createStopController();
  private readonly itemRuns = new Map<string, ItemRun>();
  private doneItems: DoneItems = new Map();
  /** Returns the memory of an item that has ended. */
  private releaseItem: (item: PayloadItem) => void = () => undefined;
  /** Settles when all appends so far have ended. */
  private lastAppend: Promise<boolean> = Promise.resolve(true);
  private readonly finished: Promise<void>;

  /**
   * @param identity - id and workspace of the job
   * @param options - components that the runner uses
   */
  constructor(
    readonly identity: JobIdentity,
    private readonly options: JobRunnerOptions,
  ) {
    this.finished = this.run();
  }

  /** Stops the items of the job; results of items that have ended are still appended. */
  async end(): Promise<void> {
    this.stop.abort();
    await this.finished;
  }

  /** Describes the progress of the unfinished items that have any. */
  describeCheckpoints(): ItemCheckpoint[] {
    return [...this.itemRuns.values()]
      .map((run) => run.describeCheckpoint())
      .filter(
        (checkpoint) => checkpoint.lastEventId > 0 || checkpoint.failures > 0,
      );
  }

  /** Waits until this daemon has nothing left to do for the job. */
  wait(): Promise<void> {
    return this.finished;
  }

  private async run(): Promise<void> {
    const {signal} = this.stop;
    const memory = await this.options.memory.reserve(
      MemoryUse.RUNNING_JOBS,
      MAX_PAYLOAD_BYTES,
      signal,
    );
    if (!memory) return;
    try {
      const pending = await this.readPending();
      if (!pending) return;
      const checkpoints = await this.readCheckpoints();
      if (!checkpoints) return;
      this.trackMemory(memory, pending);
      const workers = Array.from({length: MAX_CONCURRENT_ITEMS}, () =>
        this.runWorker(pending, checkpoints),
      );
      await Promise.all(workers);
    } finally {
      memory.release();
    }
    await this.completeJob();
  }

  /** Reads the items that have no result; gives undefined when the job is stopped. */
  private async readPending(): Promise<PayloadItem[] | undefined> {
    const job = this.findJob();
    if (!job) return undefined;
    const done = await this.retryRead('done', () =>
      this.options.store.readDone(job.row),
    );
    if (!done) return undefined;
    this.doneItems = done;
    if (done.size >= job.row.items.length) return [];
    const items = await this.retryRead('payload', () =>
      this.options.payloads.read(job.row, this.stop.signal),
    );
    return items?.filter((item) => !done.has(item.itemId));
  }

  private async readCheckpoints(): Promise<
    Map<string, ItemCheckpoint> | undefined
  > {
    const job = this.findJob();
    if (!job) return undefined;
    const checkpoints = await this.retryRead('partials', () =>
      this.options.store.readCheckpoints(job.row),
    );
    return (
      checkpoints &&
      new Map(checkpoints.map((checkpoint) => [checkpoint.itemId, checkpoint]))
    );
  }

  /** Reduces the reserved memory to that of the unfinished items, now and whenever one of them ends. */
  private trackMemory(
    memory: MemoryReservation,
    pending: readonly PayloadItem[],
  ): void {
    let bytes = computePayloadBytes(pending);
    memory.resize(bytes);
    this.releaseItem = (item) => {
      bytes -= computeItemBytes(item);
      memory.resize(bytes);
    };
  }

  /** Runs pending items one after the other until none is left. */
  private async runWorker(
    pending: PayloadItem[],
    checkpoints: ReadonlyMap<string, ItemCheckpoint>,
  ): Promise<void> {
    while (!this.stop.signal.aborted) {
      const payload = pending.shift();
      if (!payload) return;
      await this.runItem(payload, checkpoints.get(payload.itemId));
      this.releaseItem(payload);
    }
  }

  private async runItem(
    payload: PayloadItem,
    checkpoint: ItemCheckpoint | undefined,
  ): Promise<void> {
    const {
      clock,
      log,
      registry,
      slotAllocator,
      servers,
      reachability,
      streamOrigins,
      memory,
      store,
      itemDurations,
      random,
    } = this.options;
    const job = this.findJob();
    if (!job) return;
    const run = new ItemRun({
      job: job.row,
      payload,
      checkpoint,
      clock,
      log,
      registry,
      slotAllocator,
      servers,
      reachability,
      streamOrigins,
      memory,
      random,
      toLocalMs: (storeMs) => store.toLocalMs(storeMs),
      getAverageDurationMs: () => itemDurations.get(),
      recordDurationMs: (ms) => itemDurations.record(ms),
      signal: this.stop.signal,
    });
    this.itemRuns.set(payload.itemId, run);
    const outcome = await run.run();
    if (outcome === ItemOutcome.STOPPED) {
      run.releaseMemory();
      return;
    }
    const result: BatchResultRow =
      outcome === ItemOutcome.COMPLETED
        ? {
            itemId: payload.itemId,
            state: BatchResultState.COMPLETED,
            output: run.getOutput(),
          }
        : createDeadLetter(payload.itemId);
    await this.recordResult(result, run.getDeadLetterReason());
    run.releaseMemory();
    this.itemRuns.delete(payload.itemId);
  }

  /**
   * Records a result. One that the store refuses for good holds up no other; it is
   * tried again now and then, and the item is dead-lettered after its retention time.
   */
  private async recordResult(
    result: BatchResultRow,
    reason: string | undefined,
  ): Promise<void> {
    const {clock} = this.options;
    let refusals = 0;
    while (!(await this.tryRecordResult(result, reason))) {
      if (this.stop.signal.aborted || !this.findJob()) return;
      refusals += 1;
      await clock.sleep(
        computeBackoffMs(
          INITIAL_RETRY_DELAY_MS,
          MAX_REFUSED_RETRY_DELAY_MS,
          refusals,
        ),
        this.stop.signal,
      );
      if (!this.isRetentionOver()) continue;
      const deadLetter = createDeadLetter(result.itemId);
      await this.tryRecordResult(deadLetter, 'the store refuses the output');
      return;
    }
  }

  /** Tries to record a result; gives false when the store refuses it for good. */
  private async tryRecordResult(
    result: BatchResultRow,
    reason: string | undefined,
  ): Promise<boolean> {
    const row = await this.storeOutput(result);
    return row !== undefined && this.appendInOrder(row, reason);
  }

  /** Prepares the row of a result; gives undefined when the store refuses its output for good. */
  private async storeOutput(
    result: BatchResultRow,
  ): Promise<BatchResultRow | undefined> {
    let failures = 0;
    for (let job = this.findJob(); job !== undefined; job = this.findJob()) {
      const row = await this.options.store.storeOutput(job.row, result);
      if (row.isOk()) return row.value;
      this.recordFailure('output', row.error.message);
      if (isRefusal(row.error)) return undefined;
      failures += 1;
      await this.sleepBackoff(failures);
    }
    return undefined;
  }

  private isRetentionOver(): boolean {
    const {store, clock} = this.options;
    const abandonMs = store.toLocalMs(this.findJob()?.row.abandonMs ?? 0);
    return abandonMs !== undefined && clock.now() >= abandonMs;
  }

  /** Appends results one after the other, so that their positions have no gaps. */
  private appendInOrder(
    row: BatchResultRow,
    reason: string | undefined,
  ): Promise<boolean> {
    const append = this.lastAppend.then(() => this.appendResult(row, reason));
    this.lastAppend = append;
    return append;
  }

  /**
   * Appends one result, retrying until it is appended or its item has a result.
   *
   * @returns false when the store refuses the result for good
   */
  private async appendResult(
    row: BatchResultRow,
    reason: string | undefined,
  ): Promise<boolean> {
    const {store, log} = this.options;
    let failures = 0;
    for (let job = this.findJob(); job !== undefined; job = this.findJob()) {
      const position = this.doneItems.size;
      const outcome = await store.appendResult(job.row, position, row);
      if (outcome.isErr()) {
        this.recordFailure('append', outcome.error.message);
        if (isRefusal(outcome.error)) return false;
        failures += 1;
        await this.sleepBackoff(failures);
        continue;
      }
      if (outcome.value === AppendOutcome.APPENDED) {
        this.doneItems.set(row.itemId, position);
        const isDead = row.state === BatchResultState.DEAD_LETTERED;
        log.record(
          isDead
            ? ServingEvent.ITEM_DEAD_LETTERED
            : ServingEvent.ITEM_RESULT_RECORDED,
          {
            requestId: row.itemId,
            jobId: this.identity.jobId,
            position,
            reason,
          },
        );
        return true;
      }
      // The item has a result or its position is taken, because another daemon ran
      // the job too or an earlier try took effect although its answer was lost. The
      // recorded positions are read again.
      const done = await store.readDone(job.row);
      if (done.isOk()) this.doneItems = done.value;
      else await this.sleepBackoff(1);
      if (this.doneItems.has(row.itemId)) return true;
    }
    return true;
  }

  /** Marks the job as complete once all its items have a result. */
  private async completeJob(): Promise<void> {
    const {store, directory, log} = this.options;
    let failures = 0;
    while (!this.stop.signal.aborted) {
      const job = this.findJob();
      if (!job || !isOpen(job.row)) return;
      if (this.doneItems.size < job.row.items.length) return;
      const row = {...job.row, state: BatchState.COMPLETE};
      const replaced = await store.replaceJob(job, row);
      if (replaced.isOk() && replaced.value) {
        log.record(ServingEvent.JOB_COMPLETED, {
          requestId: this.identity.jobId,
          items: row.items.length,
        });
        return;
      }
      failures += 1;
      const reread = await store.readJob(row.workspace, this.identity.jobId);
      if (reread.isOk() && reread.value) directory.update(reread.value);
      await this.sleepBackoff(failures);
    }
  }

  private findJob(): StoredJob | undefined {
    return this.options.directory.find(this.identity);
  }

  /** Reads from the store until it answers; gives undefined when the job is stopped. */
  private async retryRead<T>(
    step: string,
    read: () => PromiseLike<Result<T, SavoryspurError>>,
  ): Promise<T | undefined> {
    let failures = 0;
    while (!this.stop.signal.aborted) {
      const result = await read();
      if (result.isOk()) return result.value;
      this.recordFailure(step, result.error.message);
      failures += 1;
      await this.sleepBackoff(failures);
    }
    return undefined;
  }

  private async sleepBackoff(failures: number): Promise<void> {
    await this.options.clock.sleep(
      computeBackoffMs(INITIAL_RETRY_DELAY_MS, MAX_RETRY_DELAY_MS, failures),
    );
  }

  private recordFailure(step: string, reason: string): void {
    this.options.log.record(ServingEvent.JOB_STORE_FAILED, {
      requestId: this.identity.jobId,
      step: `jobs.${step}`,
      peer: 'store',
      reason,
    });
  }
}

/** Whether the store has refused a call in a way that will not change. */
function isRefusal(error: SavoryspurError): boolean {
  return error.code === ErrorCode.REMOTE_ERROR;
}
