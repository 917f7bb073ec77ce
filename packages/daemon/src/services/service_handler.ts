/**
 * Routes to plain services. Idempotent calls may be repeated on another server;
 * all others are sent at most once.
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
import {getPlacementEnd, isRetryable} from '../online/attempt_end.js';
import {computeFingerprint} from '../online/model_request.js';
import type {OnlineObserver} from '../online/observer.js';
import {convertFailure, refuseUnconfigured} from '../http/failure_refusal.js';
import type {RetryLimiter} from '../online/online_handler.js';
import {
  convertLookup,
  encodeAnswer,
  refusePending,
  refuseWithoutTable,
} from './intent_answers.js';
import type {IntentKey, IntentStore, RecordedIntent} from './intent_store.js';
import {
  findWorkspace,
  getIntentKey,
  refuseUnknownPath,
  type ServiceExchange,
  type ServiceTarget,
} from './service_exchange.js';

/** What the handler works with. */
export interface ServiceContext {
  settings: Settings;
  clock: Clock;
  environment: EnvironmentSource;
  limiter: RateLimiter;
  placer: SlotAllocator;
  service: ServiceClient;
  intents: IntentStore;
  retries: RetryLimiter;
  observer: OnlineObserver;
}

/** Attempts of an idempotent call. */
const MAX_ATTEMPTS = 3;

/** Answers calls to plain services. */
export class ServiceHandler {
  /**
   * @param context - collaborators
   */
  constructor(private readonly context: ServiceContext) {}

  /** Answers one call; NOT_FOUND when no route has its path. */
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
    // The key may have been withdrawn while the body was read.
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

  /** Finds route and workspace in the configuration in force. */
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
      const known = await this.findKnown(intentKey, exchange.record);
      if (known) return known;
    }
    const refusal = await admitOnline(
      this.context,
      exchange.workspace.name,
      exchange.request.signal,
    );
    if (refusal) return err(refusal);
    if (intentKey) return this.runKeyed(exchange, intentKey);
    const attempts = exchange.route.idempotent ? MAX_ATTEMPTS : 1;
    const answer = await this.runAttempts(exchange, attempts);
    return answer.mapErr(convertFailure);
  }

  /** Answers a resend from what is recorded; undefined when nothing is. */
  private async findKnown(
    key: IntentKey,
    record: DispatchRecord,
  ): Promise<Result<BufferedAnswer, Refusal> | undefined> {
    const lookup = await this.context.intents.find(key);
    if (lookup.isErr()) return err(refuseWithoutTable(lookup.error));
    return convertLookup(lookup.value, record);
  }

  /**
   * Makes a call that a resend must never repeat. The place comes first and the
   * intent second, so that a call without a place leaves nothing behind.
   */
  private async runKeyed(
    exchange: ServiceExchange,
    key: IntentKey,
  ): Promise<Result<BufferedAnswer, Refusal>> {
    const placed = await this.requestPlace(exchange, 0, []);
    if (placed.isErr()) return err(convertFailure(placed.error));
    const recorded = await this.context.intents.record(key);
    if (recorded.isErr() || !recorded.value) {
      this.context.placer.release(placed.value, {end: SlotUsageEnd.NOT_SENT});
      if (recorded.isErr()) return err(refuseWithoutTable(recorded.error));
      const known = await this.findKnown(key, exchange.record);
      return known ?? err(refusePending(exchange.record));
    }
    const answer = await this.runAttempt(exchange, placed.value, 0);
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
      const placed = await this.requestPlace(
        exchange,
        attempt,
        excludedServers,
      );
      if (placed.isErr()) return err(failure ?? placed.error);
      const answer = await this.runAttempt(exchange, placed.value, attempt);
      if (answer.isOk()) return answer;
      failure = answer.error;
      const isUnsent = exchange.record.getState() === RunState.NOT_RUN;
      const isLast = attempt + 1 >= (isUnsent ? MAX_ATTEMPTS : maxAttempts);
      if (isLast || !isRetryable(failure)) return answer;
      if (!this.context.retries.trySpendRetry()) return answer;
      excludedServers.push(placed.value.server.id);
    }
  }

  private requestPlace(
    exchange: ServiceExchange,
    attempt: number,
    excludedServers: string[],
  ) {
    const {request, route, workspace, body} = exchange;
    return this.context.placer.acquire({
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
    placement: SlotGrant,
    attempt: number,
  ): Promise<Result<BufferedAnswer, SavoryspurError>> {
    const {record} = exchange;
    const stateBefore = record.getState();
    record.recordSending();
    const answer = await this.context.service.call(
      this.createCall(exchange, placement, attempt),
    );
    if (answer.isOk()) record.recordAnswer();
    else if (answer.error.code === ErrorCode.UNAVAILABLE) {
      record.resetUnsent(stateBefore);
    }
    const end = answer.isOk()
      ? SlotUsageEnd.COMPLETED
      : getPlacementEnd(answer.error);
    this.context.placer.release(placement, {end});
    return answer;
  }

  /** A call that was sent is not cut when its caller leaves. */
  private createCall(
    exchange: ServiceExchange,
    placement: SlotGrant,
    attempt: number,
  ): ServiceCall {
    const {timeouts} = this.context.settings;
    const {request, route, body} = exchange;
    return {
      serverUrl: placement.server.url,
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
