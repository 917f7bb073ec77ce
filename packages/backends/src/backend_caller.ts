/** One call with a whole answer, matched to its request. */
import {ErrorCode, type ErrorOrigin, SavoryspurError} from '@savoryspur/common';
import type {Dispatcher} from 'undici';
import {BackendRefusal, toBackendError} from './backend_errors.js';
import type {CallCounters} from './call_counters.js';
import type {BackendConnections, BackendRequest} from './connections.js';
import type {BufferedAnswer} from './backend_clients.js';

/** Header that carries the request id both ways. */
export const REQUEST_ID_HEADER = 'x-request-id';

/** First status code of errors. */
const FIRST_ERROR_STATUS = 400;

/** Step, ids and signal of a call. */
export interface CallContext {
  origin: ErrorOrigin;
  requestId: string;
  signal: AbortSignal;
}

/** Gets a header that may come several times. */
function getHeader(answer: Dispatcher.ResponseData, name: string): string {
  const value = answer.headers[name];
  return (Array.isArray(value) ? value[0] : value) ?? '';
}

/** Sends requests and checks that each answer belongs to its request. */
export class MatchedCaller {
  /**
   * @param connections - connections to backend servers
   * @param counters - counts of answers that were dropped
   */
  constructor(
    private readonly connections: BackendConnections,
    private readonly counters: CallCounters,
  ) {}

  /**
   * Sends a request and waits for the head of its answer. An error without a
   * request id, as servers send before they look at a request, ends the call but
   * says nothing of whether it ran.
   *
   * @throws BackendRefusal for an error without a request id
   * @throws SavoryspurError with code BROKEN_ANSWER for the answer to another
   *     request
   */
  async open(
    request: BackendRequest,
    context: CallContext,
  ): Promise<Dispatcher.ResponseData> {
    const answer = await this.connections.send(request);
    const answeredId = getHeader(answer, REQUEST_ID_HEADER);
    if (answeredId === context.requestId) return answer;
    if (answeredId === '' && answer.statusCode >= FIRST_ERROR_STATUS) {
      const whole = await this.readWhole(answer);
      throw new BackendRefusal(context.origin, whole, false);
    }
    this.counters.crossedAnswers += 1;
    answer.body.on('error', () => undefined).destroy();
    this.connections.drop(request.serverUrl);
    throw new SavoryspurError(
      ErrorCode.BROKEN_ANSWER,
      context.origin,
      `the answer belongs to request ${answeredId || '(none)'}`,
    );
  }

  /** Sends a request and waits for its whole answer. */
  async complete(
    request: BackendRequest,
    context: CallContext,
  ): Promise<BufferedAnswer> {
    const answer = await this.open(request, context);
    return this.readWhole(answer);
  }

  /** Reads the rest of an answer. */
  async readWhole(answer: Dispatcher.ResponseData): Promise<BufferedAnswer> {
    const body = Buffer.from(await answer.body.arrayBuffer());
    return {
      statusCode: answer.statusCode,
      contentType: getHeader(answer, 'content-type'),
      body,
    };
  }

  /** Converts a failure, counts it and drops connections that went silent. */
  handleFailure(
    thrown: unknown,
    serverUrl: string,
    context: CallContext,
  ): SavoryspurError {
    const error = toBackendError(thrown, context.origin, context.signal);
    if (error.code === ErrorCode.TIMEOUT) {
      this.counters.timeouts += 1;
      this.connections.drop(serverUrl);
    }
    if (error.code === ErrorCode.BROKEN_ANSWER) {
      this.counters.brokenAnswers += 1;
    }
    return error;
  }
}
