/**
 * Calls between daemons whose answers are streams of bytes: HTTP requests on the
 * port of the peer server. A value precedes the answer's bytes and another one
 * follows them; an answer without the latter is incomplete.
 */
import {
  ByteCollector,
  ConnectFailedError,
  connectSocket,
  writeBytes,
} from '@savoryspur/common';
import type {PeerInfo} from '@savoryspur/schema';
import {randomUUID} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import net from 'node:net';
import {Agent, type buildConnector, type Dispatcher} from 'undici';
import {
  IdentityRole,
  NONCE_HEADER,
  signIdentity,
  verifyIdentity,
} from './peer_identity.js';

/** Prefix of the paths of streamed calls. */
const PATH_PREFIX = '/streams/';

/** Header with the input of a call. */
const INPUT_HEADER = 'x-savoryspur-input';

/** Header with the value that precedes the bytes of an answer. */
const HEAD_HEADER = 'x-savoryspur-head';

/** Trailer with the value that follows the bytes of an answer. */
const END_TRAILER = 'x-savoryspur-end';

/** Largest headers of a streamed call or answer, bytes: they carry the headers of a caller's request. */
export const MAX_STREAM_HEADER_BYTES = 128 * 1024;

/** Memory of the bodies of all calls that a daemon answers, bytes: some of the largest that callers send. */
const MAX_BODIES_BYTES = 16 * 1024 * 1024;

/** Time without a byte after which a call whose body is unfinished is ended, milliseconds. */
const BODY_PROGRESS_TIMEOUT_MS = 10_000;

const STATUS_OK = 200;
const STATUS_UNAUTHORIZED = 401;
const STATUS_NOT_FOUND = 404;
const STATUS_UNAVAILABLE = 503;

/** Thrown when a daemon was not reached or refused a call, which it has not begun. */
export class StreamRefusedError extends Error {}

/** Thrown when a call was lost after it was sent, so that the daemon may have begun it. */
export class StreamLostError extends Error {}

/** A streamed call as the called daemon gets it. */
export interface StreamCall {
  /** Input of the call, not validated yet. */
  input: unknown;
  body: Buffer;
  /** The daemon that made the call. */
  caller: PeerInfo;
  /** Aborted when the calling daemon no longer wants the answer. */
  signal: AbortSignal;
}

/** Writes the answer to a streamed call. */
export interface StreamWriter {
  /** Refuses a call that has not begun. */
  refuse(reason: string): void;
  /** Sends the value that precedes the bytes. */
  begin(head: unknown): void;
  /** Sends bytes; resolves once the connection can take more. */
  write(bytes: Buffer): Promise<void>;
  /**
   * Completes the answer with the value that follows the bytes; resolves once the
   * connection has taken all of it, or is closed.
   */
  end(end: unknown): Promise<void>;
}

/** Answers a streamed call. */
export type StreamHandler = (
  call: StreamCall,
  writer: StreamWriter,
) => Promise<void>;

/** Handlers of streamed calls by name. */
export type StreamTable = ReadonlyMap<string, StreamHandler>;

/** Answer to a streamed call. */
export interface PeerStream {
  /** Value that precedes the bytes, not validated yet. */
  head: unknown;
  /** Bytes of the answer; fails with {@link StreamLostError} when they end early. */
  body: AsyncIterable<Buffer>;
  /** Gets the value that follows the bytes, once these have been read; not validated yet. */
  getEnd(): unknown;
  /** Discards the rest of the answer, and ends the call at the called daemon. */
  drop(): void;
}

/** Secret and identity of a daemon. */
export interface StreamIdentity {
  /** Secret shared by the daemons of the fleet. */
  secret: string;
  /** Gets the identity and address of this daemon. */
  getSelf: () => PeerInfo;
}

/**
 * Answers an HTTP request if it is a streamed call.
 *
 * @returns whether it is one
 */
export function serveStream(
  table: StreamTable,
  identity: StreamIdentity,
  request: IncomingMessage,
  response: ServerResponse,
  bodies: StreamBodies,
): boolean {
  if (!request.url?.startsWith(PATH_PREFIX)) return false;
  const nonce = String(request.headers[NONCE_HEADER] ?? '');
  const caller = verifyIdentity(
    request.headers,
    IdentityRole.CALLER,
    nonce,
    identity.secret,
  );
  const handler = table.get(request.url.slice(PATH_PREFIX.length));
  if (!caller || !handler) {
    request.resume();
    response
      .writeHead(caller ? STATUS_NOT_FOUND : STATUS_UNAUTHORIZED)
      .end(caller ? 'unknown call' : 'the caller is not authenticated');
    return true;
  }
  const headers = signIdentity(
    identity.getSelf(),
    IdentityRole.SERVER,
    nonce,
    identity.secret,
  );
  const writer = new ResponseStreamWriter(response, headers);
  const gone = new AbortController();
  response.once('close', () => {
    if (!response.writableFinished) gone.abort();
  });
  response.on('error', () => gone.abort());
  void bodies
    .read(request, response)
    .then((body) => {
      if (!body) {
        request.resume();
        return writer.refuse('this daemon has no memory for the body');
      }
      const input = decodeValue(request.headers[INPUT_HEADER]);
      return handler({input, body, caller, signal: gone.signal}, writer);
    })
    // The calling daemon sees its connection end, and logs that the call was lost.
    .catch(() => response.destroy());
  return true;
}

/** Limits the memory of the bodies of all streamed calls that a daemon answers. */
export class StreamBodies {
  private usedBytes = 0;

  /**
   * @param maxBytes - memory of all bodies, bytes
   */
  constructor(private readonly maxBytes = MAX_BODIES_BYTES) {}

  /**
   * Reads the body of a call. Its memory is returned when the answer is closed.
   *
   * @returns the body; undefined when there is no memory for it. Rejects when the
   *     connection ends before the body, or the body makes no progress
   */
  async read(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<Buffer | undefined> {
    const collector = new ByteCollector();
    let reservedBytes = 0;
    const release = (): void => {
      this.usedBytes -= reservedBytes;
      reservedBytes = 0;
    };
    response.once('close', release);
    request.setTimeout(BODY_PROGRESS_TIMEOUT_MS, () => request.destroy());
    for await (const part of request.iterator({destroyOnReturn: false})) {
      collector.add(part as Buffer);
      const growth = collector.allocatedBytes - reservedBytes;
      if (this.usedBytes + growth > this.maxBytes) {
        release();
        return undefined;
      }
      this.usedBytes += growth;
      reservedBytes += growth;
    }
    request.setTimeout(0);
    if (response.closed) release();
    return collector.take();
  }
}

/** Writes the answer to a streamed call to an HTTP response. */
class ResponseStreamWriter implements StreamWriter {
  constructor(
    private readonly response: ServerResponse,
    private readonly identityHeaders: Record<string, string>,
  ) {}

  /** {@inheritDoc StreamWriter.refuse} */
  refuse(reason: string): void {
    this.response
      .writeHead(STATUS_UNAVAILABLE, this.identityHeaders)
      .end(reason);
  }

  /** {@inheritDoc StreamWriter.begin} */
  begin(head: unknown): void {
    if (this.response.destroyed) return;
    this.response.writeHead(STATUS_OK, {
      ...this.identityHeaders,
      [HEAD_HEADER]: encodeValue(head),
      trailer: END_TRAILER,
    });
    this.response.flushHeaders();
  }

  /** {@inheritDoc StreamWriter.write} */
  write(bytes: Buffer): Promise<void> {
    return writeBytes(this.response, bytes);
  }

  /** {@inheritDoc StreamWriter.end} */
  end(end: unknown): Promise<void> {
    const {response} = this;
    if (response.destroyed) return Promise.resolve();
    response.addTrailers({[END_TRAILER]: encodeValue(end)});
    return new Promise((resolve) => {
      response.once('close', resolve);
      response.end();
    });
  }
}

/** Settings of {@link PeerStreamClient}. */
export interface PeerStreamClientOptions extends StreamIdentity {
  /** Time limit of connecting, milliseconds. */
  connectTimeoutMs: number;
}

/** Makes streamed calls to other daemons. */
export class PeerStreamClient {
  private readonly agent: Agent;

  /**
   * @param options - secret, own identity and time limit
   */
  constructor(private readonly options: PeerStreamClientOptions) {
    this.agent = new Agent({
      connect: createConnector(options.connectTimeoutMs),
      headersTimeout: 0,
      bodyTimeout: 0,
      pipelining: 1,
      maxHeaderSize: MAX_STREAM_HEADER_BYTES,
    });
  }

  /**
   * Makes a call and waits for the head of the answer.
   *
   * @param peer - the daemon to call
   * @param name - name of the call
   * @param input - input of the call
   * @param body - bytes that go with the input
   * @param signal - ends the call, also at the called daemon
   * @returns the answer; rejects with {@link StreamRefusedError} when the daemon
   *     has not begun the call, and with {@link StreamLostError} when it may have
   */
  async open(
    peer: PeerInfo,
    name: string,
    input: unknown,
    body: Buffer,
    signal: AbortSignal,
  ): Promise<PeerStream> {
    const nonce = randomUUID();
    let answer: Dispatcher.ResponseData;
    try {
      answer = await this.agent.request({
        origin: `http://${peer.address}:${peer.peerPort}`,
        path: `${PATH_PREFIX}${name}`,
        method: 'POST',
        headers: {
          ...signIdentity(
            this.options.getSelf(),
            IdentityRole.CALLER,
            nonce,
            this.options.secret,
          ),
          [INPUT_HEADER]: encodeValue(input),
        },
        body,
        signal,
      });
    } catch (thrown) {
      throw describeFailure(thrown);
    }
    return this.readAnswer(peer, nonce, answer);
  }

  /** Closes all connections and ends their calls. */
  async stop(): Promise<void> {
    await this.agent.destroy();
  }

  private async readAnswer(
    peer: PeerInfo,
    nonce: string,
    answer: Dispatcher.ResponseData,
  ): Promise<PeerStream> {
    const {body, headers, statusCode} = answer;
    body.on('error', () => undefined);
    const answering = verifyIdentity(
      headers,
      IdentityRole.SERVER,
      nonce,
      this.options.secret,
    );
    if (!answering) {
      body.destroy();
      // A daemon signs the answer to each call that it begins.
      throw new StreamRefusedError(
        `${peer.host} answered with status ${statusCode} and no valid signature`,
      );
    }
    if (statusCode !== STATUS_OK) {
      throw new StreamRefusedError(await body.text());
    }
    if (answering.host !== peer.host) {
      body.destroy();
      throw new StreamLostError(
        `${answering.host} answered a call to ${peer.host}`,
      );
    }
    return {
      head: decodeValue(headers[HEAD_HEADER]),
      body: readBody(answer),
      getEnd: () => decodeValue(answer.trailers[END_TRAILER]),
      drop: () => body.destroy(),
    };
  }
}

async function* readBody(
  answer: Dispatcher.ResponseData,
): AsyncGenerator<Buffer, void, void> {
  try {
    for await (const bytes of answer.body) yield bytes as Buffer;
  } catch (thrown) {
    throw describeFailure(thrown);
  }
}

function describeFailure(thrown: unknown): StreamRefusedError {
  const {message} = thrown as Error;
  return thrown instanceof ConnectFailedError
    ? new StreamRefusedError(message)
    : new StreamLostError(message);
}

function createConnector(timeoutMs: number): buildConnector.connector {
  return ({hostname, port}, done) => {
    const target = {host: hostname, port: Number(port)};
    const socket = new net.Socket();
    socket.setNoDelay(true);
    connectSocket(socket, target, timeoutMs).then(
      (connected) => done(null, connected),
      (thrown: unknown) => done(thrown as Error, null),
    );
  };
}

function encodeValue(value: unknown): string {
  return Buffer.from(JSON.stringify(value)).toString('base64url');
}

/** Decodes a value; gives undefined for bytes that are none, which every schema rejects. */
function decodeValue(text: string | string[] | undefined): unknown {
  if (typeof text !== 'string') return undefined;
  try {
    return JSON.parse(Buffer.from(text, 'base64url').toString('utf8'));
  } catch {
    return undefined;
  }
}
