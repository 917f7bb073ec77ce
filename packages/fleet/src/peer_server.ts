/** WebSocket server for the connections of other daemons. */
import {type Clock, readPendingInput} from '@savoryspur/common';
import type {PeerInfo} from '@savoryspur/schema';
import type {AnyRouter} from '@trpc/server';
import {applyWSSHandler} from '@trpc/server/adapters/ws';
import {
  createServer,
  type IncomingMessage,
  type Server as HttpServer,
} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import {type WebSocket, WebSocketServer} from 'ws';
import {
  IdentityRole,
  NONCE_HEADER,
  signIdentity,
  verifyIdentity,
} from './peer_identity.js';
import {
  MAX_STREAM_HEADER_BYTES,
  serveStream,
  StreamBodies,
  type StreamTable,
} from './peer_streams.js';
import {answerMessage, type ProcedureTable} from './procedures.js';
import type {PeerContext} from './trpc.js';

/** Dependencies and settings of {@link PeerServer}. */
export interface PeerServerOptions {
  /** IP address to bind to. */
  address: string;
  /** Port to bind to; with 0 the system chooses one. */
  port: number;
  /** Secret shared by the daemons of the fleet. */
  secret: string;
  /**
   * Gets the time without a message after which a connection is closed,
   * milliseconds.
   */
  getIdleTimeoutMs: () => number;
  clock: Clock;
  /** Number of connections at most; no limit by default. */
  maxConnections?: number;
  /** Gets the identity and address of this daemon. */
  getSelf: () => PeerInfo;
  /** Called for each authenticated connection. */
  onCaller?: (caller: PeerInfo) => void;
}

/** HTTP status of requests that are no WebSocket upgrade. */
const STATUS_UPGRADE_REQUIRED = 426;

/** Largest message between daemons, bytes. */
const MAX_MESSAGE_BYTES = 16 * 1024 * 1024;

/** Accepts connections of other daemons and serves a router over them. */
export class PeerServer {
  private readonly http: HttpServer;
  private readonly lastReceivedMsBySocket = new Map<WebSocket, number>();
  private readonly callers = new WeakMap<IncomingMessage, PeerInfo>();
  private readonly webSockets: WebSocketServer;
  private readonly stopped = new AbortController();
  private readonly bodies = new StreamBodies();
  private streams: StreamTable = new Map();

  /**
   * @param options - address, secret and time limits
   */
  constructor(private readonly options: PeerServerOptions) {
    const settings = {maxHeaderSize: MAX_STREAM_HEADER_BYTES, noDelay: true};
    this.http = createServer(settings, (request, response) => {
      const {streams, bodies} = this;
      if (serveStream(streams, options, request, response, bodies)) return;
      request.resume();
      response.writeHead(STATUS_UPGRADE_REQUIRED).end();
    });
    if (options.maxConnections !== undefined) {
      this.http.maxConnections = options.maxConnections;
    }
    // With this listener Node.js does not close idle connections itself.
    this.http.on('timeout', (socket: Socket) => {
      void closeIdleConnection(socket);
    });
    this.webSockets = new WebSocketServer({
      noServer: true,
      perMessageDeflate: false,
      maxPayload: MAX_MESSAGE_BYTES,
    });
    this.webSockets.on('headers', (headers, request) => {
      headers.push(...this.listIdentityHeaders(request));
    });
  }

  /**
   * Listens and serves.
   *
   * @param procedures - procedures that other daemons may call, as a lookup table
   *     or as a tRPC router
   * @param streams - handlers of streamed calls
   * @returns the port that was bound
   */
  async start(
    procedures: ProcedureTable | AnyRouter,
    streams: StreamTable = new Map(),
  ): Promise<number> {
    this.streams = streams;
    if (procedures instanceof Map) this.serveTable(procedures);
    else this.serveRouter(procedures as AnyRouter);
    this.http.on('upgrade', (request, socket, head) => {
      const caller = this.authenticateCaller(request);
      if (caller === undefined) return refuseUpgrade(socket);
      this.callers.set(request, caller);
      this.options.onCaller?.(caller);
      this.webSockets.handleUpgrade(request, socket, head, (webSocket) => {
        this.trackSocket(webSocket);
        this.webSockets.emit('connection', webSocket, request);
      });
    });
    await new Promise<void>((resolve, reject) => {
      this.http.once('error', reject);
      this.http.listen(this.options.port, this.options.address, resolve);
    });
    void this.closeIdleSockets();
    return (this.http.address() as AddressInfo).port;
  }

  private serveRouter(router: AnyRouter): void {
    applyWSSHandler({
      wss: this.webSockets,
      router,
      createContext: ({req}) => this.createContext(req),
      onError: () => undefined,
    });
  }

  private serveTable(table: ProcedureTable): void {
    this.webSockets.on('connection', (socket, request) => {
      const {caller} = this.createContext(request);
      socket.on('message', (data) => {
        void answerMessage(table, String(data), caller).then((answer) => {
          if (answer === undefined) socket.terminate();
          else if (socket.readyState === socket.OPEN) socket.send(answer);
        });
      });
    });
  }

  /** Closes the server and all connections. */
  async stop(): Promise<void> {
    this.stopped.abort();
    for (const socket of this.lastReceivedMsBySocket.keys()) socket.terminate();
    this.http.closeAllConnections();
    if (!this.http.listening) return;
    await new Promise<void>((resolve) => this.http.close(() => resolve()));
  }

  private createContext(request: IncomingMessage): PeerContext {
    const caller = this.callers.get(request);
    if (caller === undefined) throw new Error('caller is not authenticated');
    return {caller};
  }

  private authenticateCaller(request: IncomingMessage): PeerInfo | undefined {
    const nonce = request.headers[NONCE_HEADER];
    if (typeof nonce !== 'string') return undefined;
    return verifyIdentity(
      request.headers,
      IdentityRole.CALLER,
      nonce,
      this.options.secret,
    );
  }

  private listIdentityHeaders(request: IncomingMessage): string[] {
    const nonce = String(request.headers[NONCE_HEADER]);
    const headers = signIdentity(
      this.options.getSelf(),
      IdentityRole.SERVER,
      nonce,
      this.options.secret,
    );
    return Object.entries(headers).map(([name, value]) => `${name}: ${value}`);
  }

  private trackSocket(socket: WebSocket): void {
    const {clock} = this.options;
    this.lastReceivedMsBySocket.set(socket, clock.now());
    socket.on('message', () =>
      this.lastReceivedMsBySocket.set(socket, clock.now()),
    );
    socket.on('error', () => socket.terminate());
    socket.on('close', () => this.lastReceivedMsBySocket.delete(socket));
  }

  private async closeIdleSockets(): Promise<void> {
    const {clock, getIdleTimeoutMs} = this.options;
    while (!this.stopped.signal.aborted) {
      const idleTimeoutMs = getIdleTimeoutMs();
      await clock.sleep(idleTimeoutMs / 2, this.stopped.signal);
      const oldestReceiveMs = clock.now() - idleTimeoutMs;
      for (const [socket, lastReceivedMs] of this.lastReceivedMsBySocket) {
        if (lastReceivedMs < oldestReceiveMs) socket.terminate();
      }
    }
  }
}

/** Closes a connection for streamed calls whose idle timeout has ended, unless more bytes have arrived on it. */
async function closeIdleConnection(socket: Socket): Promise<void> {
  const {bytesRead} = socket;
  await readPendingInput();
  if (socket.bytesRead === bytesRead) socket.destroy();
}

function refuseUpgrade(socket: Duplex): void {
  socket.end('HTTP/1.1 401 Unauthorized\r\nConnection: close\r\n\r\n');
}
