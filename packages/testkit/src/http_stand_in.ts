/** Small HTTP server with a table of handlers, shared by the stand-ins. */
import http from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {type FieldError, formatFieldError} from '@savoryspur/schema';
import type {Result} from 'neverthrow';

/** Address that all stand-ins listen on. */
export const LOOPBACK = '127.0.0.1';

/** Start of the paths of test control. */
const CONTROL_PREFIX = '/control/';

/** Longest idle time of a connection, milliseconds. */
const KEEP_ALIVE_MS = 60_000;

/** One request with its whole body. */
export interface StandInRequest {
  method: string;
  url: URL;
  headers: http.IncomingHttpHeaders;
  body: Buffer;
  /** Groups of the path pattern, decoded. */
  groups: string[];
  /** The answer, for handlers that write it themselves. */
  response: http.ServerResponse;
}

/** Answer of a handler. */
export interface StandInAnswer {
  statusCode: number;
  headers?: Record<string, string>;
  body?: string | Buffer;
}

/**
 * Handles one request.
 *
 * @returns the answer, or undefined when the handler wrote the response itself
 */
export type StandInHandler = (
  request: StandInRequest,
) => Promise<StandInAnswer | undefined> | StandInAnswer | undefined;

/** Row of a handler table. */
export interface StandInRoute {
  /** HTTP method; absent for any. */
  method?: string;
  /** Pattern of the whole path. */
  path: RegExp;
  handle: StandInHandler;
}

/** A request that a handler refuses with a status. */
export class StatusError extends Error {
  /**
   * @param statusCode - status of the answer
   * @param message - text of the answer
   */
  constructor(
    readonly statusCode: number,
    message: string,
  ) {
    super(message);
  }
}

/** Makes an answer with a JSON body. */
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
 * Parses and checks a JSON body.
 *
 * @param body - bytes of the body; an empty body counts as `{}`
 * @param validate - check of the generated schema
 */
export function parseBody<T>(
  body: Buffer,
  validate: (value: unknown) => Result<T, FieldError>,
): T {
  const checked = validate(parseJson(body));
  if (checked.isOk()) return checked.value;
  throw new StatusError(400, formatFieldError(checked.error));
}

/** Parses a JSON body; an empty body counts as `{}`. */
export function parseJson(body: Buffer): unknown {
  if (body.length === 0) return {};
  try {
    return JSON.parse(body.toString('utf8'));
  } catch {
    throw new StatusError(400, 'the body is not JSON');
  }
}

/** HTTP server on loopback that answers from a table of handlers. */
export class HttpStandIn {
  private readonly server: http.Server;
  private readonly sockets = new Set<Socket>();
  private readonly controlSockets = new WeakSet<Socket>();

  /** @param routes - handlers; the first whose method and path match is taken */
  constructor(private readonly routes: StandInRoute[]) {
    this.server = http.createServer((incoming, response) => {
      void this.answer(incoming, response);
    });
    this.server.keepAliveTimeout = KEEP_ALIVE_MS;
    this.server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.once('close', () => this.sockets.delete(socket));
    });
  }

  /**
   * Starts to listen.
   *
   * @param port - port; 0 lets the system choose
   * @returns the port
   */
  async start(port: number): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, LOOPBACK, resolve);
    });
    return (this.server.address() as AddressInfo).port;
  }

  /** Resets all connections but those of test control; goes on listening. */
  resetConnections(): void {
    for (const socket of this.sockets) {
      if (!this.controlSockets.has(socket)) socket.resetAndDestroy();
    }
  }

  /** Stops listening and breaks all connections. */
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
      const answer = await this.handle(incoming, response);
      if (answer === undefined || response.destroyed) return;
      response.writeHead(answer.statusCode, answer.headers);
      response.end(answer.body);
    } catch (thrown) {
      sendFailure(response, thrown);
    }
  }

  private async handle(
    incoming: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<StandInAnswer | undefined> {
    const method = incoming.method ?? 'GET';
    const url = new URL(incoming.url ?? '/', `http://${LOOPBACK}`);
    if (url.pathname.startsWith(CONTROL_PREFIX)) {
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
