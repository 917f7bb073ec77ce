/**
 * Reads one streamed answer of an engine: yields events in order without gaps
 * and resumes the stream on a new connection when its connection fails.
 */
import {ErrorCode, SavoryspurError} from '@savoryspur/common';
import type {Dispatcher} from 'undici';
import {AnswerIdMatcher} from './answer_id.js';
import {BackendRefusal, isNotRun, toBackendError} from './backend_errors.js';
import type {CallCounters} from './call_counters.js';
import type {BackendRequest} from './connections.js';
import type {EngineChunk} from './backend_clients.js';
import {readEvents, type ServerSentEvent} from './event_stream.js';
import {
  type CallContext,
  type BackendCaller,
  REQUEST_ID_HEADER,
} from './backend_caller.js';

/** Data of the end-of-stream event. */
const END_OF_STREAM_DATA = '[DONE]';

/** Maximum number of resumptions of one stream. */
const MAX_RESUMPTIONS = 3;

/** HTTP status of an answer that carries events. */
const STATUS_OK = 200;

/** Request and context of the call that a stream answers. */
export interface StreamCall {
  request: BackendRequest;
  context: CallContext;
}

/** Whether a stream ended on a connection or has to be resumed. */
enum ConnectionOutcome {
  ENDED,
  BROKEN,
}

/** Reads one streamed answer over one or more connections. */
export class EngineStream {
  private readonly answerIdMatcher = new AnswerIdMatcher();
  private nextSequence = 0;
  private lastFailure: SavoryspurError | undefined;

  /**
   * @param caller - sends requests and checks the request ids of answers
   * @param counters - counts of discarded events and resumed streams
   * @param call - request and context of the call
   */
  constructor(
    private readonly caller: BackendCaller,
    private readonly counters: CallCounters,
    private readonly call: StreamCall,
  ) {}

  /**
   * Reads the stream to the end-of-stream event of the engine.
   *
   * @throws SavoryspurError when the stream cannot be read to its end
   */
  async *read(): AsyncGenerator<EngineChunk, void, void> {
    const firstOutcome = yield* this.readConnection(this.call.request);
    if (firstOutcome === ConnectionOutcome.ENDED) return;
    for (let resumption = 0; resumption < MAX_RESUMPTIONS; resumption++) {
      this.counters.resumedStreams += 1;
      const outcome = yield* this.readConnection(this.createResumeRequest());
      if (outcome === ConnectionOutcome.ENDED) return;
    }
    throw this.createStreamError(
      'the stream failed again after its last permitted resumption',
    );
  }

  private async *readConnection(
    request: BackendRequest,
  ): AsyncGenerator<EngineChunk, ConnectionOutcome, void> {
    try {
      const answer = await this.caller.open(request, this.call.context);
      if (answer.statusCode !== STATUS_OK) await this.rejectAnswer(answer);
      return yield* this.readAnswer(answer);
    } catch (thrown) {
      this.lastFailure = this.requireResumable(thrown);
      return ConnectionOutcome.BROKEN;
    }
  }

  /**
   * Yields the events of one answer. When the stream ends, the rest of the body
   * is read, so that the connection can be reused; otherwise the connection is
   * closed.
   */
  private async *readAnswer(
    answer: Dispatcher.ResponseData,
  ): AsyncGenerator<EngineChunk, ConnectionOutcome, void> {
    const events = readEvents(answer.body);
    let isEnded = false;
    try {
      for (;;) {
        const next = await events.next();
        if (next.done)
          throw this.createStreamError(
            'the stream ended without an end-of-stream event',
          );
        isEnded = next.value.data === END_OF_STREAM_DATA;
        if (isEnded) return this.checkEndOfStream(next.value);
        const chunk = this.acceptEvent(next.value);
        if (chunk) yield chunk;
      }
    } finally {
      if (isEnded) void drainEvents(events);
      else await events.return();
    }
  }

  /**
   * Throws an error for a failure after which the stream cannot be resumed.
   *
   * @returns the error of a failure after which the stream can be resumed
   */
  private requireResumable(thrown: unknown): SavoryspurError {
    const {origin, signal} = this.call.context;
    const error = toBackendError(thrown, origin, signal);
    const isBeforeFirstEvent =
      this.lastFailure === undefined && this.nextSequence === 0;
    if (error.code === ErrorCode.CANCELLED) throw error;
    if (error instanceof BackendRefusal) {
      if (isBeforeFirstEvent) throw error;
      throw this.createStreamError('the engine no longer has the stream');
    }
    if (error.code === ErrorCode.UNAVAILABLE && isBeforeFirstEvent) throw error;
    return this.caller.handleFailure(
      error,
      this.call.request.serverUrl,
      this.call.context,
    );
  }

  /**
   * Checks at the end-of-stream event that no earlier event is missing; when one
   * is, the stream has to be resumed.
   */
  private checkEndOfStream(event: ServerSentEvent): ConnectionOutcome {
    const isGap = event.id !== undefined && event.id > this.nextSequence;
    if (!isGap) return ConnectionOutcome.ENDED;
    this.counters.eventGaps += 1;
    this.lastFailure = this.createStreamError('events are missing at the end');
    return ConnectionOutcome.BROKEN;
  }

  /**
   * Checks the number and answer id of an event.
   *
   * @returns the chunk of the event; undefined when the event was received
   *     before
   * @throws SavoryspurError when an event before this one is missing or the
   *     event belongs to another answer
   */
  private acceptEvent(event: ServerSentEvent): EngineChunk | undefined {
    if (event.id === undefined) {
      throw this.createStreamError('an event has no number');
    }
    if (event.id < this.nextSequence) {
      this.counters.duplicateEvents += 1;
      return undefined;
    }
    if (event.id > this.nextSequence) {
      this.counters.eventGaps += 1;
      throw this.createStreamError(`event ${this.nextSequence} is missing`);
    }
    if (!this.answerIdMatcher.isSameAnswer(event.data)) {
      this.counters.misdirectedAnswers += 1;
      throw this.createStreamError('an event belongs to another answer');
    }
    this.nextSequence += 1;
    return {sequence: event.id, data: event.data};
  }

  private createResumeRequest(): BackendRequest {
    const {request, context} = this.call;
    const id = encodeURIComponent(context.requestId);
    return {
      serverUrl: request.serverUrl,
      method: 'GET',
      path: `/v1/streams/${id}?after=${this.nextSequence - 1}`,
      headers: {[REQUEST_ID_HEADER]: context.requestId},
      timeouts: request.timeouts,
      signal: request.signal,
    };
  }

  private async rejectAnswer(answer: Dispatcher.ResponseData): Promise<never> {
    const buffered = await this.caller.readAnswer(answer);
    throw new BackendRefusal(
      this.call.context.origin,
      buffered,
      isNotRun(buffered),
    );
  }

  private createStreamError(message: string): SavoryspurError {
    const isTimeout = this.lastFailure?.code === ErrorCode.TIMEOUT;
    return new SavoryspurError(
      isTimeout ? ErrorCode.TIMEOUT : ErrorCode.BROKEN_ANSWER,
      this.call.context.origin,
      message,
      {cause: this.lastFailure},
    );
  }
}

/** Reads the bytes after the end-of-stream event, to reuse the connection. */
async function drainEvents(
  events: AsyncGenerator<ServerSentEvent, void, void>,
): Promise<void> {
  try {
    while (!(await events.next()).done);
  } catch (thrown) {
    return;
  }
}
