/** An HTTP server in the test process whose handler can misbehave. */
import http from 'node:http';
import type {AddressInfo, Socket} from 'node:net';

/** One request as the server received it. */
export interface SeenRequest {
  method: string;
  path: string;
  headers: http.IncomingHttpHeaders;
  body: string;
  /** Number of the connection of the request, from 1. */
  connection: number;
}

/** Answers one request. */
export type FaultyHandler = (
  request: SeenRequest,
  answer: http.ServerResponse,
) => void;

/** HTTP server that answers requests by the handler of the test. */
export class FaultyServer {
  readonly seen: SeenRequest[] = [];
  private readonly connections = new Map<Socket, number>();
  private readonly server: http.Server;

  constructor(public handler: FaultyHandler) {
    this.server = http.createServer((request, answer) => {
      const parts: Buffer[] = [];
      request.on('data', (part: Buffer) => parts.push(part));
      request.on('end', () => {
        const seen = {
          method: request.method ?? '',
          path: request.url ?? '',
          headers: request.headers,
          body: Buffer.concat(parts).toString(),
          connection: this.connections.get(request.socket) ?? 0,
        };
        this.seen.push(seen);
        this.handler(seen, answer);
      });
    });
    this.server.on('connection', (socket) =>
      this.connections.set(socket, this.connections.size + 1),
    );
  }

  /** Starts on a free port and returns the base URL. */
  async start(): Promise<string> {
    await new Promise<void>((r) => this.server.listen(0, '127.0.0.1', r));
    const {port} = this.server.address() as AddressInfo;
    return `http://127.0.0.1:${port}`;
  }

  /** Closes the server and its connections. */
  async stop(): Promise<void> {
    this.server.closeAllConnections();
    await new Promise<void>((resolve) => this.server.close(() => resolve()));
  }

  /** Lists the requests whose path starts with a prefix. */
  listSeen(prefix: string): SeenRequest[] {
    return this.seen.filter((request) => request.path.startsWith(prefix));
  }
}

/** Writes the head of an event stream. */
export function writeStreamHead(
  answer: http.ServerResponse,
  requestId: string,
): void {
  answer.writeHead(200, {
    'content-type': 'text/event-stream',
    'x-request-id': requestId,
  });
}

/** Formats one event for each number. */
export function formatEvents(numbers: readonly number[]): string {
  return numbers.map((n) => `id: ${n}\ndata: {"n":${n}}\n\n`).join('');
}
