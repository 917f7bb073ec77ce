/** Small HTTP server with a routing table, which all stand-ins use. */
import http from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {type FieldError, formatFieldError} from '@savoryspur/schema';
import type {Result} from 'neverthrow';

/** Loopback address that all stand-ins listen on. */
export const LOOPBACK = '127.0.0.1';

/** Path prefix of the control API, through which tests control a stand-in. */
const CONTROL_PATH_PREFIX = '/control/';

/** Idle time after which the server closes a connection, milliseconds. */
const KEEP_ALIVE_TIMEOUT_MS = 60_000;

/** One request, after its whole body has been read. */
export interface StandInRequest {
  method: string;
  url: URL;
  headers: http.IncomingHttpHeaders;
  body: Buffer;
  /** Capture groups of the path pattern, URL-decoded. */
  groups: string[];
  /** Response to write to, for handlers that return no answer. */
  response: http.ServerResponse;
}

/** Answer that a handler returns and the server sends. */
export interface StandInAnswer {
  statusCode: number;
  headers?: Record<string, string>;
  body?: string | Buffer;
}

/**
 * Handles one request.
 *
 * @returns the answer; undefined when the handler writes the response itself, or
 *     leaves it unanswered
 */
export type StandInHandler = (
  request: StandInRequest,
) => Promise<StandInAnswer | undefined> | StandInAnswer | undefined;

/** One route: which requests a handler serves. */
export interface StandInRoute {
  /** HTTP method; any when absent. */
  method?: string;
  /** Pattern of the path. */
  path: RegExp;
  handle: StandInHandler;
}

/** Thrown by a handler to answer its request with an error status. */
export class StatusError extends Error {
  /**
   * @param statusCode - HTTP status of the answer
   * @param message - error message in the body of the answer
   */
  constructor(
    readonly statusCode: number,
    message: string,
  ) {
    super(message);
  }
}

/** Creates an answer with a JSON body. */
export function createJsonAnswer(
  value: unknown,
  statusCode = 200,
  headers: Record<string, string> = {},
): StandInAnswer {
  return {
    statusCode,
    headers: {'content-type': 'application/json', ...headers},
    body: JSON.stringify(value),
  };
}

/**
 * Parses and validates a JSON body.
 *
 * @param body - bytes of the body; an empty body counts as `{}`
 * @param validate - validator that is generated from the schema
 * @throws StatusError with status 400 when the body is not valid
 */
export function parseBody<T>(
  body: Buffer,
  validate: (value: unknown) => Result<T, FieldError>,
): T {
  const validated = validate(parseJson(body));
  if (validated.isOk()) return validated.value;
  throw new StatusError(400, formatFieldError(validated.error));
}

/**
 * Parses a JSON body; an empty body counts as `{}`.
 *
 * @throws StatusError with status 400 when the body is not JSON
 */
export function parseJson(body: Buffer): unknown {
  if (body.length === 0) return {};
  try {
    return JSON.parse(body.toString('utf8'));
  } catch {
    throw new StatusError(400, 'the body is not JSON');
  }
}

/** HTTP server on loopback that dispatches requests by a routing table. */
export class HttpStandIn {
  private readonly server: http.Server;
  private readonly sockets = new Set<Socket>();
  private readonly controlSockets = new WeakSet<Socket>();

  /** @param routes - routes; the first whose method and path match is used */
  constructor(private readonly routes: StandInRoute[]) {
    this.server = http.createServer((incoming, response) => {
      void this.answer(incoming, response);
    });
    this.server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
    this.server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.once('close', () => this.sockets.delete(socket));
    });
  }

  /**
   * Starts listening.
   *
   * @param port - port to listen on; 0 lets the system choose
   * @returns the port that the server listens on
   */
  async start(port: number): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, LOOPBACK, resolve);
    });
    return (this.server.address() as AddressInfo).port;
  }

  /**
   * Resets all TCP connections except those that have carried a control request,
   * and keeps listening.
   */
  resetConnections(): void {
    for (const socket of this.sockets) {
      if (!this.controlSockets.has(socket)) socket.resetAndDestroy();
    }
  }

  /** Stops listening and closes all connections. */
  async close(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
      this.server.closeAllConnections();
    });
  }

  private async answer(
    incoming: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    response.on('error', () => undefined);
    try {
      const answer = await this.dispatch(incoming, response);
      if (answer === undefined || response.destroyed) return;
      response.writeHead(answer.statusCode, answer.headers);
      response.end(answer.body);
    } catch (thrown) {
      sendFailure(response, thrown);
    }
  }

  private async dispatch(
    incoming: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<StandInAnswer | undefined> {
    const method = incoming.method ?? 'GET';
    const url = new URL(incoming.url ?? '/', `http://${LOOPBACK}`);
    if (url.pathname.startsWith(CONTROL_PATH_PREFIX)) {
      this.controlSockets.add(incoming.socket);
    }
    const body = await readBody(incoming);
    for (const route of this.routes) {
      if (route.method !== undefined && route.method !== method) continue;
      const match = route.path.exec(url.pathname);
      if (match === null) continue;
      const groups = match.slice(1).map((part) => decodeURIComponent(part));
      const headers = incoming.headers;
      return route.handle({method, url, headers, body, groups, response});
    }
    return createJsonAnswer({error: {code: 'not_found'}}, 404);
  }
}

async function readBody(incoming: http.IncomingMessage): Promise<Buffer> {
  const parts: Buffer[] = [];
  for await (const part of incoming) parts.push(part as Buffer);
  return Buffer.concat(parts);
}

function sendFailure(response: http.ServerResponse, thrown: unknown): void {
  if (response.headersSent || response.destroyed) {
    response.destroy();
    return;
  }
  const statusCode = thrown instanceof StatusError ? thrown.statusCode : 500;
  const message = thrown instanceof Error ? thrown.message : String(thrown);
  response.writeHead(statusCode, {'content-type': 'application/json'});
  response.end(JSON.stringify({error: {message}}));
}
