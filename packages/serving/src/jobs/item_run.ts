/** Runs one batch item until it has an output, is dead-lettered, or is stopped with its job. */
import {
  type Clock,
  computeBackoffMs,
  type EventLog,
  ServingEvent,
} from '@savoryspur/common';
import {
  type BatchJobRow,
  CallOutcome,
  type StreamOrigin,
} from '@savoryspur/schema';
import {GrowingReservation} from '../memory/growing_reservation.js';
import {type MemoryBudget, MemoryUse} from '../memory/memory_budget.js';
import type {BackendServer, ServiceRegistry} from '../service_registry.js';
import {
  chooseTarget,
  type EnvironmentView,
  type Route,
  RouteKind,
} from '../environment.js';
import {
  findOrderError,
  isComment,
  type RawEvent,
} from '../online/event_splitter.js';
import {readEvents} from '../online/read_events.js';
import {
  BrokenBodyError,
  EmptyStreamError,
  NO_MEMORY_REASON,
  type ServerCaller,
  type ServerReply,
  UNEXECUTED_OUTCOMES,
} from '../online/online_types.js';
import type {ReachabilityMonitor} from '../online/reachability_monitor.js';
import type {StreamOrigins} from '../online/stream_origins.js';
import {CallTimer} from '../slots/call_times.js';
import {OtherServerSearch} from '../slots/other_server_search.js';
import {
  isOfVersion,
  type SlotAllocator,
  type SlotGrant,
  type SlotRequest,
} from '../slots/slot_allocator.js';
import type {ItemCheckpoint, PayloadItem} from './job_store.js';

/** Maximum wait for a slot before it is requested again, milliseconds. */
const SLOT_WAIT_MS = 2000;

/** Time without an answer after which an item looks for another server, milliseconds. */
const FIRST_EVENT_TIMEOUT_MS = 2000;

/** Pause between events after which an item looks for another server, milliseconds. */
const EVENT_PAUSE_TIMEOUT_MS = 1500;

/** Maximum size of an output, characters: the store takes it, and a page of results holds it. */
const MAX_OUTPUT_CHARACTERS = 1024 * 1024;

/** Size of an output up to which no memory is reserved, characters. */
const SMALL_OUTPUT_CHARACTERS = 64 * 1024;

/** Number of empty answers to resumptions in a row after which an item is run from its start. */
const MAX_EMPTY_RESTS = 3;

/** Backoff after the first failed call, milliseconds; doubles up to {@link MAX_BACKOFF_MS}. */
const INITIAL_BACKOFF_MS = 50;

/** Maximum backoff after failed calls or refused slots, milliseconds. */
const MAX_BACKOFF_MS = 2000;

/** Interval between look-ups of a missing route, milliseconds. */
const ROUTE_CHECK_INTERVAL_MS = 200;

/** Time for which the route of an item may be missing before the item is dead-lettered, milliseconds: longer than a new environment takes to reach this daemon. */
const MAX_ROUTE_MISSING_MS = 4000;

/** Status code of an item that the server can never process; the item is dead-lettered. */
const STATUS_UNPROCESSABLE = 422;

/** Status code of a server that ran the item and failed; the only one that counts as an attempt. */
const STATUS_INTERNAL_SERVER_ERROR = 500;

/** Priority of batch items; 0 would be the most urgent. */
const BATCH_PRIORITY = 9;

/** How an item ended. */
export enum ItemOutcome {
  COMPLETED = 'completed',
  /** Ended without an output; it is not retried. */
  DEAD_LETTERED = 'dead',
  /** Stopped with its job before it ended; no result is recorded. */
  STOPPED = 'stopped',
}

/** An item and the components that its run uses. */
export interface ItemRunOptions {
  job: BatchJobRow;
  payload: PayloadItem;
  /** Progress that a former daemon saved when it drained. */
  checkpoint?: ItemCheckpoint;
  clock: Clock;
  log: EventLog;
  registry: ServiceRegistry<EnvironmentView>;
  slotAllocator: SlotAllocator;
  servers: ServerCaller;
  /** Tells when servers have last responded. */
  reachability: Pick<ReachabilityMonitor, 'getLastResponseMs'>;
  /** Software versions of streams. */
  streamOrigins: Pick<StreamOrigins, 'hasSeveralVersions'>;
  /** Memory budget of this daemon. */
  memory: MemoryBudget;
  /** Returns a random number from 0 (inclusive) to 1 (exclusive). */
  random: () => number;
  /** Converts a time of the store's clock to the local monotonic clock; undefined before the first answer of the store. */
  toLocalMs: (storeMs: number) => number | undefined;
  /** Gets the average time that servers take for an item, milliseconds. */
  getAverageDurationMs: () => number;
  /** Adds the time that servers took for an item to the average, milliseconds. */
  recordDurationMs: (ms: number) => void;
  /** Aborted to stop the item. */
  signal: AbortSignal;
}

/** How one call to a server ended. */
interface AttemptResult {
  outcome: CallOutcome;
  /** Description of a failure; empty for a completed item. */
  reason: string;
  /** How the item ended; undefined when it has to be run again. */
  itemOutcome?: ItemOutcome;
}

/** Run of one item of a job, over all calls to servers that it takes. */
export class ItemRun {
  /** Data of the events received so far. */
  private outputs: string[] = [];
  private outputCharacters = 0;
  private readonly outputMemory: GrowingReservation;
  private readonly otherServer: OtherServerSearch;
  /** Maximum number of connections to a server, when a slot was last requested. */
  private maxConnections = 1;
  /** Times of the latest call. */
  private callTimer: CallTimer | undefined;
  /** Server of the latest call. */
  private calledServer: BackendServer | undefined;
  private lastEventId: number | undefined;
  /** Servers that made the output, the only ones that may continue it; undefined without an output, and for one whose servers are not known. */
  private origin: StreamOrigin | undefined;
  /** Whether the event after the last one was received in part. */
  private isEventCutShort = false;
  /** Number of empty answers since the last event. */
  private emptyRests = 0;
  /** Number of runs that failed on the server; limited by the attempts of the route. */
  private failedAttempts = 0;
  /** Number of failed calls since the last event that may have run; determines the backoff after such a call. */
  private failuresSinceEvent = 0;
  /** Number of calls in a row that have not run; determines the backoff after such a call. */
  private unexecutedCalls = 0;
  /** Since when the route has been missing, monotonic milliseconds. */
  private routeMissingSinceMs: number | undefined;
  /** Total time that servers have worked on the item, milliseconds. */
  private runTimeMs = 0;
  private deadLetterReason: string | undefined;

  /**
   * @param options - the item and the components that its run uses
   */
  constructor(private readonly options: ItemRunOptions) {
    const {checkpoint} = options;
    this.outputMemory = this.createMemory();
    this.otherServer = new OtherServerSearch({
      ...options,
      createRequest: () => {
        return this.createSlotRequest(this.calledServer?.service ?? '');
      },
    });
    if (!checkpoint) return;
    this.failedAttempts = checkpoint.failures;
    if (checkpoint.lastEventId === 0) return;
    this.lastEventId = checkpoint.lastEventId;
    this.outputs.push(checkpoint.output);
    this.outputCharacters = checkpoint.output.length;
    this.origin = checkpoint.origin;
  }

  /** Returns the memory of the output, which is no longer needed. */
  releaseMemory(): void {
    this.outputMemory.release();
  }

  private createMemory(): GrowingReservation {
    return new GrowingReservation(
      this.options.memory,
      MemoryUse.SERVER_ANSWERS,
      SMALL_OUTPUT_CHARACTERS,
    );
  }

  /** Gets the output received so far. */
  getOutput(): string {
    return this.outputs.join('\n');
  }

  /** Gets the reason for which the item was dead-lettered; undefined otherwise. */
  getDeadLetterReason(): string | undefined {
    return this.deadLetterReason;
  }

  /** Describes the progress of the item, from which another daemon can continue it. */
  describeCheckpoint(): ItemCheckpoint {
    const {payload, streamOrigins} = this.options;
    // Builds before software versions reject a checkpoint with an origin.
    const needsOrigin =
      this.origin && streamOrigins.hasSeveralVersions(this.origin.service);
    return {
      itemId: payload.itemId,
      lastEventId: this.lastEventId ?? 0,
      output: this.lastEventId === undefined ? '' : this.getOutput(),
      failures: this.failedAttempts,
      origin: needsOrigin ? this.origin : undefined,
    };
  }

  /** Runs the item until it is completed, dead-lettered or stopped. */
  async run(): Promise<ItemOutcome> {
    try {
      return await this.runAttempts();
    } finally {
      this.otherServer.close();
    }
  }

  private async runAttempts(): Promise<ItemOutcome> {
    const {signal, clock} = this.options;
    while (!signal.aborted) {
      const route = this.findRoute();
      if (route === ItemOutcome.DEAD_LETTERED)
        return this.markDeadLettered('the route no longer exists');
      if (this.isRetentionOver())
        return this.markDeadLettered('the retention time has passed');
      if (!route) {
        this.otherServer.close();
        await clock.sleep(ROUTE_CHECK_INTERVAL_MS, signal);
        continue;
      }
      if (!this.isOutputContinuable(route)) this.clearOutput();
      const slot =
        this.otherServer.takeSlot() ?? (await this.acquireSlot(route));
      if (slot.kind === 'refused') {
        await clock.sleep(Math.min(slot.retryAfterMs, MAX_BACKOFF_MS), signal);
        continue;
      }
      const outcome = await this.runAttempt(slot);
      if (outcome !== undefined) return outcome;
      if (this.failedAttempts >= route.attempts) {
        return this.markDeadLettered(`${this.failedAttempts} runs failed`);
      }
    }
    return ItemOutcome.STOPPED;
  }

  private markDeadLettered(reason: string): ItemOutcome {
    this.deadLetterReason = reason;
    return ItemOutcome.DEAD_LETTERED;
  }

  /**
   * Finds the route of the job.
   *
   * @returns undefined while the route is missing, and DEAD_LETTERED once it has
   *     been missing for longer than {@link MAX_ROUTE_MISSING_MS}
   */
  private findRoute(): Route | ItemOutcome.DEAD_LETTERED | undefined {
    const {registry, job, payload, clock} = this.options;
    const environment = registry.getEnvironment();
    if (!environment) return undefined;
    const path = payload.path.split('?', 1)[0] ?? '/';
    const route =
      environment.findRouteByName(job.route) ??
      environment.findRoute(job.host, path);
    // The path may be that of a route for other requests, whose service may differ.
    if (route?.kind === RouteKind.BATCH) {
      this.routeMissingSinceMs = undefined;
      return route;
    }
    this.routeMissingSinceMs ??= clock.now();
    const missingMs = clock.now() - this.routeMissingSinceMs;
    return missingMs > MAX_ROUTE_MISSING_MS
      ? ItemOutcome.DEAD_LETTERED
      : undefined;
  }

  private isRetentionOver(): boolean {
    const abandonMs = this.options.toLocalMs(this.options.job.abandonMs);
    return abandonMs !== undefined && this.options.clock.now() >= abandonMs;
  }

  private acquireSlot(route: Route) {
    const {slotAllocator, registry, random, signal} = this.options;
    const service =
      this.origin?.service ?? chooseTarget(route.targets, random()) ?? '';
    this.maxConnections =
      registry.getEnvironment()?.findService(service)?.maxConnections ??
      this.maxConnections;
    return slotAllocator.acquire(this.createSlotRequest(service), signal);
  }

  private createSlotRequest(service: string): SlotRequest {
    const {clock, job} = this.options;
    const nowMs = clock.now();
    return {
      service,
      route: job.route,
      softwareVersion: this.origin?.softwareVersion,
      isBatch: true,
      isRetryable: true,
      workspace: job.workspace,
      priority: BATCH_PRIORITY,
      dueMs: this.computeSlotDueMs(),
      waitDeadlineMs: nowMs + SLOT_WAIT_MS,
      prefix: [],
      excluded: [],
    };
  }

  /**
   * Computes the due time by which slot requests are ordered, earliest first: the
   * next time that was promised for the item and that the work which is left can
   * still meet. Once the results of the job can't be complete when they are due, that
   * is the end of the time for which the item is kept.
   */
  private computeSlotDueMs(): number {
    const {clock, job, toLocalMs, getAverageDurationMs} = this.options;
    const nowMs = clock.now();
    const dueMs = toLocalMs(job.dueMs) ?? nowMs;
    const remainingMs = Math.max(0, getAverageDurationMs() - this.runTimeMs);
    if (nowMs + remainingMs <= dueMs) return dueMs;
    return toLocalMs(job.abandonMs) ?? nowMs;
  }

  /** Calls a server once with a granted slot; gives undefined when the item must be called again. */
  private async runAttempt(slot: SlotGrant): Promise<ItemOutcome | undefined> {
    const {options} = this;
    const {job, payload, clock} = options;
    const startMs = clock.now();
    const stop = new AbortController();
    const abort = (): void => stop.abort();
    options.signal.addEventListener('abort', abort, {once: true});
    slot.preemptionSignal.addEventListener('abort', abort, {once: true});
    if (slot.preemptionSignal.aborted) abort();
    this.calledServer = slot.server;
    options.log.record(ServingEvent.ITEM_STARTED, {
      requestId: payload.itemId,
      jobId: job.jobId,
      peer: slot.server.id,
      softwareVersion: slot.server.softwareVersion,
      lastEventId: this.lastEventId,
    });
    const timer = new CallTimer(job.route, clock);
    this.callTimer = timer;
    const result = await this.callServer(slot, stop.signal);
    options.signal.removeEventListener('abort', abort);
    slot.release(
      stop.signal.aborted ? CallOutcome.ABANDONED : result.outcome,
      timer.getTimes(),
    );
    this.runTimeMs += clock.now() - startMs;
    return this.finishAttempt(slot, result, stop.signal.aborted);
  }

  /**
   * Calls the server of a slot and reads its answer. An unexpected error counts
   * as a broken call, so that the slot is released and the item is run again.
   */
  private async callServer(
    slot: SlotGrant,
    signal: AbortSignal,
  ): Promise<AttemptResult> {
    const {job, payload, registry, servers} = this.options;
    const service = registry.getEnvironment()?.findService(slot.server.service);
    try {
      const reply = await this.otherServer.call(
        servers,
        {
          server: slot.server,
          requestId: payload.itemId,
          method: 'POST',
          host: job.host,
          target: payload.path,
          headers: Object.entries(payload.headers).flat(),
          body: payload.body,
          workspace: job.workspace,
          resumeAfter: this.lastEventId,
          maxConnections: service?.maxConnections ?? this.maxConnections,
          isOnNewConnection: this.otherServer.isGivenUp(slot.server.id),
          signal,
        },
        FIRST_EVENT_TIMEOUT_MS,
      );
      return reply.kind === 'failure'
        ? reply
        : await this.handleReply(reply, slot.server);
    } catch (thrown) {
      if (thrown instanceof BrokenBodyError) {
        this.isEventCutShort ||= thrown.isInsideEvent;
        if (thrown instanceof EmptyStreamError) this.recordEmptyRest();
        return {outcome: thrown.outcome, reason: thrown.message};
      }
      const reason = thrown instanceof Error ? thrown.stack : String(thrown);
      return {
        outcome: CallOutcome.BROKEN,
        reason: `unexpected error: ${reason}`,
      };
    }
  }

  private async finishAttempt(
    slot: SlotGrant,
    result: AttemptResult,
    isStopped: boolean,
  ): Promise<ItemOutcome | undefined> {
    const {options} = this;
    if (result.itemOutcome === ItemOutcome.COMPLETED)
      options.recordDurationMs(this.runTimeMs);
    if (result.itemOutcome !== undefined) return result.itemOutcome;
    if (isStopped) return undefined;
    options.log.record(ServingEvent.ITEM_ATTEMPT_FAILED, {
      requestId: options.payload.itemId,
      jobId: options.job.jobId,
      peer: slot.server.id,
      outcome: result.outcome,
      reason: result.reason,
      lastEventId: this.lastEventId,
      failures: this.failedAttempts,
    });
    const failures = this.countFailure(result.outcome);
    if (this.otherServer.hasSlot()) return undefined;
    await options.clock.sleep(
      computeBackoffMs(INITIAL_BACKOFF_MS, MAX_BACKOFF_MS, failures),
      options.signal,
    );
    return undefined;
  }

  /** Counts a failed call and returns the number of failures that determines the backoff. */
  private countFailure(outcome: CallOutcome): number {
    if (UNEXECUTED_OUTCOMES.has(outcome)) {
      this.unexecutedCalls += 1;
      return this.unexecutedCalls;
    }
    this.unexecutedCalls = 0;
    this.failuresSinceEvent += 1;
    return this.failuresSinceEvent;
  }

  private async handleReply(
    reply: ServerReply,
    server: BackendServer,
  ): Promise<AttemptResult> {
    const {statusCode} = reply.head;
    if (statusCode === 200 && reply.isSigned) {
      return this.collectEvents(reply, server);
    }
    reply.drop();
    const reason = `the server answered with status ${statusCode}`;
    if (statusCode === STATUS_UNPROCESSABLE) {
      const itemOutcome = this.markDeadLettered(reason);
      return {outcome: CallOutcome.SUCCEEDED, reason, itemOutcome};
    }
    if (statusCode === STATUS_INTERNAL_SERVER_ERROR) this.failedAttempts += 1;
    return {outcome: CallOutcome.FAILED, reason};
  }

  private async collectEvents(
    reply: ServerReply,
    {service, softwareVersion}: BackendServer,
  ): Promise<AttemptResult> {
    for await (const event of readEvents(
      reply,
      EVENT_PAUSE_TIMEOUT_MS,
      this.options.clock,
      this.lastEventId !== undefined &&
        !this.isEventCutShort &&
        reply.isDelimited,
      this.createMemory(),
      this.otherServer,
    )) {
      if (isComment(event)) continue;
      this.callTimer?.recordEvent();
      const error =
        this.findSizeError(event.data) ?? this.checkEventOrder(event);
      if (error !== undefined) {
        reply.drop();
        throw new BrokenBodyError(CallOutcome.BROKEN, error, true);
      }
      this.isEventCutShort = false;
      this.emptyRests = 0;
      this.origin ??= {service, softwareVersion};
      this.outputs.push(event.data);
      this.outputCharacters += event.data.length;
      this.failuresSinceEvent = 0;
      this.unexecutedCalls = 0;
    }
    const itemOutcome = ItemOutcome.COMPLETED;
    return {outcome: CallOutcome.SUCCEEDED, reason: '', itemOutcome};
  }

  /** Checks that there is room for more output; an output without end is dropped, so that the item starts again. */
  private findSizeError(data: string): string | undefined {
    const characters = this.outputCharacters + data.length;
    if (characters > MAX_OUTPUT_CHARACTERS) {
      this.clearOutput();
      return `the output is larger than ${MAX_OUTPUT_CHARACTERS} characters`;
    }
    return this.outputMemory.tryReserve(characters)
      ? undefined
      : NO_MEMORY_REASON;
  }

  /** Checks that an event follows the last one; describes the gap or repeat otherwise. */
  private checkEventOrder(event: RawEvent): string | undefined {
    if (event.id === undefined) return 'the event has no id';
    const orderError = findOrderError(event, this.lastEventId);
    if (orderError === undefined) this.lastEventId = event.id;
    return orderError;
  }

  /**
   * Counts an empty answer to a resumption. It does not show whether the output
   * is complete, and other servers may answer the same, so after some of them the
   * item is run from its start.
   */
  private recordEmptyRest(): void {
    this.emptyRests += 1;
    if (this.emptyRests < MAX_EMPTY_RESTS) return;
    this.clearOutput();
  }

  /** Whether a server that made the output so far accepts new work; the item is run from its start otherwise. */
  private isOutputContinuable(route: Route): boolean {
    const {registry, streamOrigins} = this.options;
    const {origin} = this;
    if (this.lastEventId === undefined) return true;
    if (origin === undefined) {
      return !route.targets.some(({service}) =>
        streamOrigins.hasSeveralVersions(service),
      );
    }
    return (
      route.targets.some(({service}) => service === origin.service) &&
      registry
        .listServers(origin.service)
        .some((server) => isOfVersion(server, origin))
    );
  }

  private clearOutput(): void {
    this.otherServer.close();
    this.outputs = [];
    this.outputCharacters = 0;
    this.outputMemory.release();
    this.lastEventId = undefined;
    this.origin = undefined;
    this.isEventCutShort = false;
    this.emptyRests = 0;
  }
}
