/** One bounded HTTP call to the platform. */
import {
  ErrorCode,
  SavoryspurError,
  toSavoryspurError,
} from '@savoryspur/common';
import {ResultAsync} from 'neverthrow';
import {Agent, type Dispatcher} from 'undici';

/** How the platform is called. */
export interface HttpCallOptions {
  /** Bound on the whole call, milliseconds. */
  timeoutMs: number;
  /** Bound on a connect, milliseconds. */
  connectTimeoutMs: number;
  /** Longest idle time after which a connection is used again, milliseconds. */
  maxIdleMs: number;
}

/** One request to the platform. */
export interface HttpRequest {
  /** Step that errors name, such as `table.read`. */
  step: string;
  method: 'GET' | 'PUT' | 'POST' | 'DELETE';
  path: string;
  headers?: Record<string, string>;
  body?: string | Buffer;
  /** Whether a lost answer leaves the outcome open. */
  isWrite: boolean;
}

/** A whole answer of the platform. */
export interface HttpAnswer {
  statusCode: number;
  body: Buffer;
}

/** First status code that stands for a fault of the service. */
const FIRST_SERVER_ERROR = 500;

/** Too many requests. */
const STATUS_TOO_MANY = 429;

/** Calls one service of the platform. */
export class HttpCaller {
  private agent: Agent;

  /**
   * @param baseUrl - base URL of the service
   * @param options - bounds
   */
  constructor(
    private readonly baseUrl: string,
    private readonly options: HttpCallOptions,
  ) {
    this.agent = this.createAgent();
  }

  /**
   * Makes one call. A call that timed out destroys its connections, so that a
   * silent connection is never used again.
   *
   * @param request - what to send
   * @returns the answer, or an error with code AMBIGUOUS when a write may have
   *     taken effect
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
    return new Agent({
      connect: {timeout: this.options.connectTimeoutMs},
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
    if (statusCode === STATUS_TOO_MANY) {
      throw new SavoryspurError(
        ErrorCode.OVERLOADED,
        origin,
        'the service refused the call as too many',
      );
    }
    if (statusCode < FIRST_SERVER_ERROR) return;
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
