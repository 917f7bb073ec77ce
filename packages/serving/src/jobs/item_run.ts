/** Runs one batch item until it has an output, is given up, or is stopped. */
import {
  type Clock,
  computeBackoff,
  type EventLog,
  ServingEvent,
} from '@savoryspur/common';
import {
  type BatchItemPayload,
  type BatchJobRow,
  CallOutcome,
} from '@savoryspur/schema';
import type {ServiceRegistry} from '../service_registry.js';
import {
  chooseTarget,
  type EnvironmentView,
  type Route,
} from '../environment.js';
import {EventSplitter, type RawEvent} from '../online/event_splitter.js';
import {
  BrokenBodyError,
  type ServerCaller,
  type ServerReply,
} from '../online/online_types.js';
import type {SlotGrant, SlotAllocator} from '../slots/slot_allocator.js';
import type {PartialItem} from './job_store.js';

/** Longest wait for a place before it is asked for again, milliseconds. */
const PLACE_WAIT_MS = 2000;

/** Longest silence before the first event of an item, milliseconds. */
const FIRST_EVENT_MS = 2000;

/** Longest silence between events of an item, milliseconds. */
const PAUSE_MS = 1500;

/** Pause after a run that failed, milliseconds; doubles up to the longest. */
const FIRST_BACKOFF_MS = 50;

/** Longest pause after failed runs, milliseconds. */
const MAX_BACKOFF_MS = 2000;

/** Period in which a missing route is looked for again, milliseconds. */
const ROUTE_CHECK_MS = 200;

/** Time for which a route may be missing before its items are given up, milliseconds: longer than an environment takes to arrive. */
const ROUTE_MISSING_MS = 4000;

/** Time by which items that cannot be on time any more rank behind the others, milliseconds. */
const LATE_RANK_MS = 3_600_000;

/** Status of an item that can never be done. */
const STATUS_UNPROCESSABLE = 422;

/** First status code of a server's own failure. */
const FIRST_SERVER_ERROR = 500;

/** Rank of batch items. */
const BATCH_PRIORITY = 9;

/** How an item ended. */
export enum ItemEnd {
  COMPLETED = 'completed',
  DEAD = 'dead',
  /** Stopped by its job; nothing is listed. */
  STOPPED = 'stopped',
}

/** What an item needs to run. */
export interface ItemRunOptions {
  job: BatchJobRow;
  payload: BatchItemPayload;
  partial?: PartialItem;
  clock: Clock;
  log: EventLog;
  registry: ServiceRegistry<EnvironmentView>;
  placer: SlotAllocator;
  servers: ServerCaller;
  random: () => number;
  /** Converts a time of the store's clock to the local one. */
  toLocalMs: (storeMs: number) => number | undefined;
  /** Estimates the length of a whole run, milliseconds. */
  getRunMs: () => number;
  /** Takes in the length of a whole run, milliseconds. */
  recordRunMs: (ms: number) => void;
  signal: AbortSignal;
}

/** One item of a job. */
export class ItemRun {
  private readonly parts: string[] = [];
  private lastEventId: number | undefined;
  private failures = 0;
  private breaks = 0;
  private routeMissingMs: number | undefined;
  private ranMs = 0;
  private deadReason: string | undefined;

  /**
   * @param options - the item and what runs it
   */
  constructor(private readonly options: ItemRunOptions) {
    const {partial} = options;
    if (!partial) return;
    this.failures = partial.failures;
    if (partial.lastEventId === 0) return;
    this.lastEventId = partial.lastEventId;
    this.parts.push(partial.output);
  }

  /** Gets the output so far. */
  getOutput(): string {
    return this.parts.join('\n');
  }

  /** Gets why the item ended without an output; undefined otherwise. */
  getDeadReason(): string | undefined {
    return this.deadReason;
  }

  /** Describes what was done, for a daemon that goes on with it. */
  describePartial(): PartialItem {
    return {
      itemId: this.options.payload.itemId,
      lastEventId: this.lastEventId ?? 0,
      output: this.lastEventId === undefined ? '' : this.getOutput(),
      failures: this.failures,
    };
  }

  /** Runs the item until it ends. */
  async run(): Promise<ItemEnd> {
    const {signal, clock} = this.options;
    while (!signal.aborted) {
      const route = this.findRoute();
      if (route === ItemEnd.DEAD) return this.abort('its route is gone');
      if (this.isAbandoned()) return this.abort('its retention is over');
      if (!route) {
        await clock.sleep(ROUTE_CHECK_MS, signal);
        continue;
      }
      const place = await this.acquire(route);
      if (place.kind === 'refused') {
        await clock.sleep(Math.min(place.retryAfterMs, MAX_BACKOFF_MS), signal);
        continue;
      }
      const end = await this.runOnce(place);
      if (end !== undefined) return end;
      if (this.failures >= route.attempts) {
        return this.abort(`${this.failures} runs failed`);
      }
    }
    return ItemEnd.STOPPED;
  }

  private abort(reason: string): ItemEnd {
    this.deadReason = reason;
    return ItemEnd.DEAD;
  }

  /** Finds the route of the job; DEAD once it has been missing for long. */
  private findRoute(): Route | ItemEnd.DEAD | undefined {
    const {registry, job, payload, clock} = this.options;
    const environment = registry.getEnvironment();
    if (!environment) return undefined;
    const path = payload.path.split('?', 1)[0] ?? '/';
    const route =
      environment.findRouteByName(job.route) ??
      environment.findRoute(job.host, path);
    if (route) {
      this.routeMissingMs = undefined;
      return route;
    }
    this.routeMissingMs ??= clock.now();
    const missingMs = clock.now() - this.routeMissingMs;
    return missingMs > ROUTE_MISSING_MS ? ItemEnd.DEAD : undefined;
  }

  private isAbandoned(): boolean {
    const abandonMs = this.options.toLocalMs(this.options.job.abandonMs);
    return abandonMs !== undefined && this.options.clock.now() >= abandonMs;
  }

  private acquire(route: Route) {
    const {clock, placer, random, signal, job} = this.options;
    const nowMs = clock.now();
    return placer.acquire(
      {
        service: chooseTarget(route.targets, random()) ?? '',
        isBatch: true,
        workspace: job.workspace,
        priority: BATCH_PRIORITY,
        dueMs: this.computeRankMs(),
        refuseByMs: nowMs + PLACE_WAIT_MS,
        giveUpMs: nowMs + PLACE_WAIT_MS,
        prefix: [],
        excluded: [],
      },
      signal,
    );
  }

  /** Earliest due first; items that are late in any case come after the others. */
  private computeRankMs(): number {
    const nowMs = this.options.clock.now();
    const dueMs = this.options.toLocalMs(this.options.job.dueMs) ?? nowMs;
    const leftMs = Math.max(0, this.options.getRunMs() - this.ranMs);
    return nowMs + leftMs <= dueMs ? dueMs : dueMs + LATE_RANK_MS;
  }

  private async runOnce(place: SlotGrant): Promise<ItemEnd | undefined> {
    const {options} = this;
    const {job, payload, clock, registry} = options;
    const startMs = clock.now();
    const stop = new AbortController();
    const abort = (): void => stop.abort();
    options.signal.addEventListener('abort', abort, {once: true});
    place.preemptionSignal.addEventListener('abort', abort, {once: true});
    options.log.record(ServingEvent.ITEM_STARTED, {
      requestId: payload.itemId,
      jobId: job.jobId,
      peer: place.server.id,
      lastEventId: this.lastEventId,
    });
    const service = registry
      .getEnvironment()
      ?.findService(place.server.service);
    const reply = await options.servers.call({
      server: place.server,
      requestId: payload.itemId,
      method: 'POST',
      host: job.host,
      target: payload.path,
      headers: Object.entries(payload.headers).flat(),
      body: Buffer.from(payload.body, 'base64'),
      workspace: job.workspace,
      resumeAfter: this.lastEventId,
      firstByteMs: FIRST_EVENT_MS,
      pauseMs: PAUSE_MS,
      maxConnections: service?.maxConnections ?? 1,
      signal: stop.signal,
    });
    const taken =
      reply.kind === 'failure' ? reply : await this.takeReply(reply);
    options.signal.removeEventListener('abort', abort);
    place.release(stop.signal.aborted ? CallOutcome.ABANDONED : taken.outcome);
    this.ranMs += clock.now() - startMs;
    return this.finishRun(place, taken, stop.signal.aborted);
  }

  private async finishRun(
    place: SlotGrant,
    taken: {outcome: CallOutcome; reason: string; end?: ItemEnd},
    isStopped: boolean,
  ): Promise<ItemEnd | undefined> {
    const {options} = this;
    if (taken.end === ItemEnd.COMPLETED) options.recordRunMs(this.ranMs);
    if (taken.end !== undefined) return taken.end;
    if (isStopped) return undefined;
    options.log.record(ServingEvent.ITEM_ATTEMPT_FAILED, {
      requestId: options.payload.itemId,
      jobId: options.job.jobId,
      peer: place.server.id,
      outcome: taken.outcome,
      reason: taken.reason,
      lastEventId: this.lastEventId,
      failures: this.failures,
    });
    this.breaks += 1;
    await options.clock.sleep(
      computeBackoff(FIRST_BACKOFF_MS, MAX_BACKOFF_MS, this.breaks),
      options.signal,
    );
    return undefined;
  }

  private async takeReply(
    reply: ServerReply,
  ): Promise<{outcome: CallOutcome; reason: string; end?: ItemEnd}> {
    try {
      const {statusCode} = reply.head;
      if (statusCode === 200 && reply.isSigned) {
        return await this.collect(reply);
      }
      for await (const bytes of reply.body) void bytes;
      const reason = `the server answered ${statusCode}`;
      if (statusCode === STATUS_UNPROCESSABLE) {
        const end = this.abort(reason);
        return {outcome: CallOutcome.SUCCEEDED, reason, end};
      }
      if (statusCode === FIRST_SERVER_ERROR) this.failures += 1;
      return {outcome: CallOutcome.FAILED, reason};
    } catch (thrown) {
      if (!(thrown instanceof BrokenBodyError)) throw thrown;
      return {outcome: thrown.outcome, reason: thrown.message};
    }
  }

  private async collect(
    reply: ServerReply,
  ): Promise<{outcome: CallOutcome; reason: string; end?: ItemEnd}> {
    const splitter = new EventSplitter();
    for await (const bytes of reply.body) {
      for (const event of splitter.add(bytes)) {
        const fault = this.checkOrder(event);
        if (fault !== undefined) {
          reply.drop();
          return {outcome: CallOutcome.BROKEN, reason: fault};
        }
        this.parts.push(event.data);
        this.breaks = 0;
      }
    }
    if (splitter.hasPartialEvent()) {
      const reason = 'the stream ended inside an event';
      return {outcome: CallOutcome.BROKEN, reason};
    }
    const end = ItemEnd.COMPLETED;
    return {outcome: CallOutcome.SUCCEEDED, reason: '', end};
  }

  private checkOrder(event: RawEvent): string | undefined {
    if (event.id === undefined) return 'an event without a number';
    const isNext =
      this.lastEventId === undefined || event.id === this.lastEventId + 1;
    if (!isNext) return `event ${event.id} after ${this.lastEventId}`;
    this.lastEventId = event.id;
    return undefined;
  }
}
