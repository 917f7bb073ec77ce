/** Runs batch items on model engines through the same admission as online. */
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
import {getPlacementEnd} from '../online/attempt_end.js';
import {type ModelRequest, parseModelRequest} from '../online/model_request.js';

/** What the executor works with. */
export interface ExecutorContext {
  settings: Settings;
  clock: Clock;
  environment: EnvironmentSource;
  limiter: RateLimiter;
  placer: SlotAllocator;
  engine: EngineClient;
  /** Prefix of request ids, unique to this run of the daemon. */
  idPrefix: string;
}

/** Longest wait of an item for its workspace's rate, milliseconds. */
const TOKEN_WAIT_MS = 2000;

/** Longest wait of an item for a place, milliseconds. */
const PLACE_WAIT_MS = 2000;

/** Bad request. */
const STATUS_BAD_REQUEST = 400;

/** Executor over the daemon's limiter, placer and engine client. */
export class PlacedItemExecutor implements ItemExecutor {
  private nextItem = 0;

  /**
   * @param context - collaborators
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
      return err(createError(ErrorCode.UNAVAILABLE, 'no configuration'));
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
      maxWaitMs: TOKEN_WAIT_MS,
      signal,
    });
    if (admitted.isErr()) {
      return err(createError(ErrorCode.RATE_LIMITED, 'above the rate'));
    }
    return this.runPlaced(item, model.value, signal);
  }

  private async runPlaced(
    item: BatchItem,
    model: ModelRequest,
    signal: AbortSignal,
  ): Promise<Result<ItemAnswer, SavoryspurError>> {
    this.nextItem += 1;
    const requestId = `${this.context.idPrefix}-b${this.nextItem.toString(36)}`;
    const placed = await this.context.placer.acquire({
      requestId,
      pool: model.pool.name,
      workspace: item.workspace,
      trafficClass: TrafficClass.BATCH,
      prefixHash: model.prefixHash,
      fingerprint: model.fingerprint,
      maxWaitMs: PLACE_WAIT_MS,
      excludedServers: [],
      signal,
    });
    if (placed.isErr()) return err(placed.error);
    return this.requestEngine(item, model, placed.value, requestId, signal);
  }

  private async requestEngine(
    item: BatchItem,
    model: ModelRequest,
    placement: SlotGrant,
    requestId: string,
    signal: AbortSignal,
  ): Promise<Result<ItemAnswer, SavoryspurError>> {
    const {timeouts} = this.context.settings;
    const answer = await this.context.engine.complete({
      serverUrl: placement.server.url,
      path: item.path,
      body: model.body,
      requestId,
      signal: AbortSignal.any([signal, placement.preemptionSignal]),
      timeouts: {
        connectTimeoutMs: timeouts.connectMs,
        firstByteTimeoutMs: timeouts.firstByteMs,
        idleTimeoutMs: timeouts.betweenBytesMs,
      },
    });
    const end = answer.isOk()
      ? SlotUsageEnd.COMPLETED
      : getPlacementEnd(answer.error);
    this.context.placer.release(placement, {end});
    if (answer.isOk())
      return parseAnswer(answer.value.statusCode, answer.value.body);
    if (!placement.preemptionSignal.aborted) return err(answer.error);
    return err(createError(ErrorCode.REVOKED, 'the place went to online work'));
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
    return err(createError(ErrorCode.BROKEN_ANSWER, 'the answer is not JSON'));
  }
}
