/** HTTP client for model engines. */
import {ErrorCode, SavoryspurError} from '@savoryspur/common';
import {err, ok, type Result, ResultAsync} from 'neverthrow';
import {BackendRefusal, isNotRun, toBackendError} from './backend_errors.js';
import {type CallCounters, createCallCounters} from './call_counters.js';
import type {BackendConnections, BackendRequest} from './connections.js';
import type {
  EngineCall,
  EngineChunk,
  EngineClient,
  BufferedAnswer,
} from './backend_clients.js';
import {EngineStream} from './engine_stream.js';
import {removeKeyFields} from './key_filter.js';
import {
  type CallContext,
  BackendCaller,
  REQUEST_ID_HEADER,
} from './backend_caller.js';

/** Lowest HTTP status of a server error. */
const MIN_SERVER_ERROR_STATUS = 500;

/** Timeout of a cancellation at the engine, milliseconds. */
const CANCEL_TIMEOUT_MS = 1000;

/** Calls model engines over HTTP; docs/INTERFACES.md describes the protocol. */
export class HttpEngineClient implements EngineClient {
  /** Counts of failed calls and of discarded answers and events. */
  readonly counters: CallCounters = createCallCounters();
  private readonly caller: BackendCaller;

  /**
   * @param connections - connections to backend servers
   */
  constructor(private readonly connections: BackendConnections) {
    this.caller = new BackendCaller(connections, this.counters);
  }

  /** {@inheritDoc EngineClient.complete} */
  complete(call: EngineCall): ResultAsync<BufferedAnswer, SavoryspurError> {
    return new ResultAsync(this.tryComplete(call));
  }

  /** {@inheritDoc EngineClient.stream} */
  async *stream(call: EngineCall): AsyncGenerator<EngineChunk, void, void> {
    const context = createContext(call, 'engine.stream');
    requireNotAborted(context);
    const stream = new EngineStream(this.caller, this.counters, {
      request: createRequest(call, true),
      context,
    });
    let failure: SavoryspurError | undefined;
    let isComplete = false;
    try {
      yield* stream.read();
      isComplete = true;
    } catch (thrown) {
      failure = toBackendError(thrown, context.origin, call.signal);
      throw failure;
    } finally {
      if (!isComplete) await this.cancelAbandoned(call, failure);
    }
  }

  private async tryComplete(
    call: EngineCall,
  ): Promise<Result<BufferedAnswer, SavoryspurError>> {
    const context = createContext(call, 'engine.complete');
    try {
      requireNotAborted(context);
      const request = createRequest(call, false);
      const answer = await this.caller.complete(request, context);
      if (answer.statusCode >= MIN_SERVER_ERROR_STATUS) {
        throw new BackendRefusal(context.origin, answer, isNotRun(answer));
      }
      requireJson(answer, context);
      return ok(answer);
    } catch (thrown) {
      const error = this.caller.handleFailure(thrown, call.serverUrl, context);
      await this.cancelAbandoned(call, error);
      return err(error);
    }
  }

  /**
   * Cancels a call at the engine after its caller or this client abandoned the
   * call. Nothing is sent when the engine never received the request or
   * answered it with an error.
   */
  private async cancelAbandoned(
    call: EngineCall,
    error: SavoryspurError | undefined,
  ): Promise<void> {
    if (error?.code === ErrorCode.UNAVAILABLE) return;
    if (error?.code === ErrorCode.REMOTE_ERROR) return;
    await this.cancel(call).catch(() => undefined);
  }

  private async cancel(call: EngineCall): Promise<void> {
    const answer = await this.connections.send({
      serverUrl: call.serverUrl,
      method: 'POST',
      path: `/v1/streams/${encodeURIComponent(call.requestId)}/cancel`,
      headers: {[REQUEST_ID_HEADER]: call.requestId},
      timeouts: {
        connectTimeoutMs: call.timeouts.connectTimeoutMs,
        firstByteTimeoutMs: CANCEL_TIMEOUT_MS,
        idleTimeoutMs: CANCEL_TIMEOUT_MS,
      },
      signal: AbortSignal.timeout(CANCEL_TIMEOUT_MS),
    });
    await answer.body.dump();
  }
}

/** Creates the context of a call. */
function createContext(call: EngineCall, step: string): CallContext {
  return {
    origin: {step, peer: call.serverUrl},
    requestId: call.requestId,
    signal: call.signal,
  };
}

/**
 * Creates the HTTP request of a call. No header of the caller is forwarded, and
 * fields with keys are removed from the body.
 */
function createRequest(call: EngineCall, isStream: boolean): BackendRequest {
  const body = {...removeKeyFields(call.body), stream: isStream};
  return {
    serverUrl: call.serverUrl,
    method: 'POST',
    path: call.path.split('?', 1)[0] ?? call.path,
    headers: {
      'content-type': 'application/json',
      [REQUEST_ID_HEADER]: call.requestId,
    },
    body: JSON.stringify(body),
    timeouts: call.timeouts,
    signal: call.signal,
  };
}

/** Throws an error with code CANCELLED when a call is already aborted. */
function requireNotAborted(context: CallContext): void {
  if (!context.signal.aborted) return;
  throw new SavoryspurError(
    ErrorCode.CANCELLED,
    context.origin,
    'the call was cancelled before it was sent',
  );
}

/** Throws an error with code BROKEN_ANSWER when an answer is not valid JSON. */
function requireJson(answer: BufferedAnswer, context: CallContext): void {
  try {
    JSON.parse(answer.body.toString('utf8'));
  } catch (thrown) {
    throw new SavoryspurError(
      ErrorCode.BROKEN_ANSWER,
      context.origin,
      'the answer is not valid JSON',
      {cause: thrown},
    );
  }
}
