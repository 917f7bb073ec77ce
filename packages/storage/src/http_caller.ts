/** HTTP calls with time limits to one service, such as the table service or an engine. */
import {
  createConnector,
  ErrorCode,
  SavoryspurError,
  toSavoryspurError,
} from '@savoryspur/common';
import {ResultAsync} from 'neverthrow';
import {Agent, buildConnector, type Dispatcher} from 'undici';

/** Time limits of an {@link HttpCaller}. */
export interface HttpCallOptions {
  /** Time limit for the whole call, milliseconds. */
  timeoutMs: number;
  /** Time limit for establishing a connection, milliseconds. */
  connectTimeoutMs: number;
  /** Longest idle time after which a connection is reused, milliseconds. */
  maxIdleMs: number;
}

/** One HTTP request. */
export interface HttpRequest {
  /** Step that errors name, such as `table.read`. */
  step: string;
  method: 'GET' | 'PUT' | 'POST' | 'DELETE';
  path: string;
  headers?: Record<string, string>;
  body?: string | Buffer;
  /** Whether the request writes, so that a lost answer leaves its outcome unknown. */
  isWrite: boolean;
}

/** A complete HTTP answer. */
export interface HttpAnswer {
  statusCode: number;
  body: Buffer;
}

/** Lowest HTTP status that reports a failure of the service. */
const MIN_SERVER_ERROR_STATUS = 500;

/** HTTP status by which the service refuses a call to limit its load. */
const STATUS_TOO_MANY_REQUESTS = 429;

/** Makes HTTP calls to one service. */
export class HttpCaller {
  private agent: Agent;

  /**
   * @param baseUrl - base URL of the service
   * @param options - time limits
   */
  constructor(
    private readonly baseUrl: string,
    private readonly options: HttpCallOptions,
  ) {
    this.agent = this.createAgent();
  }

  /**
   * Makes one call. After a call has timed out, later calls use new
   * connections, so that an unresponsive connection is never reused.
   *
   * @param request - request to send
   * @returns the answer, or an error: OVERLOADED when the service refused the
   *     call, AMBIGUOUS when a write may have taken effect, else UNAVAILABLE
   */
  request(request: HttpRequest): ResultAsync<HttpAnswer, SavoryspurError> {
    return ResultAsync.fromPromise(this.send(request), (thrown) =>
      this.convertFailure(request, thrown),
    );
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.agent.destroy();
  }

  private createAgent(): Agent {
    const {connectTimeoutMs} = this.options;
    return new Agent({
      connect: createConnector(
        connectTimeoutMs,
        buildConnector({timeout: connectTimeoutMs}),
      ),
      keepAliveTimeout: this.options.maxIdleMs,
      keepAliveMaxTimeout: this.options.maxIdleMs,
      pipelining: 1,
    });
  }

  private async send(request: HttpRequest): Promise<HttpAnswer> {
    const answer = await this.agent.request({
      origin: this.baseUrl,
      path: request.path,
      method: request.method as Dispatcher.HttpMethod,
      headers: request.headers,
      body: request.body,
      signal: AbortSignal.timeout(this.options.timeoutMs),
    });
    const body = Buffer.from(await answer.body.arrayBuffer());
    this.checkStatus(request, answer.statusCode);
    return {statusCode: answer.statusCode, body};
  }

  private checkStatus(request: HttpRequest, statusCode: number): void {
    const origin = {step: request.step, peer: this.baseUrl};
    if (statusCode === STATUS_TOO_MANY_REQUESTS) {
      throw new SavoryspurError(
        ErrorCode.OVERLOADED,
        origin,
        'the service refused the call: too many requests',
      );
    }
    if (statusCode < MIN_SERVER_ERROR_STATUS) return;
    const code = request.isWrite ? ErrorCode.AMBIGUOUS : ErrorCode.UNAVAILABLE;
    throw new SavoryspurError(code, origin, `status ${statusCode}`);
  }

  private convertFailure(
    request: HttpRequest,
    thrown: unknown,
  ): SavoryspurError {
    const origin = {step: request.step, peer: this.baseUrl};
    if (thrown instanceof SavoryspurError) return thrown;
    const isTimeout = thrown instanceof Error && thrown.name === 'TimeoutError';
    if (isTimeout) this.replaceAgent();
    const code = request.isWrite ? ErrorCode.AMBIGUOUS : ErrorCode.UNAVAILABLE;
    return toSavoryspurError(thrown, origin, code);
  }

  private replaceAgent(): void {
    const old = this.agent;
    this.agent = this.createAgent();
    void old.close().catch(() => undefined);
  }
}
