/** Runs one admitted online request: acquires slots, calls servers and sends the answer. */
import {ServingEvent} from '@savoryspur/common';
import {CallOutcome, type StreamOrigin} from '@savoryspur/schema';
import type {BackendServer} from '../service_registry.js';
import {isRetryable, RouteKind} from '../environment.js';
import {CallTimer} from '../slots/call_times.js';
import {OtherServerSearch} from '../slots/other_server_search.js';
import type {SlotRequest, SlotResult} from '../slots/slot_allocator.js';
import type {RequestClass} from '../serving_metrics.js';
import {
  ANSWERED,
  type CallResult,
  FIRST_SERVER_ERROR_STATUS,
  isSuccessStatus,
  type ServerErrorAnswer,
} from './call_result.js';
import {createSlotRequest} from './create_slot_request.js';
import {DeadlineTimer} from './deadline_timer.js';
import {MAX_EVENTS_BEFORE_CRASH, recordCrash} from './record_crash.js';
import type {RequestIdentity} from './request_quarantine.js';
import {findOrderError, isComment, type RawEvent} from './event_splitter.js';
import type {OnlineHandlerOptions, OnlinePlan} from './online_handler.js';
import {readEvents} from './read_events.js';
import {createAnswerMemory, readWhole, type WholeAnswer} from './read_whole.js';
import {SlotWait} from './slot_wait.js';
import {
  type AnswerWriter,
  BrokenBodyError,
  DAEMON_STOPS,
  type OnlineRequest,
  QUARANTINE_REFUSAL,
  type Refusal,
  RefusalCode,
  type ServerReply,
  UNEXECUTED_OUTCOMES,
} from './online_types.js';

/** Time for the answer to reach the caller, milliseconds; the request ends earlier than its deadline by this time. */
const ANSWER_TRANSIT_MS = 5;

/** Maximum size of the comments before the first event of a stream, bytes. */
const MAX_HELD_BACK_BYTES = 64 * 1024;

/** Retry-After of a request that no called server executed, milliseconds. */
const NOT_RUN_RETRY_AFTER_MS = 250;

/** Runs one request until its caller has been sent the one answer. */
export class OnlineExchange {
  /** When the request ends at the latest, monotonic milliseconds. */
  private readonly deadlineMs: number;
  private readonly stop = new AbortController();
  private readonly triedServerIds: string[] = [];
  private readonly otherServer: OtherServerSearch;
  private readonly slotWait: SlotWait;
  private readonly identity: RequestIdentity;
  /** Number of failed calls that a server may have executed; they count as attempts of the route. */
  private executedCalls = 0;
  /** Daemon that granted the last slot. */
  private grantedBy: string | undefined;
  /** Time from the arrival of the request to the grant of the last slot, milliseconds. */
  private slotWaitMs: number | undefined;
  /** Id of the last event that was passed on to the caller. */
  private lastEventId: number | undefined;
  /** Servers that began the stream, the only ones that may continue it; undefined before its first event. */
  private origin: StreamOrigin | undefined;
  /** Whether this exchange has recorded the origin. */
  private isOriginRecorded = false;
  /** When the latest call to a server began, monotonic milliseconds. */
  private callStartMs = 0;
  /** Times of the latest call. */
  private callTimer: CallTimer;
  /** When the last event was received, monotonic milliseconds. */
  private lastEventMs = 0;
  /** Number of events that the latest call has received. */
  private callEvents = 0;
  /** Whether the event after the last one was received in part. */
  private isEventCutShort = false;
  /** Time from the arrival of the request to the head of the first answer, milliseconds. */
  private firstByteMs: number | undefined;
  /** Last server error; it is passed on when no retry gives a better answer. */
  private serverErrorAnswer: ServerErrorAnswer | undefined;

  /**
   * @param options - components that the exchange uses
   * @param request - the request
   * @param answer - writes the answer to the caller
   * @param plan - route, workspace and service of the request
   */
  constructor(
    private readonly options: OnlineHandlerOptions,
    private readonly request: OnlineRequest,
    private readonly answer: AnswerWriter,
    private readonly plan: OnlinePlan,
  ) {
    this.deadlineMs = Math.min(
      request.deadlineMs - ANSWER_TRANSIT_MS,
      request.arrivedMs + plan.route.timeoutMs,
    );
    this.slotWait = new SlotWait(options, plan, request, this.deadlineMs);
    this.callTimer = new CallTimer(plan.route.name, options.clock);
    const {target: path, body} = request;
    this.identity = {workspace: plan.workspace?.name, path, body};
    this.lastEventId = request.resumeAfter;
    this.origin = plan.origin;
    this.otherServer = new OtherServerSearch({
      ...options,
      createRequest: () => this.createSlotRequest(this.deadlineMs),
    });
  }

  /** Runs the request until it is answered, its caller disconnects or its deadline passes. */
  async run(): Promise<void> {
    const {clock} = this.options;
    const abort = (): void => this.stop.abort();
    this.request.signal.addEventListener('abort', abort, {once: true});
    if (this.request.signal.aborted) abort();
    const timer = new DeadlineTimer(clock, this.deadlineMs, abort);
    try {
      await this.runCalls();
    } finally {
      timer.cancel();
      this.otherServer.close();
      this.request.signal.removeEventListener('abort', abort);
    }
  }

  private async runCalls(): Promise<void> {
    while (!this.stop.signal.aborted) {
      const slot = this.otherServer.takeSlot() ?? (await this.acquireSlot());
      if (this.stop.signal.aborted) {
        if (slot.kind === 'placed') {
          slot.release(CallOutcome.ABANDONED);
        }
        break;
      }
      if (slot.kind === 'refused') {
        if (await this.slotWait.pause(this.answer, this.stop.signal)) continue;
        return this.finishWithoutSlot(slot.reason, slot.retryAfterMs);
      }
      // A stream that has begun shows that the request crashes no servers.
      if (!this.answer.hasBegun && this.isQuarantined()) {
        slot.release(CallOutcome.ABANDONED);
        return this.finishQuarantined();
      }
      const result = await this.callServer(slot);
      slot.release(result.outcome, this.callTimer.getTimes());
      if (result.isFinal) return this.finishAnswered(slot.server, result);
      this.recordFailedCall(slot.server, result);
      if (this.stop.signal.aborted) break;
      if (!this.isAnotherCallAllowed(result.outcome))
        return this.finishWithoutAnswer(result.reason);
    }
    this.finishAborted();
  }

  private acquireSlot(): Promise<SlotResult> {
    return this.options.slotAllocator.acquire(
      this.createSlotRequest(this.slotWait.computeEndMs()),
      this.stop.signal,
    );
  }

  private createSlotRequest(waitDeadlineMs: number): SlotRequest {
    return createSlotRequest(this.plan, this.request, {
      waitDeadlineMs,
      answerDeadlineMs: this.deadlineMs,
      excluded: this.triedServerIds,
      softwareVersion: this.origin?.softwareVersion,
    });
  }

  private async callServer(
    slot: SlotResult & {kind: 'placed'},
  ): Promise<CallResult> {
    const {clock, servers, registry} = this.options;
    const {request, plan} = this;
    const startMs = clock.now();
    this.callStartMs = startMs;
    this.callTimer = new CallTimer(plan.route.name, clock);
    this.callEvents = 0;
    const service = registry.getEnvironment()?.findService(plan.service);
    const isOnNewConnection =
      this.otherServer.isGivenUp(slot.server.id) ||
      (!isRetryable(plan.route) &&
        this.triedServerIds.includes(slot.server.id));
    this.triedServerIds.push(slot.server.id);
    this.grantedBy = slot.grantedBy;
    this.slotWaitMs = Math.round(startMs - request.arrivedMs);
    this.options.log.record(ServingEvent.SLOT_GRANTED, {
      requestId: request.requestId,
      workspace: plan.workspace?.name,
      serverId: slot.server.id,
      softwareVersion: slot.server.softwareVersion,
      placedBy: slot.grantedBy,
      waitedMs: this.slotWaitMs,
      environmentVersion: plan.environmentVersion,
    });
    this.recordResumption(slot.server);
    const reply = await this.otherServer.call(
      servers,
      {
        server: slot.server,
        requestId: request.requestId,
        method: request.method,
        host: request.host,
        target: request.target,
        headers: request.headers,
        body: request.body,
        workspace: plan.workspace?.name,
        deadlineInMs: Math.max(1, Math.floor(this.deadlineMs - startMs)),
        resumeAfter: this.lastEventId,
        maxConnections: service?.maxConnections ?? plan.maxConnections,
        isOnNewConnection,
        connectUntilMs: this.slotWait.unexecuted.connectUntilMs,
        signal: this.stop.signal,
      },
      this.options.overdueTimes.computeFirstEventMs(
        plan.route,
        this.slotWait.describeCallerTime(this.executedCalls),
      ),
    );
    if (reply.kind === 'failure') return {...reply, isFinal: false};
    this.firstByteMs ??= clock.now() - request.arrivedMs;
    return this.handleReply(reply, slot.server);
  }

  private recordResumption(server: BackendServer): void {
    if (!this.answer.hasBegun) return;
    this.options.log.record(ServingEvent.STREAM_RESUMED, {
      requestId: this.request.requestId,
      workspace: this.plan.workspace?.name,
      peer: server.id,
      softwareVersion: server.softwareVersion,
      lastEventId: this.lastEventId,
    });
  }

  private async handleReply(
    reply: ServerReply,
    server: BackendServer,
  ): Promise<CallResult> {
    const {statusCode} = reply.head;
    const isSuccess = isSuccessStatus(statusCode);
    if (isSuccess && !reply.isSigned) {
      return this.dropReply(
        reply,
        'the successful answer has no server signature',
      );
    }
    try {
      const isStream = this.plan.route.kind === RouteKind.STREAMING;
      if (isSuccess && isStream) return await this.forwardStream(reply, server);
      return await this.forwardWhole(reply);
    } catch (thrown) {
      if (thrown instanceof BrokenBodyError) {
        this.isEventCutShort ||= thrown.isInsideEvent;
        return {
          outcome: thrown.outcome,
          reason: thrown.message,
          isFinal: false,
        };
      }
      throw thrown;
    }
  }

  /** Buffers an answer and passes it on once it is complete. */
  private async forwardWhole(reply: ServerReply): Promise<CallResult> {
    this.callTimer.recordHead();
    const whole = await readWhole(reply, this.options);
    if (typeof whole === 'string') return this.dropReply(reply, whole);
    const {body, memory} = whole;
    const {statusCode} = reply.head;
    if (statusCode >= FIRST_SERVER_ERROR_STATUS) {
      const reason = `the server answered with status ${statusCode}`;
      const failure = {outcome: CallOutcome.FAILED, reason};
      const canRetry =
        isRetryable(this.plan.route) &&
        this.executedCalls + 1 < this.plan.route.attempts &&
        !this.stop.signal.aborted;
      if (canRetry || this.answer.hasBegun) {
        this.answer.subscribeToClose(() => memory.release());
        this.serverErrorAnswer = {head: reply.head, body};
        return {...failure, isFinal: false};
      }
      this.sendAnswer(reply, whole);
      return {...failure, isFinal: true};
    }
    if (this.answer.hasBegun) {
      memory.release();
      return this.dropReply(
        reply,
        `the server answered a resumed stream with status ${statusCode}`,
      );
    }
    this.sendAnswer(reply, whole);
    return {...ANSWERED, isSuccess: isSuccessStatus(statusCode)};
  }

  private sendAnswer(reply: ServerReply, {body, memory}: WholeAnswer): void {
    const {memory: budget, clock} = this.options;
    budget.unreadAnswers.add(this.answer, memory, clock.now());
    this.answer.begin(reply.head);
    void this.answer.write(body);
    this.answer.end();
  }

  /**
   * Passes complete events on as they arrive. The status and headers are sent with
   * the first event, so that a failure before it can still be retried or refused;
   * comments before it are held back until then.
   */
  private async forwardStream(
    reply: ServerReply,
    server: BackendServer,
  ): Promise<CallResult> {
    const heldBack: Buffer[] = [];
    let heldBackBytes = 0;
    for await (const event of readEvents(
      reply,
      this.options.overdueTimes.computePauseMs(
        this.plan.route,
        this.slotWait.describeCallerTime(this.executedCalls),
      ),
      this.options.clock,
      this.isEmptyRestComplete(reply),
      createAnswerMemory(this.options.memory),
      this.otherServer,
    )) {
      if (!isComment(event)) {
        this.recordEvent(reply, event);
        this.callTimer.recordEvent();
        this.recordOrigin(server);
      }
      heldBack.push(event.bytes);
      if (!this.answer.hasBegun) {
        heldBackBytes += event.bytes.length;
        if (isComment(event) && heldBackBytes > MAX_HELD_BACK_BYTES) {
          return this.dropReply(reply, 'too much precedes the first event');
        }
        if (isComment(event)) continue;
        this.answer.begin(reply.head);
      }
      await this.callTimer.waitForReader(
        this.answer.write(Buffer.concat(heldBack.splice(0))),
      );
    }
    if (!this.answer.hasBegun) this.answer.begin(reply.head);
    void this.answer.write(Buffer.concat(heldBack));
    this.answer.end();
    this.options.streamOrigins.recordEnd(this.getFirstAttemptId());
    return ANSWERED;
  }

  /** Gets the id of the attempt that brought the first event of the stream. */
  private getFirstAttemptId(): string {
    const {requestId, resumeAfter, firstAttemptId} = this.request;
    if (resumeAfter === undefined) return requestId;
    return firstAttemptId ?? requestId;
  }

  private recordOrigin({service, softwareVersion}: BackendServer): void {
    this.origin ??= {service, softwareVersion};
    if (this.isOriginRecorded || !this.plan.route.isResumable) return;
    this.isOriginRecorded = true;
    this.options.streamOrigins.record(
      this.getFirstAttemptId(),
      this.origin,
      this.request.deadlineMs,
    );
  }

  /** Whether a stream without an event is complete: its caller has all events, and the server says that there are no more. */
  private isEmptyRestComplete(reply: ServerReply): boolean {
    return (
      this.lastEventId !== undefined &&
      !this.isEventCutShort &&
      reply.isDelimited
    );
  }

  private recordEvent(reply: ServerReply, event: RawEvent): void {
    const orderError = findOrderError(event, this.lastEventId);
    if (orderError !== undefined) {
      reply.drop();
      throw new BrokenBodyError(CallOutcome.BROKEN, orderError, true);
    }
    this.lastEventId = event.id;
    this.lastEventMs = this.options.clock.now();
    this.isEventCutShort = false;
    this.callEvents += 1;
    if (this.callEvents === MAX_EVENTS_BEFORE_CRASH + 1) {
      this.options.promptQuarantine.recordSound(this.request.prefix);
    }
  }

  /** Discards an unusable answer together with its connection. */
  private dropReply(reply: ServerReply, reason: string): CallResult {
    reply.drop();
    return {outcome: CallOutcome.BROKEN, reason, isFinal: false};
  }

  /** Counts a failed call and decides whether another server may be called. */
  private isAnotherCallAllowed(outcome: CallOutcome): boolean {
    const {route} = this.plan;
    if (UNEXECUTED_OUTCOMES.has(outcome)) {
      return this.slotWait.recordUnexecuted(outcome, this.answer);
    }
    this.executedCalls += 1;
    this.slotWait.unexecuted.recordExecuted();
    // A stream that has begun without event ids cannot be resumed.
    if (this.answer.hasBegun && this.lastEventId === undefined) return false;
    return isRetryable(route) && this.executedCalls < route.attempts;
  }

  private recordFailedCall(server: BackendServer, result: CallResult): void {
    const {log} = this.options;
    if (this.callEvents > 0) this.slotWait.start(this.lastEventMs);
    log.record(ServingEvent.REQUEST_ATTEMPT_FAILED, {
      requestId: this.request.requestId,
      workspace: this.plan.workspace?.name,
      peer: server.id,
      outcome: result.outcome,
      reason: result.reason,
      lastEventId: this.lastEventId,
    });
    if (this.stop.signal.aborted || result.outcome !== CallOutcome.BROKEN)
      return;
    void recordCrash(this.options, this.request, this.identity, {
      server,
      startMs: this.callStartMs,
      events: this.callEvents,
    });
  }

  /** Whether the request was quarantined after it arrived. */
  private isQuarantined(): boolean {
    const {quarantine, promptQuarantine} = this.options;
    return (
      promptQuarantine.isQuarantined(this.request.prefix) ||
      quarantine.isQuarantined(this.identity)
    );
  }

  private describeRequestClass(): RequestClass {
    return {kind: this.plan.route.kind, priority: this.plan.priority};
  }

  private finishAnswered(server: BackendServer, result: CallResult): void {
    const {clock, log, metrics} = this.options;
    const totalMs = clock.now() - this.request.arrivedMs;
    const firstByteMs = this.firstByteMs ?? totalMs;
    if (result.isSuccess) {
      this.options.quarantine.recordSuccess(this.identity);
      this.options.promptQuarantine.recordSound(this.request.prefix);
      this.options.overdueTimes.record(
        this.plan.route,
        this.callTimer.getSilences(),
      );
    }
    const isLate = firstByteMs > this.plan.route.targetLatencyMs;
    metrics.recordAnswer({
      ...this.describeRequestClass(),
      isLate,
      isOtherZone: server.zone !== this.options.zone,
      firstByteMs,
      totalMs,
    });
    log.record(ServingEvent.REQUEST_ANSWERED, {
      requestId: this.request.requestId,
      workspace: this.plan.workspace?.name,
      route: this.plan.route.name,
      peer: server.id,
      calls: this.triedServerIds.length,
      placedBy: this.grantedBy,
      waitedMs: this.slotWaitMs,
      environmentVersion: this.plan.environmentVersion,
      firstByteMs: Math.round(firstByteMs),
      totalMs: Math.round(totalMs),
      isLate,
    });
  }

  private finishWithoutSlot(reason: string, retryAfterMs: number): void {
    const code =
      this.executedCalls > 0 ? RefusalCode.BROKEN : RefusalCode.NOT_RUN;
    this.finish({code, message: reason, retryAfterMs});
  }

  private finishQuarantined(): void {
    if (this.executedCalls === 0) return this.finish(QUARANTINE_REFUSAL);
    const {message} = QUARANTINE_REFUSAL;
    this.finish({code: RefusalCode.BROKEN, message});
  }

  private finishWithoutAnswer(reason: string): void {
    if (this.executedCalls > 0) {
      this.finish({code: RefusalCode.BROKEN, message: reason});
      return;
    }
    this.finish({
      code: RefusalCode.NOT_RUN,
      message: reason,
      retryAfterMs: NOT_RUN_RETRY_AFTER_MS,
    });
  }

  private finishAborted(): void {
    const {signal} = this.request;
    const isStopping = signal.reason === DAEMON_STOPS;
    if (signal.aborted && !isStopping) {
      this.options.metrics.recordRefusal(
        'caller_left',
        this.describeRequestClass(),
      );
      this.options.log.record(ServingEvent.REQUEST_ABANDONED, {
        requestId: this.request.requestId,
        calls: this.triedServerIds.length,
        lastEventId: this.lastEventId,
      });
      this.answer.abort();
      return;
    }
    // A call that was aborted may have been executed, so the caller is not told
    // that the request did not run.
    const mayHaveRun =
      this.triedServerIds.length > this.slotWait.unexecuted.count;
    this.finish({
      code: mayHaveRun ? RefusalCode.TIMED_OUT : RefusalCode.NOT_RUN,
      message: isStopping
        ? 'this daemon stops'
        : 'the deadline of the request has passed',
    });
  }

  /**
   * Ends the request without a success: aborts an answer that has begun, passes a
   * server error on if there is one and the request ran, or sends the refusal.
   */
  private finish(refusal: Refusal): void {
    const isRefusal =
      refusal.code === RefusalCode.NOT_RUN ||
      refusal.code === RefusalCode.QUARANTINED;
    this.options.metrics.recordRefusal(
      refusal.code,
      this.describeRequestClass(),
    );
    this.options.log.record(
      isRefusal ? ServingEvent.REQUEST_REFUSED : ServingEvent.REQUEST_FAILED,
      {
        requestId: this.request.requestId,
        workspace: this.plan.workspace?.name,
        route: this.plan.route.name,
        code: refusal.code,
        reason: refusal.message,
        retryAfterMs: refusal.retryAfterMs,
        calls: this.triedServerIds.length,
        placedBy: this.grantedBy,
        waitedMs: this.slotWaitMs,
        lastEventId: this.lastEventId,
        heldMs: Math.round(this.options.clock.now() - this.request.arrivedMs),
        environmentVersion: this.plan.environmentVersion,
      },
    );
    if (this.answer.hasBegun) this.answer.abort();
    else if (this.serverErrorAnswer && !isRefusal)
      this.sendServerError(this.serverErrorAnswer);
    else this.answer.refuse(refusal);
  }

  private sendServerError({head, body}: ServerErrorAnswer): void {
    this.answer.begin(head);
    void this.answer.write(body);
    this.answer.end();
  }
}
