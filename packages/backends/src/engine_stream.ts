/**
 * One streamed answer of an engine: events in order without gaps, resumed on a
 * new connection when the old one breaks.
 */
import {ErrorCode, SavoryspurError} from '@savoryspur/common';
import type {Dispatcher} from 'undici';
import {AnswerId} from './answer_id.js';
import {BackendRefusal, isNotRun, toBackendError} from './backend_errors.js';
import type {CallCounters} from './call_counters.js';
import type {BackendRequest} from './connections.js';
import type {EngineChunk} from './backend_clients.js';
import {readEvents, type ServerSentEvent} from './event_stream.js';
import {
  type CallContext,
  type MatchedCaller,
  REQUEST_ID_HEADER,
} from './backend_caller.js';

/** Data of the event that ends a stream. */
const END_MARK = '[DONE]';

/** Resumptions of one stream. */
const MAX_RESUMES = 3;

/** Status of an answer that carries events. */
const STATUS_OK = 200;

/** The call behind a stream. */
export interface StreamStart {
  request: BackendRequest;
  context: CallContext;
}

/** Outcome of one connection of a stream. */
enum Attempt {
  ENDED,
  BROKEN,
}

/** Reads one streamed answer over one or more connections. */
export class EngineStream {
  private readonly answerId = new AnswerId();
  private nextSequence = 0;
  private failure: SavoryspurError | undefined;

  /**
   * @param caller - sends requests and matches answers
   * @param counters - counts of events that were dropped
   * @param start - the call
   */
  constructor(
    private readonly caller: MatchedCaller,
    private readonly counters: CallCounters,
    private readonly start: StreamStart,
  ) {}

  /**
   * Reads the stream to the engine's end mark.
   *
   * @throws SavoryspurError when it cannot be read whole
   */
  async *read(): AsyncGenerator<EngineChunk, void, void> {
    const first = yield* this.readConnection(this.start.request);
    if (first === Attempt.ENDED) return;
    for (let resumes = 0; resumes < MAX_RESUMES; resumes++) {
      this.counters.resumedStreams += 1;
      const next = yield* this.readConnection(this.createResumeRequest());
      if (next === Attempt.ENDED) return;
    }
    throw this.createBrokenError('the stream broke too often');
  }

  private async *readConnection(
    request: BackendRequest,
  ): AsyncGenerator<EngineChunk, Attempt, void> {
    try {
      const answer = await this.caller.open(request, this.start.context);
      if (answer.statusCode !== STATUS_OK) await this.refuse(answer);
      return yield* this.readAnswer(answer);
    } catch (thrown) {
      this.failure = this.checkResumable(thrown);
      return Attempt.BROKEN;
    }
  }

  /** Passes on the events of one answer; leaves no half-read connection. */
  private async *readAnswer(
    answer: Dispatcher.ResponseData,
  ): AsyncGenerator<EngineChunk, Attempt, void> {
    const events = readEvents(answer.body);
    let isAtEnd = false;
    try {
      for (;;) {
        const next = await events.next();
        if (next.done) throw this.createBrokenError('there is no end mark');
        isAtEnd = next.value.data === END_MARK;
        if (isAtEnd) return this.finish(next.value);
        const chunk = this.match(next.value);
        if (chunk) yield chunk;
      }
    } finally {
      if (isAtEnd) void drainRest(events);
      else await events.return();
    }
  }

  /** Rethrows failures after which the stream cannot go on. */
  private checkResumable(thrown: unknown): SavoryspurError {
    const {origin, signal} = this.start.context;
    const error = toBackendError(thrown, origin, signal);
    const isFirst = this.failure === undefined && this.nextSequence === 0;
    if (error.code === ErrorCode.CANCELLED) throw error;
    if (error instanceof BackendRefusal) {
      if (isFirst) throw error;
      throw this.createBrokenError('the engine no longer holds the stream');
    }
    if (error.code === ErrorCode.UNAVAILABLE && isFirst) throw error;
    return this.caller.handleFailure(
      error,
      this.start.request.serverUrl,
      this.start.context,
    );
  }

  private finish(event: ServerSentEvent): Attempt {
    const isGap = event.id !== undefined && event.id > this.nextSequence;
    if (!isGap) return Attempt.ENDED;
    this.counters.eventGaps += 1;
    this.failure = this.createBrokenError('events are missing at the end');
    return Attempt.BROKEN;
  }

  /**
   * Accepts the next event, drops one that came before, refuses a gap and an
   * event of another answer.
   */
  private match(event: ServerSentEvent): EngineChunk | undefined {
    if (event.id === undefined) {
      throw this.createBrokenError('an event has no number');
    }
    if (event.id < this.nextSequence) {
      this.counters.duplicateEvents += 1;
      return undefined;
    }
    if (event.id > this.nextSequence) {
      this.counters.eventGaps += 1;
      throw this.createBrokenError(`event ${this.nextSequence} is missing`);
    }
    if (!this.answerId.isSame(event.data)) {
      this.counters.crossedAnswers += 1;
      throw this.createBrokenError('an event belongs to another answer');
    }
    this.nextSequence += 1;
    return {sequence: event.id, data: event.data};
  }

  private createResumeRequest(): BackendRequest {
    const {request, context} = this.start;
    const id = encodeURIComponent(context.requestId);
    return {
      serverUrl: request.serverUrl,
      method: 'GET',
      path: `/v1/streams/${id}?after=${this.nextSequence - 1}`,
      headers: {[REQUEST_ID_HEADER]: context.requestId},
      bounds: request.bounds,
      signal: request.signal,
    };
  }

  private async refuse(answer: Dispatcher.ResponseData): Promise<never> {
    const whole = await this.caller.readWhole(answer);
    throw new BackendRefusal(this.start.context.origin, whole, isNotRun(whole));
  }

  private createBrokenError(message: string): SavoryspurError {
    const isTimeout = this.failure?.code === ErrorCode.TIMEOUT;
    return new SavoryspurError(
      isTimeout ? ErrorCode.TIMEOUT : ErrorCode.BROKEN_ANSWER,
      this.start.context.origin,
      message,
      {cause: this.failure},
    );
  }
}

/** Reads what follows the end mark, so that the connection can be used again. */
async function drainRest(
  events: AsyncGenerator<ServerSentEvent, void, void>,
): Promise<void> {
  try {
    while (!(await events.next()).done);
  } catch (thrown) {
    return;
  }
}
