/**
 * Sends requests to backend servers and checks by the request id that each
 * answer belongs to its request.
 */
import {ErrorCode, type ErrorOrigin, SavoryspurError} from '@savoryspur/common';
import type {Dispatcher} from 'undici';
import {BackendRefusal, toBackendError} from './backend_errors.js';
import type {CallCounters} from './call_counters.js';
import type {BackendConnections, BackendRequest} from './connections.js';
import type {BufferedAnswer} from './backend_clients.js';

/** Header that carries the request id in requests and in answers. */
export const REQUEST_ID_HEADER = 'x-request-id';

/** Lowest HTTP status of an error. */
const MIN_ERROR_STATUS = 400;

/** Origin of errors, request id and abort signal of a call. */
export interface CallContext {
  origin: ErrorOrigin;
  requestId: string;
  signal: AbortSignal;
}

/** Gets the first value of a header, or an empty string when it is absent. */
function getHeader(answer: Dispatcher.ResponseData, name: string): string {
  const value = answer.headers[name];
  return (Array.isArray(value) ? value[0] : value) ?? '';
}

/** Sends requests and checks that each answer belongs to its request. */
export class BackendCaller {
  /**
   * @param connections - connections to backend servers
   * @param counters - counts of failed calls and discarded answers
   */
  constructor(
    private readonly connections: BackendConnections,
    private readonly counters: CallCounters,
  ) {}

  /**
   * Sends a request and waits for the head of the answer. A server may answer
   * with an error without a request id before it reads the request; such an
   * answer fails the call, but does not tell whether the server ran the request.
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
    if (answeredId === '' && answer.statusCode >= MIN_ERROR_STATUS) {
      const buffered = await this.readAnswer(answer);
      throw new BackendRefusal(context.origin, buffered, false);
    }
    this.counters.misdirectedAnswers += 1;
    answer.body.on('error', () => undefined).destroy();
    this.connections.dropPool(request.serverUrl);
    throw new SavoryspurError(
      ErrorCode.BROKEN_ANSWER,
      context.origin,
      `the answer belongs to request ${answeredId || '(none)'}`,
    );
  }

  /** Sends a request and waits for the complete answer. */
  async complete(
    request: BackendRequest,
    context: CallContext,
  ): Promise<BufferedAnswer> {
    const answer = await this.open(request, context);
    return this.readAnswer(answer);
  }

  /** Reads the body of an answer to its end. */
  async readAnswer(answer: Dispatcher.ResponseData): Promise<BufferedAnswer> {
    const body = Buffer.from(await answer.body.arrayBuffer());
    return {
      statusCode: answer.statusCode,
      contentType: getHeader(answer, 'content-type'),
      body,
    };
  }

  /**
   * Converts a failure into a typed error and counts timeouts and broken
   * answers. A timeout also drops the connection pool of the server, since its
   * other connections may no longer respond either.
   */
  handleFailure(
    thrown: unknown,
    serverUrl: string,
    context: CallContext,
  ): SavoryspurError {
    const error = toBackendError(thrown, context.origin, context.signal);
    if (error.code === ErrorCode.TIMEOUT) {
      this.counters.timeouts += 1;
      this.connections.dropPool(serverUrl);
    }
    if (error.code === ErrorCode.BROKEN_ANSWER) {
      this.counters.brokenAnswers += 1;
    }
    return error;
  }
}
