/**
 * Handles calls to plain services. Calls to an idempotent route may be retried
 * on another server; all others are sent at most once.
 */
import type {
  ServiceCall,
  ServiceClient,
  BufferedAnswer,
} from '@savoryspur/backends';
import {
  type Clock,
  ErrorCode,
  type EnvironmentSource,
  type SavoryspurError,
} from '@savoryspur/common';
import type {RateLimiter} from '@savoryspur/limits';
import {
  type SlotGrant,
  SlotUsageEnd,
  type SlotAllocator,
} from '@savoryspur/routing';
import {type Settings, TrafficClass} from '@savoryspur/schema';
import {err, ok, type Result} from 'neverthrow';
import {readBody} from '../http/body_reader.js';
import {type CallerRequest, getHeaders} from '../http/caller_request.js';
import {DispatchRecord, RunState} from '../http/dispatch_record.js';
import {refuseLeakedKey} from '../http/key_leak.js';
import {type Refusal, sendRefusal} from '../http/refusal.js';
import {admitOnline} from '../online/admission.js';
import {getSlotUsageEnd, isRetryable} from '../online/attempt_failure.js';
import {computeFingerprint} from '../online/model_request.js';
import type {OnlineObserver} from '../online/observer.js';
import {convertFailure, refuseUnconfigured} from '../http/failure_refusal.js';
import type {RetryLimiter} from '../online/online_handler.js';
import {
  answerFromLookup,
  encodeAnswer,
  refuseUnknownOutcome,
  refuseUnrecordedIntent,
} from './intent_answers.js';
import type {IntentKey, IntentStore, RecordedIntent} from './intent_store.js';
import {
  findWorkspace,
  getIntentKey,
  refuseUnknownPath,
  type ServiceExchange,
  type ServiceTarget,
} from './service_exchange.js';

/** Components that {@link ServiceHandler} uses. */
export interface ServiceContext {
  settings: Settings;
  clock: Clock;
  environment: EnvironmentSource;
  limiter: RateLimiter;
  slotAllocator: SlotAllocator;
  service: ServiceClient;
  intents: IntentStore;
  retries: RetryLimiter;
  observer: OnlineObserver;
}

/** Maximum number of attempts of an idempotent call, or of a call that was never sent. */
const MAX_ATTEMPTS = 3;

/** Answers calls to plain services. */
export class ServiceHandler {
  /**
   * @param context - components to use
   */
  constructor(private readonly context: ServiceContext) {}

  /** Handles one call. A call whose path matches no route gets NOT_FOUND. */
  async handle(request: CallerRequest): Promise<void> {
    const record = new DispatchRecord();
    const exchange = await this.buildExchange(request, record);
    if (exchange.isErr()) {
      const {response, requestId} = request;
      sendRefusal(response, requestId, exchange.error, record);
      return;
    }
    const answer = await this.answer(exchange.value);
    this.finish(exchange.value, answer);
  }

  private async buildExchange(
    request: CallerRequest,
    record: DispatchRecord,
  ): Promise<Result<ServiceExchange, Refusal>> {
    const target = this.findTarget(request);
    if (target.isErr()) return err(target.error);
    const {maxBodyBytes} = this.context.settings.limits;
    const body = await readBody(request.message, maxBodyBytes);
    if (body.isErr()) return err(body.error);
    // Authenticate again: the key may have been withdrawn while the body was read.
    const current = this.findTarget(request);
    if (current.isErr()) return err(current.error);
    const leak = refuseLeakedKey(request.message, body.value);
    if (leak) return err(leak);
    const exchange = {
      request,
      ...current.value,
      body: body.value,
      record,
    };
    return ok({...exchange, intentKey: getIntentKey(exchange)});
  }

  /** Finds the route and workspace of a call in the configuration in force. */
  private findTarget(request: CallerRequest): Result<ServiceTarget, Refusal> {
    const index = this.context.environment.getCurrent();
    if (!index) return err(refuseUnconfigured());
    const route = index.findRoute(request.path);
    if (!route) return err(refuseUnknownPath(request));
    return findWorkspace(index, route, request).map((workspace) => ({
      route,
      workspace,
    }));
  }

  private async answer(
    exchange: ServiceExchange,
  ): Promise<Result<BufferedAnswer, Refusal>> {
    const {intentKey} = exchange;
    if (intentKey) {
      const known = await this.findRecordedAnswer(intentKey, exchange.record);
      if (known) return known;
    }
    const refusal = await admitOnline(
      this.context,
      exchange.workspace.name,
      exchange.request.signal,
    );
    if (refusal) return err(refusal);
    if (intentKey) return this.runAtMostOnce(exchange, intentKey);
    const attempts = exchange.route.idempotent ? MAX_ATTEMPTS : 1;
    const answer = await this.runAttempts(exchange, attempts);
    return answer.mapErr(convertFailure);
  }

  /** Answers a resend from its recorded intent; undefined when none exists. */
  private async findRecordedAnswer(
    key: IntentKey,
    record: DispatchRecord,
  ): Promise<Result<BufferedAnswer, Refusal> | undefined> {
    const lookup = await this.context.intents.find(key);
    if (lookup.isErr()) return err(refuseUnrecordedIntent(lookup.error));
    return answerFromLookup(lookup.value, record);
  }

  /**
   * Sends a call with an idempotency key. The slot is acquired before the
   * intent is recorded, so that a call that gets no slot leaves no intent
   * behind.
   */
  private async runAtMostOnce(
    exchange: ServiceExchange,
    key: IntentKey,
  ): Promise<Result<BufferedAnswer, Refusal>> {
    const granted = await this.acquireSlot(exchange, 0, []);
    if (granted.isErr()) return err(convertFailure(granted.error));
    const recorded = await this.context.intents.record(key);
    if (recorded.isErr() || !recorded.value) {
      this.context.slotAllocator.release(granted.value, {
        end: SlotUsageEnd.NOT_SENT,
      });
      if (recorded.isErr()) return err(refuseUnrecordedIntent(recorded.error));
      const known = await this.findRecordedAnswer(key, exchange.record);
      return known ?? err(refuseUnknownOutcome(exchange.record));
    }
    const answer = await this.runAttempt(exchange, granted.value, 0);
    await this.storeOutcome(exchange, recorded.value, answer);
    return answer.mapErr(convertFailure);
  }

  private async storeOutcome(
    exchange: ServiceExchange,
    recorded: RecordedIntent,
    answer: Result<BufferedAnswer, SavoryspurError>,
  ): Promise<void> {
    if (answer.isOk()) {
      await this.context.intents.finish(recorded, encodeAnswer(answer.value));
      return;
    }
    if (exchange.record.getState() === RunState.NOT_RUN) {
      await this.context.intents.remove(recorded);
    }
  }

  private async runAttempts(
    exchange: ServiceExchange,
    maxAttempts: number,
  ): Promise<Result<BufferedAnswer, SavoryspurError>> {
    const excludedServers: string[] = [];
    this.context.retries.recordFirstAttempt();
    let failure: SavoryspurError | undefined;
    for (let attempt = 0; ; attempt++) {
      const granted = await this.acquireSlot(
        exchange,
        attempt,
        excludedServers,
      );
      if (granted.isErr()) return err(failure ?? granted.error);
      const answer = await this.runAttempt(exchange, granted.value, attempt);
      if (answer.isOk()) return answer;
      failure = answer.error;
      const isUnsent = exchange.record.getState() === RunState.NOT_RUN;
      const isLast = attempt + 1 >= (isUnsent ? MAX_ATTEMPTS : maxAttempts);
      if (isLast || !isRetryable(failure)) return answer;
      if (!this.context.retries.trySpendRetry()) return answer;
      excludedServers.push(granted.value.server.id);
    }
  }

  private acquireSlot(
    exchange: ServiceExchange,
    attempt: number,
    excludedServers: string[],
  ) {
    const {request, route, workspace, body} = exchange;
    return this.context.slotAllocator.acquire({
      requestId: `${request.requestId}.${attempt}`,
      pool: route.pool,
      workspace: workspace.name,
      trafficClass: TrafficClass.ONLINE,
      prefixHash: '',
      fingerprint: computeFingerprint(workspace.name, request.target, body),
      maxWaitMs: this.context.settings.timeouts.queueMs,
      excludedServers,
      signal: request.signal,
    });
  }

  private async runAttempt(
    exchange: ServiceExchange,
    grant: SlotGrant,
    attempt: number,
  ): Promise<Result<BufferedAnswer, SavoryspurError>> {
    const {record} = exchange;
    const stateBefore = record.getState();
    record.recordSending();
    const answer = await this.context.service.call(
      this.createCall(exchange, grant, attempt),
    );
    if (answer.isOk()) record.recordAnswer();
    else if (answer.error.code === ErrorCode.UNAVAILABLE) {
      record.recordNotSent(stateBefore);
    }
    const end = answer.isOk()
      ? SlotUsageEnd.COMPLETED
      : getSlotUsageEnd(answer.error);
    this.context.slotAllocator.release(grant, {end});
    return answer;
  }

  /**
   * Creates the call to a backend server. Calls to a route that is not
   * idempotent run to their end even when the caller disconnects.
   */
  private createCall(
    exchange: ServiceExchange,
    grant: SlotGrant,
    attempt: number,
  ): ServiceCall {
    const {timeouts} = this.context.settings;
    const {request, route, body} = exchange;
    return {
      serverUrl: grant.server.url,
      method: request.method,
      path: request.target,
      headers: getHeaders(request.message),
      body,
      requestId: `${request.requestId}.${attempt}`,
      signal: route.idempotent ? request.signal : new AbortController().signal,
      timeouts: {
        connectTimeoutMs: timeouts.connectMs,
        firstByteTimeoutMs: timeouts.firstByteMs,
        idleTimeoutMs: timeouts.betweenBytesMs,
      },
    };
  }

  private finish(
    exchange: ServiceExchange,
    answer: Result<BufferedAnswer, Refusal>,
  ): void {
    const {request, record, workspace, route} = exchange;
    const totalMs = this.context.clock.now() - request.arrivedMs;
    this.context.observer.record({
      workspace: workspace.name,
      route: route.path,
      code: answer.isErr() ? answer.error.code : undefined,
      firstTokenMs: answer.isOk() ? totalMs : undefined,
      totalMs,
    });
    if (answer.isErr()) {
      sendRefusal(request.response, request.requestId, answer.error, record);
      return;
    }
    request.response.writeHead(answer.value.statusCode, {
      'content-type': answer.value.contentType,
      'content-length': String(answer.value.body.length),
      'x-request-id': request.requestId,
      'x-savoryspur-run': record.getState(),
    });
    request.response.end(answer.value.body);
  }
}
