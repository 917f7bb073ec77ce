/** Handles online requests for models. */
import type {EngineCall, EngineClient} from '@savoryspur/backends';
import type {SavoryspurError} from '@savoryspur/common';
import {
  type Clock,
  ErrorCode,
  type EnvironmentSource,
  toSavoryspurError,
} from '@savoryspur/common';
import type {RateLimiter} from '@savoryspur/limits';
import {
  type SlotGrant,
  SlotUsageEnd,
  type SlotAllocator,
} from '@savoryspur/routing';
import {type Settings, TrafficClass} from '@savoryspur/schema';
import {authenticateCaller, type Caller} from '../http/authentication.js';
import {parseJsonObject, readBody} from '../http/body_reader.js';
import type {CallerRequest} from '../http/caller_request.js';
import {DispatchRecord} from '../http/dispatch_record.js';
import {refuseLeakedKey} from '../http/key_leak.js';
import {convertFailure, refuseUnconfigured} from '../http/failure_refusal.js';
import {type Refusal, sendRefusal} from '../http/refusal.js';
import {type AdmissionRefusal, admitOnline} from './admission.js';
import {
  endBrokenStream,
  forwardStream,
  forwardBuffered,
} from './answer_forwarder.js';
import {getSlotUsageEnd, isRetryable} from './attempt_failure.js';
import type {KeyRevocationWatcher} from './key_revocation_watcher.js';
import {type ModelRequest, parseModelRequest} from './model_request.js';
import type {OnlineObserver} from './observer.js';
import {TokenTimer} from './token_timer.js';

/** Limits the retries on this host in proportion to first attempts. */
export interface RetryLimiter {
  /**
   * Records a first attempt, which adds a fraction of a retry to the budget.
   */
  recordFirstAttempt(): void;
  /** Spends one retry of the budget; false when the budget has none left. */
  trySpendRetry(): boolean;
}

/** Components that {@link OnlineHandler} uses. */
export interface OnlineContext {
  settings: Settings;
  clock: Clock;
  environment: EnvironmentSource;
  limiter: RateLimiter;
  slotAllocator: SlotAllocator;
  engine: EngineClient;
  retries: RetryLimiter;
  observer: OnlineObserver;
  keyRevocations: KeyRevocationWatcher;
}

/** Maximum number of attempts at one request, each on a different server. */
const MAX_ATTEMPTS = 3;

/** State of an admitted request. */
interface OnlineExchange {
  request: CallerRequest;
  caller: Caller;
  model: ModelRequest;
  record: DispatchRecord;
  tokenTimer: TokenTimer;
  /** Aborts when the caller disconnects or its key is withdrawn. */
  signal: AbortSignal;
}

/** Answers `/v1/chat/completions` and `/v1/completions`. */
export class OnlineHandler {
  /**
   * @param context - components to use
   */
  constructor(private readonly context: OnlineContext) {}

  /** Handles one request, up to the end of its answer. */
  async handle(request: CallerRequest): Promise<void> {
    const record = new DispatchRecord();
    const exchange = await this.buildExchange(request, record);
    if (isRefusal(exchange)) {
      sendRefusal(request.response, request.requestId, exchange, record);
      return;
    }
    const watch = this.context.keyRevocations.watch(exchange.caller.key.hash);
    exchange.signal = AbortSignal.any([request.signal, watch.signal]);
    try {
      const withdrawn = this.checkKeyStillActive(request);
      if (withdrawn) {
        sendRefusal(request.response, request.requestId, withdrawn, record);
        return;
      }
      const failure = await this.runAttempts(exchange);
      this.finish(exchange, failure);
    } finally {
      watch.stop();
    }
  }

  /**
   * Refuses a request whose key was withdrawn after it was first checked, while
   * the body was read or the request waited for admission.
   */
  private checkKeyStillActive(request: CallerRequest): Refusal | undefined {
    const index = this.context.environment.getCurrent();
    if (!index) return refuseUnconfigured();
    const caller = authenticateCaller(index, request.message);
    return caller.isErr() ? caller.error : undefined;
  }

  private async buildExchange(
    request: CallerRequest,
    record: DispatchRecord,
  ): Promise<OnlineExchange | Refusal> {
    const {settings, environment, clock} = this.context;
    const index = environment.getCurrent();
    if (!index) return refuseUnconfigured();
    const caller = authenticateCaller(index, request.message);
    if (caller.isErr()) return caller.error;
    const body = await readBody(request.message, settings.limits.maxBodyBytes);
    if (body.isErr()) return body.error;
    const leak = refuseLeakedKey(request.message, body.value);
    if (leak) return leak;
    const json = parseJsonObject(body.value);
    if (json.isErr()) return json.error;
    const workspace = caller.value.workspace.name;
    const model = parseModelRequest(index, workspace, request.path, json.value);
    if (model.isErr()) return model.error;
    const refusal = await admitOnline(this.context, workspace, request.signal);
    if (refusal) {
      this.recordRefusal(request, workspace, model.value, refusal);
      return refusal;
    }
    return {
      request,
      caller: caller.value,
      model: model.value,
      record,
      tokenTimer: new TokenTimer(clock, request.arrivedMs),
      signal: request.signal,
    };
  }

  private recordRefusal(
    request: CallerRequest,
    workspace: string,
    model: ModelRequest,
    refusal: AdmissionRefusal,
  ): void {
    this.context.observer.record({
      workspace,
      route: model.model.name,
      code: refusal.code,
      isWithinRate: refusal.isWithinRate,
      totalMs: this.context.clock.now() - request.arrivedMs,
    });
  }

  private async runAttempts(
    exchange: OnlineExchange,
  ): Promise<SavoryspurError | undefined> {
    const excludedServers: string[] = [];
    this.context.retries.recordFirstAttempt();
    let failure: SavoryspurError | undefined;
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      const granted = await this.acquireSlot(
        exchange,
        attempt,
        excludedServers,
      );
      if (granted.isErr()) return failure ?? granted.error;
      failure = await this.runAttempt(exchange, granted.value, attempt);
      if (!failure) return undefined;
      if (exchange.request.response.headersSent) return failure;
      if (!isRetryable(failure) || exchange.signal.aborted) return failure;
      if (!this.context.retries.trySpendRetry()) return failure;
      excludedServers.push(granted.value.server.id);
    }
    return failure;
  }

  private acquireSlot(
    exchange: OnlineExchange,
    attempt: number,
    excludedServers: string[],
  ) {
    const {model, request, caller} = exchange;
    return this.context.slotAllocator.acquire({
      requestId: `${request.requestId}.${attempt}`,
      pool: model.pool.name,
      workspace: caller.workspace.name,
      trafficClass: TrafficClass.ONLINE,
      prefixHash: model.prefixHash,
      fingerprint: model.fingerprint,
      maxWaitMs: this.context.settings.timeouts.queueMs,
      excludedServers,
      signal: exchange.signal,
    });
  }

  /** Makes one attempt and releases its slot, also when the attempt fails. */
  private async runAttempt(
    exchange: OnlineExchange,
    grant: SlotGrant,
    attempt: number,
  ): Promise<SavoryspurError | undefined> {
    const {clock, slotAllocator, engine} = this.context;
    const attemptTimer = new TokenTimer(clock, clock.now());
    const call = this.createCall(exchange, grant, attempt);
    const stateBefore = exchange.record.getState();
    exchange.record.recordSending();
    let failure: SavoryspurError | undefined;
    try {
      if (exchange.model.isStream) {
        const {betweenBytesMs} = this.context.settings.timeouts;
        await forwardStream(engine, call, {
          ...exchange,
          tokenTimers: [attemptTimer, exchange.tokenTimer],
          stallTimeoutMs: betweenBytesMs,
        });
      } else {
        await forwardBuffered(engine, call, exchange);
      }
    } catch (thrown) {
      const origin = {step: 'engine.call', peer: grant.server.id};
      failure = toSavoryspurError(thrown, origin);
      if (failure.code === ErrorCode.UNAVAILABLE) {
        exchange.record.recordNotSent(stateBefore);
      }
    }
    slotAllocator.release(grant, {
      end: failure ? getSlotUsageEnd(failure) : SlotUsageEnd.COMPLETED,
      firstTokenMs: attemptTimer.getFirstTokenMs(),
      betweenTokensMs: attemptTimer.getBetweenTokensMs(),
    });
    return failure;
  }

  private createCall(
    exchange: OnlineExchange,
    grant: SlotGrant,
    attempt: number,
  ): EngineCall {
    const {timeouts} = this.context.settings;
    return {
      serverUrl: grant.server.url,
      path: exchange.request.path,
      body: exchange.model.body,
      requestId: `${exchange.request.requestId}.${attempt}`,
      signal: AbortSignal.any([exchange.signal, grant.preemptionSignal]),
      timeouts: {
        connectTimeoutMs: timeouts.connectMs,
        firstByteTimeoutMs: timeouts.firstByteMs,
        idleTimeoutMs: timeouts.betweenBytesMs,
      },
    };
  }

  private finish(
    exchange: OnlineExchange,
    failure: SavoryspurError | undefined,
  ): void {
    const {request, record, tokenTimer, caller, model} = exchange;
    this.context.observer.record({
      workspace: caller.workspace.name,
      route: model.model.name,
      code: failure?.code,
      firstTokenMs: tokenTimer.getFirstTokenMs(),
      betweenTokensMs: tokenTimer.getBetweenTokensMs(),
      totalMs: this.context.clock.now() - request.arrivedMs,
    });
    if (!failure) return;
    const refusal = convertFailure(failure);
    if (!request.response.headersSent) {
      sendRefusal(request.response, request.requestId, refusal, record);
      return;
    }
    endBrokenStream(request, refusal, record);
  }
}

function isRefusal(value: OnlineExchange | Refusal): value is Refusal {
  return 'code' in value;
}
