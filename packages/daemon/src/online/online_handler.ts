/** Online requests for models: admission, placement, answer, retries. */
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
  forwardWhole,
} from './answer_forwarder.js';
import {getPlacementEnd, isRetryable} from './attempt_end.js';
import type {KeyWatch} from './key_watch.js';
import {type ModelRequest, parseModelRequest} from './model_request.js';
import type {OnlineObserver} from './observer.js';
import {TokenTimes} from './token_times.js';

/** Bounds the retries of this host. */
export interface RetryLimiter {
  /** Records a first attempt, which earns a part of a retry. */
  recordFirstAttempt(): void;
  /** Takes one retry; false when none is left. */
  trySpendRetry(): boolean;
}

/** What the handler works with. */
export interface OnlineContext {
  settings: Settings;
  clock: Clock;
  environment: EnvironmentSource;
  limiter: RateLimiter;
  placer: SlotAllocator;
  engine: EngineClient;
  retries: RetryLimiter;
  observer: OnlineObserver;
  keyWatch: KeyWatch;
}

/** Attempts at one request on different servers. */
const MAX_ATTEMPTS = 3;

/** State of one request on its way through the handler. */
interface OnlineExchange {
  request: CallerRequest;
  caller: Caller;
  model: ModelRequest;
  record: DispatchRecord;
  times: TokenTimes;
  /** Aborts when the caller leaves or its key is withdrawn. */
  signal: AbortSignal;
}

/** Answers `/v1/chat/completions` and `/v1/completions`. */
export class OnlineHandler {
  /**
   * @param context - collaborators
   */
  constructor(private readonly context: OnlineContext) {}

  /** Answers one request. */
  async handle(request: CallerRequest): Promise<void> {
    const record = new DispatchRecord();
    const exchange = await this.buildExchange(request, record);
    if (isRefusal(exchange)) {
      sendRefusal(request.response, request.requestId, exchange, record);
      return;
    }
    const watch = this.context.keyWatch.watch(exchange.caller.key.hash);
    exchange.signal = AbortSignal.any([request.signal, watch.signal]);
    try {
      const withdrawn = this.checkKeyAgain(request);
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

  /** Refuses a key that was withdrawn while the body was read. */
  private checkKeyAgain(request: CallerRequest): Refusal | undefined {
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
      times: new TokenTimes(clock, request.arrivedMs),
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
      const placed = await this.requestPlace(
        exchange,
        attempt,
        excludedServers,
      );
      if (placed.isErr()) return failure ?? placed.error;
      failure = await this.runAttempt(exchange, placed.value, attempt);
      if (!failure) return undefined;
      if (exchange.request.response.headersSent) return failure;
      if (!isRetryable(failure) || exchange.signal.aborted) return failure;
      if (!this.context.retries.trySpendRetry()) return failure;
      excludedServers.push(placed.value.server.id);
    }
    return failure;
  }

  private requestPlace(
    exchange: OnlineExchange,
    attempt: number,
    excludedServers: string[],
  ) {
    const {model, request, caller} = exchange;
    return this.context.placer.acquire({
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

  /** Makes one attempt and gives the place back, whatever happens. */
  private async runAttempt(
    exchange: OnlineExchange,
    placement: SlotGrant,
    attempt: number,
  ): Promise<SavoryspurError | undefined> {
    const {clock, placer, engine} = this.context;
    const times = new TokenTimes(clock, clock.now());
    const call = this.createCall(exchange, placement, attempt);
    const stateBefore = exchange.record.getState();
    exchange.record.recordSending();
    let failure: SavoryspurError | undefined;
    try {
      if (exchange.model.isStream) {
        const {betweenBytesMs} = this.context.settings.timeouts;
        await forwardStream(engine, call, {
          ...exchange,
          observed: [times, exchange.times],
          stallMs: betweenBytesMs,
        });
      } else {
        await forwardWhole(engine, call, exchange);
      }
    } catch (thrown) {
      const origin = {step: 'engine.call', peer: placement.server.id};
      failure = toSavoryspurError(thrown, origin);
      if (failure.code === ErrorCode.UNAVAILABLE) {
        exchange.record.resetUnsent(stateBefore);
      }
    }
    placer.release(placement, {
      end: failure ? getPlacementEnd(failure) : SlotUsageEnd.COMPLETED,
      firstTokenMs: times.getFirstTokenMs(),
      betweenTokensMs: times.getBetweenTokensMs(),
    });
    return failure;
  }

  private createCall(
    exchange: OnlineExchange,
    placement: SlotGrant,
    attempt: number,
  ): EngineCall {
    const {timeouts} = this.context.settings;
    return {
      serverUrl: placement.server.url,
      path: exchange.request.path,
      body: exchange.model.body,
      requestId: `${exchange.request.requestId}.${attempt}`,
      signal: AbortSignal.any([exchange.signal, placement.preemptionSignal]),
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
    const {request, record, times, caller, model} = exchange;
    this.context.observer.record({
      workspace: caller.workspace.name,
      route: model.model.name,
      code: failure?.code,
      firstTokenMs: times.getFirstTokenMs(),
      betweenTokensMs: times.getBetweenTokensMs(),
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
