/** Several workers that share in-memory storage and run in virtual time. */
import {
  type Clock,
  ErrorCode,
  MemoryEventLog,
  SavoryspurError,
} from '@savoryspur/common';
import type {BatchSettings, JobRow} from '@savoryspur/schema';
import {err, ok, type Result, ResultAsync} from 'neverthrow';
import {
  type BatchItem,
  type BatchObject,
  type BatchWorker,
  createBatchWorker,
  createJobService,
  type ItemAnswer,
  type ItemExecutor,
  type JobService,
  type WorkerBounds,
} from '../src/index.js';
import {
  Fault,
  type StorageLink,
  LinkedObjects,
  LinkedTable,
  MemoryStorage,
} from './memory_storage.js';
import {TestClock} from './test_clock.js';

/** Settings of the tests. */
export const TEST_SETTINGS: BatchSettings = {
  enabled: true,
  chunkItems: 10,
  maxItems: 1000,
  concurrency: 8,
  maxAttempts: 3,
  pollMs: 1000,
};

/** Term of a chunk lease in the tests, milliseconds. */
export const CHUNK_LEASE_TERM_MS = 15_000;

/**
 * Chooses the result of a run of an item; undefined for a successful answer.
 */
export type ItemBehaviour = (
  item: BatchItem,
  host: TestHost,
) => Result<ItemAnswer, SavoryspurError> | undefined;

/** Creates an error as an executor returns it. */
export function createItemError(code: ErrorCode): SavoryspurError {
  return new SavoryspurError(code, {step: 'item.run', peer: 'engine'}, code);
}

/**
 * One host: a worker whose process can be paused or ended and whose link can
 * fail.
 */
export class TestHost implements StorageLink, Clock {
  chooseFault: StorageLink['chooseFault'] = () => Fault.NONE;
  readonly log = new MemoryEventLog();
  readonly worker: BatchWorker;
  readonly service: JobService;
  readonly incarnation: string;
  hasEnded = false;
  runs = 0;
  /**
   * Duration of an item on this host; the duration of the fleet when undefined.
   */
  itemMs: number | undefined;
  private isPaused = false;
  private pauseGate: Promise<void> = Promise.resolve();
  private openPauseGate: () => void = () => undefined;

  constructor(
    readonly fleet: TestFleet,
    readonly name: string,
    bounds: Partial<WorkerBounds>,
  ) {
    this.incarnation = `${name}-1`;
    const context = {
      table: new LinkedTable(fleet.storage, this),
      objects: new LinkedObjects(fleet.storage, this),
      clock: this,
      log: this.log,
      settings: fleet.settings,
    };
    this.service = createJobService(context, (jobId) => {
      for (const host of fleet.hosts) {
        if (!fleet.isCancelNoticeLost) host.worker.cancelJob(jobId);
      }
    });
    this.worker = createBatchWorker({
      ...context,
      host: name,
      incarnation: this.incarnation,
      executor: this.createExecutor(),
      leases: {
        heartbeatMs: 1000,
        delegationMs: 3000,
        heartbeatBytes: 2048,
        slotTakeoverMs: 10_000,
        chunkMs: CHUNK_LEASE_TERM_MS,
        configPollMs: 1000,
        hostListPollMs: 1000,
      },
      listHosts: () => fleet.hosts.map((host) => host.name),
      getWorkspaceWeight: () => 1,
      isLeaseHolderTerminated: (host) => fleet.terminatedHosts.has(host),
      bounds,
    });
  }

  now(): number {
    return this.fleet.clock.now();
  }

  nowWall(): Date {
    return this.fleet.clock.nowWall();
  }

  async sleep(ms: number, signal?: AbortSignal): Promise<void> {
    await this.fleet.clock.sleep(ms, signal);
    await this.waitWhilePaused();
  }

  waitWhilePaused(): Promise<void> {
    this.fleet.clock.recordActivity();
    return this.pauseGate;
  }

  /** Pauses the whole process; has no effect on a paused process. */
  pause(): void {
    if (this.isPaused) return;
    this.isPaused = true;
    this.pauseGate = new Promise((resolve) => (this.openPauseGate = resolve));
  }

  /** Resumes a paused process. */
  resume(): void {
    this.isPaused = false;
    this.openPauseGate();
    this.pauseGate = Promise.resolve();
  }

  /** Ends the process like a crash. */
  end(): void {
    this.hasEnded = true;
    this.pause();
  }

  private createExecutor(): ItemExecutor {
    return {
      run: (item, signal) => new ResultAsync(this.runItem(item, signal)),
    };
  }

  private async runItem(
    item: BatchItem,
    signal: AbortSignal,
  ): Promise<Result<ItemAnswer, SavoryspurError>> {
    this.runs += 1;
    this.fleet.startedRuns.push(item.customId);
    const result = this.fleet.answerItem(item, this);
    await this.sleep(this.itemMs ?? this.fleet.itemMs, signal);
    if (signal.aborted) return err(createItemError(ErrorCode.CANCELLED));
    const body = {echo: item.customId, run: this.fleet.startedRuns.length};
    return result ?? ok({statusCode: 200, body});
  }
}

/** Hosts that share one storage. */
export class TestFleet {
  readonly clock = new TestClock();
  readonly storage = new MemoryStorage();
  readonly hosts: TestHost[] = [];
  /**
   * A host without a running worker and without faults, for reading results.
   */
  readonly reader: TestHost;
  /** Hosts that are reported as terminated, whether or not they have ended. */
  readonly terminatedHosts = new Set<string>();
  readonly startedRuns: string[] = [];
  answerItem: ItemBehaviour = () => undefined;
  isCancelNoticeLost = false;
  itemMs = 400;

  constructor(
    hosts: number,
    readonly settings: BatchSettings = TEST_SETTINGS,
    readonly bounds: Partial<WorkerBounds> = {},
  ) {
    this.reader = new TestHost(this, 'reader', bounds);
    for (let n = 0; n < hosts; n++) this.addHost();
  }

  /** Adds a host whose worker is not started. */
  addHost(): TestHost {
    const host = new TestHost(this, `h${this.hosts.length}`, this.bounds);
    this.hosts.push(host);
    return host;
  }

  /** Starts all workers. */
  start(): void {
    for (const {worker} of this.hosts) worker.start();
  }

  /** Gets the state in the row of a job. */
  getJobState(jobId: string): string {
    const row = this.storage.rows.get(`job/${jobId}`);
    return (row?.value as JobRow).state;
  }

  /** Waits until a job has ended and returns its API object. */
  async waitForEnd(jobId: string, workspace = 'fraser'): Promise<BatchObject> {
    await this.clock.waitFor(() => this.getJobState(jobId) !== 'in_progress');
    const {service} = this.reader;
    const shown = await this.clock.waitSettled(service.show(workspace, jobId));
    return shown._unsafeUnwrap();
  }

  /** Ends all hosts, so that none of their work runs on during later tests. */
  stop(): void {
    for (const host of this.hosts) host.end();
  }
}
