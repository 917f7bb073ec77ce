/**
 * Runs batch items on model engines, through the same rate limiter and slot
 * allocator as online requests.
 */
import type {EngineClient} from '@savoryspur/backends';
import type {BatchItem, ItemAnswer, ItemExecutor} from '@savoryspur/batch';
import {
  type Clock,
  ErrorCode,
  type EnvironmentSource,
  SavoryspurError,
} from '@savoryspur/common';
import type {RateLimiter} from '@savoryspur/limits';
import {
  type SlotGrant,
  SlotUsageEnd,
  type SlotAllocator,
} from '@savoryspur/routing';
import {type Settings, TrafficClass} from '@savoryspur/schema';
import {err, ok, type Result, ResultAsync} from 'neverthrow';
import {getSlotUsageEnd} from '../online/attempt_failure.js';
import {type ModelRequest, parseModelRequest} from '../online/model_request.js';

/** Components that {@link BatchItemExecutor} uses. */
export interface ExecutorContext {
  settings: Settings;
  clock: Clock;
  environment: EnvironmentSource;
  limiter: RateLimiter;
  slotAllocator: SlotAllocator;
  engine: EngineClient;
  /** Prefix of request ids, unique to this daemon process. */
  idPrefix: string;
}

/**
 * Longest wait of an item for a rate token of its workspace, milliseconds.
 */
const MAX_RATE_TOKEN_WAIT_MS = 2000;

/** Longest wait of an item for a concurrency slot, milliseconds. */
const MAX_SLOT_WAIT_MS = 2000;

const STATUS_BAD_REQUEST = 400;

/** Runs batch items within the rate limit and a concurrency slot. */
export class BatchItemExecutor implements ItemExecutor {
  private nextItem = 0;

  /**
   * @param context - components to use
   */
  constructor(private readonly context: ExecutorContext) {}

  /** {@inheritDoc ItemExecutor.run} */
  run(
    item: BatchItem,
    signal: AbortSignal,
  ): ResultAsync<ItemAnswer, SavoryspurError> {
    return new ResultAsync(this.runItem(item, signal));
  }

  private async runItem(
    item: BatchItem,
    signal: AbortSignal,
  ): Promise<Result<ItemAnswer, SavoryspurError>> {
    const index = this.context.environment.getCurrent();
    if (!index)
      return err(
        createError(
          ErrorCode.UNAVAILABLE,
          'no configuration is in force on this host yet',
        ),
      );
    const body = {...item.body, stream: false};
    const model = parseModelRequest(index, item.workspace, item.path, body);
    if (model.isErr()) {
      const {message, field} = model.error;
      return ok({
        statusCode: STATUS_BAD_REQUEST,
        body: {error: {message, param: field ?? null}},
      });
    }
    const admitted = await this.context.limiter.acquire({
      workspace: item.workspace,
      trafficClass: TrafficClass.BATCH,
      count: 1,
      maxWaitMs: MAX_RATE_TOKEN_WAIT_MS,
      signal,
    });
    if (admitted.isErr()) {
      return err(
        createError(ErrorCode.RATE_LIMITED, 'the workspace is above its rate'),
      );
    }
    return this.runWithSlot(item, model.value, signal);
  }

  private async runWithSlot(
    item: BatchItem,
    model: ModelRequest,
    signal: AbortSignal,
  ): Promise<Result<ItemAnswer, SavoryspurError>> {
    this.nextItem += 1;
    const requestId = `${this.context.idPrefix}-b${this.nextItem.toString(36)}`;
    const granted = await this.context.slotAllocator.acquire({
      requestId,
      pool: model.pool.name,
      workspace: item.workspace,
      trafficClass: TrafficClass.BATCH,
      prefixHash: model.prefixHash,
      fingerprint: model.fingerprint,
      maxWaitMs: MAX_SLOT_WAIT_MS,
      excludedServers: [],
      signal,
    });
    if (granted.isErr()) return err(granted.error);
    return this.requestEngine(item, model, granted.value, requestId, signal);
  }

  private async requestEngine(
    item: BatchItem,
    model: ModelRequest,
    grant: SlotGrant,
    requestId: string,
    signal: AbortSignal,
  ): Promise<Result<ItemAnswer, SavoryspurError>> {
    const {timeouts} = this.context.settings;
    const answer = await this.context.engine.complete({
      serverUrl: grant.server.url,
      path: item.path,
      body: model.body,
      requestId,
      signal: AbortSignal.any([signal, grant.preemptionSignal]),
      timeouts: {
        connectTimeoutMs: timeouts.connectMs,
        firstByteTimeoutMs: timeouts.firstByteMs,
        idleTimeoutMs: timeouts.betweenBytesMs,
      },
    });
    const end = answer.isOk()
      ? SlotUsageEnd.COMPLETED
      : getSlotUsageEnd(answer.error);
    this.context.slotAllocator.release(grant, {end});
    if (answer.isOk())
      return parseAnswer(answer.value.statusCode, answer.value.body);
    if (!grant.preemptionSignal.aborted) return err(answer.error);
    return err(
      createError(
        ErrorCode.REVOKED,
        'the item was preempted by an online request',
      ),
    );
  }
}

function createError(code: ErrorCode, message: string): SavoryspurError {
  return new SavoryspurError(code, {step: 'item.run', peer: 'self'}, message);
}

function parseAnswer(
  statusCode: number,
  body: Buffer,
): Result<ItemAnswer, SavoryspurError> {
  try {
    return ok({statusCode, body: JSON.parse(body.toString('utf8')) as unknown});
  } catch (thrown) {
    // The answer is complete, so the server did not crash.
    return err(createError(ErrorCode.REMOTE_ERROR, 'the answer is not JSON'));
  }
}
