/** HTTP server for callers and operators. */
import {type Clock, toSavoryspurError} from '@savoryspur/common';
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import type {CallerHandler, CallerRequest} from './caller_request.js';
import {DispatchRecord} from './dispatch_record.js';
import {sendRefusal} from './refusal.js';

/** Address and timeouts of an {@link HttpServer}. */
export interface HttpServerOptions {
  /** IP address to listen on. */
  address: string;
  /** Port to listen on; 0 lets the operating system choose. */
  port: number;
  /** Time limit for receiving the headers of a request, milliseconds. */
  headersTimeoutMs: number;
  /** Idle time after which a connection is closed, milliseconds. */
  keepAliveTimeoutMs: number;
  /**
   * Shortest time between the start of a drain and its end, milliseconds. The
   * load balancer may still send callers to this host during that time.
   */
  minDrainMs: number;
  /** Prefix of request ids, unique to this daemon process. */
  idPrefix: string;
}

/** Idle time after which TCP keep-alive probes a connection, milliseconds. */
const TCP_KEEPALIVE_DELAY_MS = 5000;

/**
 * Time beyond the keep-alive timeout for which a drain waits before it closes
 * idle connections, milliseconds.
 */
const IDLE_CLOSE_GRACE_MS = 1000;

/** Interval at which a drain checks whether it is complete, milliseconds. */
const DRAIN_POLL_MS = 20;

/** Serves HTTP requests and shuts down without interrupting those in progress. */
export class HttpServer {
  private readonly server: Server;
  private readonly active = new Set<CallerRequest>();
  private connections = 0;
  private isDraining = false;
  private nextRequest = 0;

  /**
   * @param options - address, port and timeouts
   * @param clock - source of time
   * @param handler - answers each request
   */
  constructor(
    private readonly options: HttpServerOptions,
    private readonly clock: Clock,
    private readonly handler: CallerHandler,
  ) {
    this.server = createServer((message, response) => {
      void this.serve(message, response);
    });
    this.server.headersTimeout = options.headersTimeoutMs;
    this.server.keepAliveTimeout = options.keepAliveTimeoutMs;
    this.server.requestTimeout = 0;
    this.server.on('connection', (socket) => this.trackSocket(socket));
  }

  /**
   * Starts listening.
   *
   * @returns the port that was bound
   */
  start(): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(this.options.port, this.options.address, () => {
        this.server.off('error', reject);
        resolve((this.server.address() as AddressInfo).port);
      });
    });
  }

  /** Counts the requests in progress. */
  countActive(): number {
    return this.active.size;
  }

  /**
   * Adds `connection: close` to all further answers, so that callers open a new
   * connection to another host. Requests on open connections are still
   * answered.
   */
  drain(): void {
    this.isDraining = true;
  }

  /**
   * Stops the server once no request is in progress and all callers have closed
   * their connections or the keep-alive timeout has passed. Requests that
   * arrive during the drain are answered.
   *
   * @param maxMs - longest drain, milliseconds
   * @returns whether every request had ended when the server stopped
   */
  async stop(maxMs: number): Promise<boolean> {
    this.drain();
    const startMs = this.clock.now();
    const idleCloseAfterMs =
      this.options.keepAliveTimeoutMs + IDLE_CLOSE_GRACE_MS;
    while (this.clock.now() - startMs < maxMs) {
      const drainedMs = this.clock.now() - startMs;
      const isConnectionWaitOver =
        drainedMs >= this.options.minDrainMs &&
        (this.connections === 0 || drainedMs >= idleCloseAfterMs);
      if (this.active.size === 0 && isConnectionWaitOver) break;
      await this.clock.sleep(DRAIN_POLL_MS);
    }
    const isIdle = this.active.size === 0;
    this.server.close();
    this.server.closeAllConnections();
    return isIdle;
  }

  private trackSocket(socket: Socket): void {
    socket.setKeepAlive(true, TCP_KEEPALIVE_DELAY_MS);
    socket.setNoDelay(true);
    this.connections += 1;
    socket.once('close', () => {
      this.connections -= 1;
    });
  }

  private async serve(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const request = this.createRequest(message, response);
    this.active.add(request);
    if (this.isDraining) response.setHeader('connection', 'close');
    try {
      await this.handler(request);
    } catch (thrown) {
      const origin = {step: 'caller.serve', peer: 'caller'};
      const error = toSavoryspurError(thrown, origin);
      const refusal = {code: error.code, message: error.message};
      const record = new DispatchRecord();
      record.recordSending();
      sendRefusal(response, request.requestId, refusal, record);
    } finally {
      this.finishRequest(request);
    }
  }

  private createRequest(
    message: IncomingMessage,
    response: ServerResponse,
  ): CallerRequest {
    const abort = new AbortController();
    response.once('close', () => {
      if (!response.writableFinished) abort.abort();
    });
    const target = message.url ?? '/';
    this.nextRequest += 1;
    return {
      requestId: `${this.options.idPrefix}-${this.nextRequest.toString(36)}`,
      method: message.method ?? 'GET',
      path: target.split('?', 1)[0] ?? '/',
      target,
      message,
      response,
      signal: abort.signal,
      arrivedMs: this.clock.now(),
      params: {},
    };
  }

  private finishRequest(request: CallerRequest): void {
    const finish = (): void => {
      this.active.delete(request);
    };
    if (request.response.writableFinished || request.response.destroyed) {
      finish();
      return;
    }
    request.response.once('close', finish);
  }
}
