/** One admitted request: places, calls to servers, and the answer. */
import {ServingEvent} from '@savoryspur/common';
import {CallOutcome} from '@savoryspur/schema';
import type {BackendServer} from '../service_registry.js';
import {isRetryable, RouteKind} from '../environment.js';
import type {SlotResult} from '../slots/slot_allocator.js';
import type {RequestClass} from '../serving_metrics.js';
import type {RequestIdentity} from './request_quarantine.js';
import {EventSplitter, type RawEvent} from './event_splitter.js';
import type {OnlineParts, OnlinePlan} from './online_handler.js';
import {
  type AnswerHead,
  type AnswerWriter,
  BrokenBodyError,
  type OnlineRequest,
  type Refusal,
  RefusalCode,
  type ServerReply,
} from './online_types.js';

/** Calls that did not run and may be made beyond the attempts of a route. */
const MAX_UNEXECUTED_CALLS = 4;

/** Part of the target latency in which a refusal counts as prompt. */
const PROMPT_REFUSAL_SHARE = 0.25;

/** Time before the end of that part at which refusals are sent, so that they arrive within it, milliseconds. */
const PROMPT_REFUSAL_MARGIN_MS = 10;

/** Target latencies that a request waits for a place at most. */
const MAX_WAIT_TARGETS = 4;

/** Part of the target latency after which the silence of a server before its first event counts as a failure, when the request may run again. */
const SILENT_STREAM_SHARE = 0.6;

/** The same for answers that come whole; their times spread more. */
const SILENT_ANSWER_TARGETS = 2;

/** Part of the longest pause after which a silent stream is resumed elsewhere. */
const SILENT_PAUSE_SHARE = 0.6;

/** Time that is kept back from the deadline for the way to the caller, milliseconds. */
const DEADLINE_MARGIN_MS = 5;

/** Largest answer that is held until it is whole, bytes. */
const MAX_WHOLE_BYTES = 16 * 1024 * 1024;

/** Retry-After after servers refused, milliseconds. */
const SHED_RETRY_MS = 250;

/** First status code of a server's own failure. */
const FIRST_SERVER_ERROR = 500;

/** How one call to a server ended for the request. */
interface CallEnd {
  outcome: CallOutcome;
  reason: string;
  /** Whether the request has its final answer. */
  isFinal: boolean;
}

/** Runs one request until it has its one answer. */
export class OnlineExchange {
  private readonly limitMs: number;
  private readonly stop = new AbortController();
  private readonly tried: string[] = [];
  private runs = 0;
  private unexecuted = 0;
  /** Daemon that granted the last place. */
  private placedBy: string | undefined;
  /** Time from the arrival to the last place, milliseconds. */
  private waitedMs: number | undefined;
  private lastEventId: number | undefined;
  private firstByteMs: number | undefined;
  /** Failure of a server that is passed on when no other answer comes. */
  private failedReply: {head: AnswerHead; body: Buffer} | undefined;

  /**
   * @param parts - collaborators
   * @param request - the request
   * @param answer - where the answer goes
   * @param plan - route, workspace and service
   */
  constructor(
    private readonly parts: OnlineParts,
    private readonly request: OnlineRequest,
    private readonly answer: AnswerWriter,
    private readonly plan: OnlinePlan,
  ) {
    this.limitMs = Math.min(
      request.deadlineMs - DEADLINE_MARGIN_MS,
      request.arrivedMs + plan.route.timeoutMs,
    );
    this.lastEventId = request.resumeAfter;
  }

  /** Runs the request to its end. */
  async run(): Promise<void> {
    const {clock} = this.parts;
    const leave = (): void => this.stop.abort();
    this.request.signal.addEventListener('abort', leave, {once: true});
    if (this.request.signal.aborted) leave();
    const timer = setTimeout(leave, Math.max(0, this.limitMs - clock.now()));
    try {
      await this.runCalls();
    } finally {
      clearTimeout(timer);
      this.request.signal.removeEventListener('abort', leave);
    }
  }

  private async runCalls(): Promise<void> {
    while (!this.stop.signal.aborted) {
      const placement = await this.acquire();
      if (this.stop.signal.aborted) {
        if (placement.kind === 'placed') {
          placement.release(CallOutcome.ABANDONED);
        }
        break;
      }
      if (placement.kind === 'refused') {
        return this.finishUnplaced(placement.reason, placement.retryAfterMs);
      }
      const end = await this.callServer(placement);
      placement.release(end.outcome);
      if (end.isFinal) return this.finishAnswered(placement.server);
      this.recordFailedCall(placement.server, end);
      if (this.stop.signal.aborted) break;
      if (!this.isCallAllowed(end.outcome))
        return this.finishFailed(end.reason);
    }
    this.finishStopped();
  }

  private acquire(): Promise<SlotResult> {
    const {route, workspace, service, priority} = this.plan;
    const {arrivedMs} = this.request;
    const waitMs = route.targetLatencyMs * MAX_WAIT_TARGETS;
    const promptUntilMs =
      arrivedMs +
      route.targetLatencyMs * PROMPT_REFUSAL_SHARE -
      PROMPT_REFUSAL_MARGIN_MS;
    return this.parts.placer.acquire(
      {
        service,
        isBatch: false,
        workspace: workspace?.name ?? '',
        priority,
        dueMs: arrivedMs + route.targetLatencyMs,
        refuseByMs: this.runs > 0 ? arrivedMs : promptUntilMs,
        giveUpMs: Math.min(this.limitMs, arrivedMs + waitMs),
        prefix: this.request.prefix,
        excluded: this.tried,
      },
      this.stop.signal,
    );
  }

  private async callServer(
    placement: SlotResult & {kind: 'placed'},
  ): Promise<CallEnd> {
    const {clock, servers, registry} = this.parts;
    const {request, plan} = this;
    const startMs = clock.now();
    const service = registry.getEnvironment()?.findService(plan.service);
    this.tried.push(placement.server.id);
    this.placedBy = placement.grantedBy;
    this.waitedMs = Math.round(startMs - request.arrivedMs);
    this.parts.log.record(ServingEvent.SLOT_GRANTED, {
      requestId: request.requestId,
      workspace: plan.workspace?.name,
      serverId: placement.server.id,
      placedBy: placement.grantedBy,
      waitedMs: this.waitedMs,
      environmentVersion: plan.environmentVersion,
    });
    this.recordResumption(placement.server);
    const reply = await servers.call({
      server: placement.server,
      requestId: request.requestId,
      method: request.method,
      host: request.host,
      target: request.target,
      headers: request.headers,
      body: request.body,
      workspace: plan.workspace?.name,
      deadlineInMs: Math.max(1, Math.floor(this.limitMs - startMs)),
      resumeAfter: this.lastEventId,
      firstByteMs: this.computeFirstByteMs(),
      pauseMs: this.computePauseMs(),
      maxConnections: service?.maxConnections ?? 1,
      signal: this.stop.signal,
    });
    if (reply.kind === 'failure') return {...reply, isFinal: false};
    this.firstByteMs ??= clock.now() - request.arrivedMs;
    return this.takeReply(reply);
  }

  private recordResumption(server: BackendServer): void {
    if (!this.answer.hasBegun) return;
    this.parts.log.record(ServingEvent.STREAM_RESUMED, {
      requestId: this.request.requestId,
      workspace: this.plan.workspace?.name,
      peer: server.id,
      lastEventId: this.lastEventId,
    });
  }

  /** Longest silence before the first bytes; 0 when nothing could be done about it. */
  private computeFirstByteMs(): number {
    const {route} = this.plan;
    if (!isRetryable(route) || this.runs + 1 >= route.attempts) return 0;
    if (route.kind === RouteKind.STREAMING) {
      return route.targetLatencyMs * SILENT_STREAM_SHARE;
    }
    return route.targetLatencyMs * SILENT_ANSWER_TARGETS;
  }

  private computePauseMs(): number {
    const {route} = this.plan;
    if (!isRetryable(route) || this.runs + 1 >= route.attempts) return 0;
    if (route.kind !== RouteKind.STREAMING || route.maxPauseMs === 0) return 0;
    return route.maxPauseMs * SILENT_PAUSE_SHARE;
  }

  private async takeReply(reply: ServerReply): Promise<CallEnd> {
    const {statusCode} = reply.head;
    const isSuccess = statusCode >= 200 && statusCode < 300;
    if (isSuccess && !reply.isSigned) {
      return this.drop(reply, 'a success without the signature of a server');
    }
    try {
      const isStream = this.plan.route.kind === RouteKind.STREAMING;
      if (isSuccess && isStream) return await this.relayStream(reply);
      return await this.takeWhole(reply);
    } catch (thrown) {
      if (thrown instanceof BrokenBodyError) {
        return {
          outcome: thrown.outcome,
          reason: thrown.message,
          isFinal: false,
        };
      }
      throw thrown;
    }
  }

  /** Passes an answer on once it is whole. */
  private async takeWhole(reply: ServerReply): Promise<CallEnd> {
    const parts: Buffer[] = [];
    let size = 0;
    for await (const bytes of reply.body) {
      parts.push(bytes);
      size += bytes.length;
      if (size > MAX_WHOLE_BYTES) {
        return this.drop(reply, `more than ${MAX_WHOLE_BYTES} bytes`);
      }
    }
    const {statusCode} = reply.head;
    if (statusCode >= FIRST_SERVER_ERROR) {
      const reason = `the server answered ${statusCode}`;
      const failed = {outcome: CallOutcome.FAILED, reason};
      const canRepeat =
        isRetryable(this.plan.route) &&
        this.runs + 1 < this.plan.route.attempts &&
        !this.stop.signal.aborted;
      if (canRepeat || this.answer.hasBegun) {
        this.failedReply = {head: reply.head, body: Buffer.concat(parts)};
        return {...failed, isFinal: false};
      }
      this.answerWhole(reply, Buffer.concat(parts));
      return {...failed, isFinal: true};
    }
    if (this.answer.hasBegun) {
      return this.drop(reply, `status ${statusCode} to a resumed stream`);
    }
    this.answerWhole(reply, Buffer.concat(parts));
    return {outcome: CallOutcome.SUCCEEDED, reason: '', isFinal: true};
  }

  private answerWhole(reply: ServerReply, body: Buffer): void {
    this.answer.begin(reply.head);
    void this.answer.write(body);
    this.answer.end();
  }

  /** Passes whole events on as they come; the head goes with the first one. */
  private async relayStream(reply: ServerReply): Promise<CallEnd> {
    const splitter = new EventSplitter();
    for await (const bytes of reply.body) {
      for (const event of splitter.add(bytes)) {
        const fault = this.checkOrder(event);
        if (fault !== undefined) return this.drop(reply, fault);
        if (!this.answer.hasBegun) this.answer.begin(reply.head);
        await this.answer.write(event.bytes);
      }
    }
    if (splitter.hasRest()) {
      const reason = 'the stream ended inside an event';
      return {outcome: CallOutcome.BROKEN, reason, isFinal: false};
    }
    if (!this.answer.hasBegun) this.answer.begin(reply.head);
    this.answer.end();
    return {outcome: CallOutcome.SUCCEEDED, reason: '', isFinal: true};
  }

  private checkOrder(event: RawEvent): string | undefined {
    if (event.id === undefined) return undefined;
    const isNext =
      this.lastEventId === undefined || event.id === this.lastEventId + 1;
    if (!isNext) return `event ${event.id} after ${this.lastEventId}`;
    this.lastEventId = event.id;
    return undefined;
  }

  private drop(reply: ServerReply, reason: string): CallEnd {
    reply.drop();
    return {outcome: CallOutcome.BROKEN, reason, isFinal: false};
  }

  /** Whether another call may be made after one that gave no answer. */
  private isCallAllowed(outcome: CallOutcome): boolean {
    const {route} = this.plan;
    if (NOT_RUN_OUTCOMES.has(outcome)) {
      this.unexecuted += 1;
      return this.unexecuted < MAX_UNEXECUTED_CALLS;
    }
    this.runs += 1;
    if (this.answer.hasBegun && this.lastEventId === undefined) return false;
    return isRetryable(route) && this.runs < route.attempts;
  }

  private recordFailedCall(server: BackendServer, end: CallEnd): void {
    const {log} = this.parts;
    log.record(ServingEvent.REQUEST_ATTEMPT_FAILED, {
      requestId: this.request.requestId,
      workspace: this.plan.workspace?.name,
      peer: server.id,
      outcome: end.outcome,
      reason: end.reason,
      lastEventId: this.lastEventId,
    });
    if (this.stop.signal.aborted || end.outcome !== CallOutcome.BROKEN) return;
    void this.recordCrash(server);
  }

  /** Notes a server that broke off and is down; one that lost an answer still accepts connections. */
  private async recordCrash(server: BackendServer): Promise<void> {
    const {log, crashes, servers} = this.parts;
    if (await servers.probe(server)) return;
    if (!crashes.record(this.describeSubject(), server.id)) return;
    log.record(ServingEvent.REQUEST_QUARANTINED, {
      requestId: this.request.requestId,
      workspace: this.plan.workspace?.name,
      peer: server.id,
    });
  }

  private describeSubject(): RequestIdentity {
    return {
      workspace: this.plan.workspace?.name,
      path: this.request.target,
      body: this.request.body,
    };
  }

  private describeClass(): RequestClass {
    return {kind: this.plan.route.kind, priority: this.plan.priority};
  }

  private finishAnswered(server: BackendServer): void {
    const {clock, log, metrics} = this.parts;
    const totalMs = clock.now() - this.request.arrivedMs;
    const firstByteMs = this.firstByteMs ?? totalMs;
    this.parts.crashes.recordSuccess(this.describeSubject());
    const isLate = firstByteMs > this.plan.route.targetLatencyMs;
    metrics.recordAnswer({
      ...this.describeClass(),
      isLate,
      isOtherZone: server.zone !== this.parts.zone,
      firstByteMs,
      totalMs,
    });
    log.record(ServingEvent.REQUEST_ANSWERED, {
      requestId: this.request.requestId,
      workspace: this.plan.workspace?.name,
      route: this.plan.route.name,
      peer: server.id,
      calls: this.tried.length,
      placedBy: this.placedBy,
      waitedMs: this.waitedMs,
      environmentVersion: this.plan.environmentVersion,
      firstByteMs: Math.round(firstByteMs),
      totalMs: Math.round(totalMs),
      isLate,
    });
  }

  private finishUnplaced(reason: string, retryAfterMs: number): void {
    const code = this.runs > 0 ? RefusalCode.BROKEN : RefusalCode.NOT_RUN;
    this.finish({code, message: reason, retryAfterMs});
  }

  private finishFailed(reason: string): void {
    if (this.runs > 0) {
      this.finish({code: RefusalCode.BROKEN, message: reason});
      return;
    }
    this.finish({
      code: RefusalCode.NOT_RUN,
      message: reason,
      retryAfterMs: SHED_RETRY_MS,
    });
  }

  private finishStopped(): void {
    if (this.request.signal.aborted) {
      this.parts.metrics.recordRefusal('caller_left', this.describeClass());
      this.parts.log.record(ServingEvent.REQUEST_ABANDONED, {
        requestId: this.request.requestId,
        calls: this.tried.length,
        lastEventId: this.lastEventId,
      });
      this.answer.abort();
      return;
    }
    // A call that was stopped may have run, so nothing is promised.
    const hasSent = this.tried.length > this.unexecuted;
    this.finish({
      code: hasSent ? RefusalCode.TIMED_OUT : RefusalCode.NOT_RUN,
      message: 'the time of the request is over',
    });
  }

  private finish(refusal: Refusal): void {
    const isRefusal = refusal.code === RefusalCode.NOT_RUN;
    this.parts.metrics.recordRefusal(refusal.code, this.describeClass());
    this.parts.log.record(
      isRefusal ? ServingEvent.REQUEST_REFUSED : ServingEvent.REQUEST_FAILED,
      {
        requestId: this.request.requestId,
        workspace: this.plan.workspace?.name,
        route: this.plan.route.name,
        code: refusal.code,
        reason: refusal.message,
        retryAfterMs: refusal.retryAfterMs,
        calls: this.tried.length,
        placedBy: this.placedBy,
        waitedMs: this.waitedMs,
        lastEventId: this.lastEventId,
        heldMs: Math.round(this.parts.clock.now() - this.request.arrivedMs),
        environmentVersion: this.plan.environmentVersion,
      },
    );
    if (this.answer.hasBegun) this.answer.abort();
    else if (this.failedReply && !isRefusal) this.answerFailed();
    else this.answer.refuse(refusal);
  }

  private answerFailed(): void {
    if (!this.failedReply) return;
    this.answer.begin(this.failedReply.head);
    void this.answer.write(this.failedReply.body);
    this.answer.end();
  }
}

/** Outcomes after which a request certainly did not run. */
const NOT_RUN_OUTCOMES = new Set([
  CallOutcome.NOT_EXECUTED,
  CallOutcome.WRONG_SERVER,
  CallOutcome.UNREACHABLE,
]);
