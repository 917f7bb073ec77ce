/** Client of model engines. */
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
  MatchedCaller,
  REQUEST_ID_HEADER,
} from './backend_caller.js';

/** First status code of faults of the server. */
const FIRST_FAULT_STATUS = 500;

/** Bound on a cancel at the engine, milliseconds. */
const CANCEL_BOUND_MS = 1000;

/** Calls model engines over HTTP; the wire is in docs/INTERFACES.md. */
export class HttpEngineClient implements EngineClient {
  /** Counts of answers that were not passed on. */
  readonly counters: CallCounters = createCallCounters();
  private readonly caller: MatchedCaller;

  /**
   * @param connections - connections to backend servers
   */
  constructor(private readonly connections: BackendConnections) {
    this.caller = new MatchedCaller(connections, this.counters);
  }

  /** {@inheritDoc EngineClient.complete} */
  complete(call: EngineCall): ResultAsync<BufferedAnswer, SavoryspurError> {
    return new ResultAsync(this.tryWhole(call));
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
    let isWhole = false;
    try {
      yield* stream.read();
      isWhole = true;
    } catch (thrown) {
      failure = toBackendError(thrown, context.origin, call.signal);
      throw failure;
    } finally {
      if (!isWhole) await this.cancelAfter(call, failure);
    }
  }

  private async tryWhole(
    call: EngineCall,
  ): Promise<Result<BufferedAnswer, SavoryspurError>> {
    const context = createContext(call, 'engine.complete');
    try {
      requireNotAborted(context);
      const request = createRequest(call, false);
      const answer = await this.caller.complete(request, context);
      if (answer.statusCode >= FIRST_FAULT_STATUS) {
        throw new BackendRefusal(context.origin, answer, isNotRun(answer));
      }
      requireJson(answer, context);
      return ok(answer);
    } catch (thrown) {
      const error = this.caller.handleFailure(thrown, call.serverUrl, context);
      await this.cancelAfter(call, error);
      return err(error);
    }
  }

  /** Cancels an abandoned call at the engine unless it never got there. */
  private async cancelAfter(
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
      bounds: {
        connectTimeoutMs: call.timeouts.connectTimeoutMs,
        firstByteTimeoutMs: CANCEL_BOUND_MS,
        idleTimeoutMs: CANCEL_BOUND_MS,
      },
      signal: AbortSignal.timeout(CANCEL_BOUND_MS),
    });
    await answer.body.dump();
  }
}

/** Makes the context of a call. */
function createContext(call: EngineCall, step: string): CallContext {
  return {
    origin: {step, peer: call.serverUrl},
    requestId: call.requestId,
    signal: call.signal,
  };
}

/** Makes the HTTP request of a call; only this module sets its headers. */
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
    bounds: call.timeouts,
    signal: call.signal,
  };
}

/** Ends a call that was cancelled before it began. */
function requireNotAborted(context: CallContext): void {
  if (!context.signal.aborted) return;
  throw new SavoryspurError(
    ErrorCode.CANCELLED,
    context.origin,
    'the call was cancelled before it was sent',
  );
}

/** Requires that an answer is whole JSON. */
function requireJson(answer: BufferedAnswer, context: CallContext): void {
  try {
    JSON.parse(answer.body.toString('utf8'));
  } catch (thrown) {
    throw new SavoryspurError(
      ErrorCode.BROKEN_ANSWER,
      context.origin,
      'the answer is not whole JSON',
      {cause: thrown},
    );
  }
}
