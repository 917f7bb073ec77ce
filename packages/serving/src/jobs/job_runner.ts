/** Runs the items of one job and lists their results. */
import {
  type Clock,
  computeBackoff,
  type EventLog,
  type SavoryspurError,
  ServingEvent,
} from '@savoryspur/common';
import {
  type BatchItemPayload,
  type BatchResultRow,
  BatchResultState,
  BatchState,
} from '@savoryspur/schema';
import type {ResultAsync} from 'neverthrow';
import type {ServiceRegistry} from '../service_registry.js';
import {createStopController} from '../create_stop_controller.js';
import type {EnvironmentView} from '../environment.js';
import type {ServerCaller} from '../online/online_types.js';
import type {SlotAllocator} from '../slots/slot_allocator.js';
import {ItemEnd, ItemRun} from './item_run.js';
import type {JobDirectory} from './job_directory.js';
import {
  AppendOutcome,
  createDeadLetter,
  type DoneItems,
  isOpen,
  type JobStore,
  type PartialItem,
  type StoredJob,
} from './job_store.js';

/** Items of one job that run or wait for a place at once. */
const MAX_CONCURRENT_ITEMS = 32;

/** Pause after the store failed, milliseconds; doubles up to the longest. */
const FIRST_RETRY_MS = 100;

/** Longest pause after failures of the store, milliseconds. */
const MAX_RETRY_MS = 800;

/** Length of a run assumed before any was seen, milliseconds. */
const INITIAL_RUN_MS = 5000;

/** Weight of the newest run in the average length. */
const RUN_WEIGHT = 0.1;

/** Average length of the runs of batch items on this daemon. */
export class ItemDurationAverage {
  private averageMs = INITIAL_RUN_MS;

  /** Gets the average, milliseconds. */
  get(): number {
    return this.averageMs;
  }

  /** Takes in one run, milliseconds. */
  record(ms: number): void {
    this.averageMs += RUN_WEIGHT * (ms - this.averageMs);
  }
}

/** What runs jobs. */
export interface JobRunnerParts {
  store: JobStore;
  directory: JobDirectory;
  clock: Clock;
  log: EventLog;
  registry: ServiceRegistry<EnvironmentView>;
  placer: SlotAllocator;
  servers: ServerCaller;
  runTimes: ItemDurationAverage;
  random: () => number;
}

/** Runs one job on this daemon. */
export class JobRunner {
  private readonly stop = createStopController();
  private readonly runs = new Map<string, ItemRun>();
  private done: DoneItems = new Map();
  private appending: Promise<void> = Promise.resolve();
  private readonly finished: Promise<void>;

  /**
   * @param jobId - the job
   * @param parts - collaborators
   */
  constructor(
    private readonly jobId: string,
    private readonly parts: JobRunnerParts,
  ) {
    this.finished = this.run();
  }

  /** Stops the items of the job; results that are ready are still listed. */
  async end(): Promise<void> {
    this.stop.abort();
    await this.finished;
  }

  /** Describes what was done of the unfinished items. */
  describePartials(): PartialItem[] {
    return [...this.runs.values()]
      .map((run) => run.describePartial())
      .filter((partial) => partial.lastEventId > 0 || partial.failures > 0);
  }

  /** Waits until nothing of the job is left to do here. */
  wait(): Promise<void> {
    return this.finished;
  }

  private async run(): Promise<void> {
    const job = this.find();
    if (!job) return;
    const done = await this.retry('done', () =>
      this.parts.store.readDone(job.row),
    );
    const payload = await this.retry('payload', () =>
      this.parts.store.readPayload(job.row),
    );
    const partials = await this.retry('partials', () =>
      this.parts.store.readPartials(job.row),
    );
    if (!done || !payload || !partials) return;
    this.done = done;
    const pending = payload.items.filter((item) => !done.has(item.itemId));
    const partialsById = new Map(partials.map((part) => [part.itemId, part]));
    const lanes = Array.from({length: MAX_CONCURRENT_ITEMS}, () =>
      this.runLane(pending, partialsById),
    );
    await Promise.all(lanes);
    await this.completeJob();
  }

  /** Runs one pending item after the other. */
  private async runLane(
    pending: BatchItemPayload[],
    partials: ReadonlyMap<string, PartialItem>,
  ): Promise<void> {
    while (!this.stop.signal.aborted) {
      const payload = pending.shift();
      if (!payload) return;
      await this.runItem(payload, partials.get(payload.itemId));
    }
  }

  private async runItem(
    payload: BatchItemPayload,
    partial: PartialItem | undefined,
  ): Promise<void> {
    const {clock, log, registry, placer, servers, store, runTimes, random} =
      this.parts;
    const job = this.find();
    if (!job) return;
    const run = new ItemRun({
      job: job.row,
      payload,
      partial,
      clock,
      log,
      registry,
      placer,
      servers,
      random,
      toLocalMs: (storeMs) => store.toLocalMs(storeMs),
      getRunMs: () => runTimes.get(),
      recordRunMs: (ms) => runTimes.record(ms),
      signal: this.stop.signal,
    });
    this.runs.set(payload.itemId, run);
    const end = await run.run();
    if (end === ItemEnd.STOPPED) return;
    const result: BatchResultRow =
      end === ItemEnd.COMPLETED
        ? {
            itemId: payload.itemId,
            state: BatchResultState.COMPLETED,
            output: run.getOutput(),
          }
        : createDeadLetter(payload.itemId);
    await this.list(result, run.getDeadReason());
    this.runs.delete(payload.itemId);
  }

  /** Lists results one after the other, so that positions have no gaps. */
  private list(result: BatchResultRow, reason?: string): Promise<void> {
    this.appending = this.appending.then(() => this.append(result, reason));
    return this.appending;
  }

  private async append(
    result: BatchResultRow,
    reason: string | undefined,
  ): Promise<void> {
    const {store, log} = this.parts;
    let failures = 0;
    while (this.find() !== undefined) {
      const job = this.find();
      if (!job) return;
      const position = this.done.size;
      const outcome = await store.appendResult(job.row, position, result);
      if (outcome.isErr()) {
        failures += 1;
        this.recordFailure('append', outcome.error.message);
        await this.pause(failures);
        continue;
      }
      if (outcome.value === AppendOutcome.LISTED) {
        this.done.set(result.itemId, position);
        const isDead = result.state === BatchResultState.DEAD_LETTERED;
        log.record(
          isDead
            ? ServingEvent.ITEM_DEAD_LETTERED
            : ServingEvent.ITEM_RESULT_RECORDED,
          {
            requestId: result.itemId,
            jobId: this.jobId,
            position,
            reason,
          },
        );
        return;
      }
      const done = await store.readDone(job.row);
      if (done.isOk()) this.done = done.value;
      else await this.pause(1);
      if (this.done.has(result.itemId)) return;
    }
  }

  private async completeJob(): Promise<void> {
    const {store, directory, log} = this.parts;
    let failures = 0;
    while (!this.stop.signal.aborted) {
      const job = this.find();
      if (!job || !isOpen(job.row)) return;
      if (this.done.size < job.row.items.length) return;
      const row = {...job.row, state: BatchState.COMPLETE};
      const replaced = await store.replaceJob(job, row);
      if (replaced.isOk() && replaced.value) {
        log.record(ServingEvent.JOB_COMPLETE, {
          requestId: this.jobId,
          items: row.items.length,
        });
        return;
      }
      failures += 1;
      const reread = await store.readJob(row.workspace, this.jobId);
      if (reread.isOk() && reread.value) directory.update(reread.value);
      await this.pause(failures);
    }
  }

  private find(): StoredJob | undefined {
    return this.parts.directory.find(this.jobId);
  }

  private async retry<T>(
    step: string,
    read: () => ResultAsync<T, SavoryspurError>,
  ): Promise<T | undefined> {
    let failures = 0;
    while (!this.stop.signal.aborted) {
      const result = await read();
      if (result.isOk()) return result.value;
      this.recordFailure(step, result.error.message);
      failures += 1;
      await this.pause(failures);
    }
    return undefined;
  }

  private async pause(failures: number): Promise<void> {
    await this.parts.clock.sleep(
      computeBackoff(FIRST_RETRY_MS, MAX_RETRY_MS, failures),
    );
  }

  private recordFailure(step: string, reason: string): void {
    this.parts.log.record(ServingEvent.JOB_STORE_FAILED, {
      requestId: this.jobId,
      step: `jobs.${step}`,
      peer: 'store',
      reason,
    });
  }
}
