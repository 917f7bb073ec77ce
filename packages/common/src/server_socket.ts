/** Connections to servers, whose ends and resets undici handles correctly. */
import net from 'node:net';
import {connectSocket} from './connect_socket.js';
import {Timeout} from './timeout.js';

/** Time within which a pending write fails after a reset, milliseconds. */
const RESET_NOTICE_MS = 200;

/** Error code of a connection that its peer has reset. */
const CONNECTION_RESET = 'CONNECTION_RESET';

/**
 * Socket that reports every reset as an error that undici does not take for
 * the end of an answer without a length, and its end only while undici reads:
 * an end while its parser is paused raises an assertion error.
 */
export class ServerSocket extends net.Socket {
  /** Whether a write shows whether the peer has ended or reset the connection. */
  private isEndChecked = false;
  /** Whether the peer has ended the connection and undici was not yet told. */
  private isEndPending = false;

  /**
   * Adds received bytes to the buffer; null ends them. When bytes and a reset
   * arrive together, libuv reports an end, and only a write shows the reset:
   * after all earlier ones, such as the rest of an upload.
   */
  override push(chunk: unknown, encoding?: BufferEncoding): boolean {
    if (chunk !== null) return super.push(chunk, encoding);
    if (this.isEndChecked) return false;
    this.isEndChecked = true;
    if (this.writableLength === 0) {
      if (this.errored === null) this.write('');
      return this.errored === null && this.finishInput();
    }
    let isFinished = false;
    const finish = (): void => {
      timeout.cancel();
      if (isFinished || this.errored !== null) return;
      isFinished = true;
      this.finishInput();
    };
    // A reset fails the pending write at once; a peer that has ended may never read it.
    const timeout = new Timeout(RESET_NOTICE_MS, finish);
    this.write('', (error) => {
      timeout.cancel();
      if (!error) finish();
    });
    return false;
  }

  /** Ends the input, once undici reads. */
  private finishInput(): boolean {
    if (this.listenerCount('readable') === 0) return super.push(null);
    this.isEndPending = true;
    this.emit('readable');
    return false;
  }

  /** Takes bytes from the buffer; the first read of an empty buffer after the end ends the socket. */
  override read(size?: number): unknown {
    const chunk: unknown = super.read(size);
    if (chunk !== null || size === 0 || !this.isEndPending) return chunk;
    this.isEndPending = false;
    super.push(null);
    return super.read(0);
  }
}

/** Where undici connects to. */
export interface ConnectTarget {
  hostname: string;
  port: string;
  protocol: string;
}

/** Called with the connection, or with the reason for which there is none. */
export type ConnectCallback = (
  ...result: [error: null, socket: net.Socket] | [error: Error, socket: null]
) => void;

/** Establishes connections for undici. */
export type Connector<TTarget extends ConnectTarget> = (
  target: TTarget,
  done: ConnectCallback,
) => void;

/** Default port of HTTP. */
const HTTP_PORT = 80;

/** Idle time of a TCP connection before the first keep-alive probe, milliseconds. */
const TCP_KEEP_ALIVE_DELAY_MS = 1000;

/**
 * Creates the connector of an undici client, so that an answer without a length
 * that is reset is not taken for complete.
 *
 * @param timeoutMs - time limit for a connection, milliseconds
 * @param connectTls - establishes encrypted connections; the resets of these are
 *     recognized unless they arrive together with the last bytes
 */
export function createConnector<TTarget extends ConnectTarget>(
  timeoutMs: number,
  connectTls: Connector<TTarget>,
): Connector<TTarget> {
  return (target, done) => {
    if (target.protocol === 'https:') {
      connectTls(target, (...result) => {
        result[1]?.on('error', replaceResetCode);
        done(...result);
      });
      return;
    }
    const {hostname, port} = target;
    connectServerSocket(
      {host: hostname, port: Number(port) || HTTP_PORT},
      timeoutMs,
    ).then(
      (socket) => done(null, socket),
      (thrown: unknown) => done(thrown as Error, null),
    );
  };
}

/**
 * Connects to a server.
 *
 * @param target - host and port to connect to
 * @param timeoutMs - time limit, milliseconds
 * @returns the connection; rejects with ConnectFailedError
 */
export async function connectServerSocket(
  target: {host: string; port: number},
  timeoutMs: number,
): Promise<ServerSocket> {
  const socket = new ServerSocket();
  socket.setNoDelay(true);
  socket.setKeepAlive(true, TCP_KEEP_ALIVE_DELAY_MS);
  await connectSocket(socket, target, timeoutMs);
  socket.on('error', replaceResetCode);
  return socket;
}

/**
 * Replaces the error code of a reset connection: undici takes an answer without
 * a length for complete when the code is ECONNRESET.
 */
function replaceResetCode(error: NodeJS.ErrnoException): void {
  if (error.code === 'ECONNRESET') error.code = CONNECTION_RESET;
}
