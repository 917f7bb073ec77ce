/** One connection to another daemon, and the calls in flight on it. */
import {
  type Clock,
  ErrorCode,
  SavoryspurError,
  Timeout,
} from '@savoryspur/common';
import type {PeerInfo} from '@savoryspur/schema';
import {randomUUID} from 'node:crypto';
import {WebSocket} from 'ws';
import {
  IdentityRole,
  NONCE_HEADER,
  signIdentity,
  verifyIdentity,
} from './peer_identity.js';

/** Answer of a procedure in the tRPC wire format. */
export interface WireAnswer {
  id: number;
  result?: {type?: string; data?: unknown};
  error?: {message: string; code: number; data?: {code?: string}};
}

/** Dependencies and settings of {@link PeerConnection}. */
export interface PeerConnectionOptions {
  /** Secret shared by the daemons of the fleet. */
  secret: string;
  /** Time limit of connecting, handshake included, milliseconds. */
  connectTimeoutMs: number;
  clock: Clock;
  /** Gets the identity and address of this daemon. */
  getSelf: () => PeerInfo;
}

/** Callbacks that end one call in flight. */
interface PendingCall {
  finish: (answer: WireAnswer) => void;
  fail: (error: Error) => void;
}

/** Thrown when a call ends without an answer. */
export class ConnectionLostError extends Error {}

/** Thrown when a call is not answered within its timeout. */
export class CallTimeoutError extends Error {}

/** Open connection to one incarnation of another daemon. */
export class PeerConnection {
  private readonly pending = new Map<number, PendingCall>();
  private nextId = 1;
  private isOpen = true;
  private isDraining = false;
  private lastReceivedMs: number;
  private lastUsedMs: number;
  /** Number of answers that matched no call in flight. */
  lateAnswers = 0;

  private constructor(
    private readonly socket: WebSocket,
    /** The daemon at the other end. */
    readonly peer: PeerInfo,
    private readonly clock: Clock,
  ) {
    this.lastReceivedMs = clock.now();
    this.lastUsedMs = this.lastReceivedMs;
    socket.on('message', (data) => this.handleMessage(String(data)));
    socket.on('close', () => this.close());
    socket.on('error', () => this.close());
  }

  /**
   * Opens a connection and verifies the identity of the daemon that accepts it.
   *
   * @param target - the daemon to connect to
   * @param options - secret, timeout and own identity
   * @throws SavoryspurError with code UNAUTHENTICATED when another daemon, or
   *     one without a valid signature, accepts the connection
   */
  static async open(
    target: PeerInfo,
    options: PeerConnectionOptions,
  ): Promise<PeerConnection> {
    const nonce = randomUUID();
    const socket = new WebSocket(`ws://${target.address}:${target.peerPort}`, {
      headers: signIdentity(
        options.getSelf(),
        IdentityRole.CALLER,
        nonce,
        options.secret,
      ),
      perMessageDeflate: false,
    });
    let verifiedPeer: PeerInfo | undefined;
    socket.on('upgrade', (response) => {
      const headers = {...response.headers, [NONCE_HEADER]: nonce};
      verifiedPeer = verifyIdentity(
        headers,
        IdentityRole.SERVER,
        nonce,
        options.secret,
      );
    });
    await waitUntilOpen(socket, options.connectTimeoutMs);
    if (verifiedPeer === undefined || verifiedPeer.host !== target.host) {
      socket.terminate();
      throw new SavoryspurError(
        ErrorCode.UNAUTHENTICATED,
        {step: 'peer.connect', peer: target.host},
        `the daemon that accepted the connection has the wrong identity: ${verifiedPeer?.host ?? 'no valid signature'}`,
      );
    }
    return new PeerConnection(socket, verifiedPeer, options.clock);
  }

  /**
   * Sends one call.
   *
   * @param method - `query` or `mutation`
   * @param path - name of the procedure
   * @param input - input of the procedure
   * @param signal - aborts the call; a later answer is dropped
   * @returns the answer; rejects with {@link ConnectionLostError} without one
   */
  request(
    method: string,
    path: string,
    input: unknown,
    signal?: AbortSignal | null,
  ): Promise<WireAnswer> {
    if (signal?.aborted) {
      return Promise.reject(new ConnectionLostError('the call was aborted'));
    }
    return this.sendCall(method, path, input, (fail) => {
      const abort = (): void =>
        fail(new ConnectionLostError('the call was aborted'));
      signal?.addEventListener('abort', abort, {once: true});
      return () => signal?.removeEventListener('abort', abort);
    });
  }

  /**
   * Sends one call with a timeout. Costs less than {@link request}, since the call
   * needs no abort signal.
   *
   * @param path - name of the procedure
   * @param input - input of the procedure
   * @param timeoutMs - longest wait for the answer, milliseconds
   * @returns the answer; rejects with {@link ConnectionLostError} when the
   *     connection ends, and with {@link CallTimeoutError} after the timeout
   */
  requestWithin(
    path: string,
    input: unknown,
    timeoutMs: number,
  ): Promise<WireAnswer> {
    const sentMs = this.clock.now();
    return this.sendCall('mutation', path, input, (fail) => {
      const timeout = new Timeout(timeoutMs, () => {
        fail(new CallTimeoutError(`no answer within ${timeoutMs} ms`));
        this.drain(sentMs);
      });
      return () => timeout.cancel();
    });
  }

  /**
   * Sends one call and keeps it in flight until it ends.
   *
   * @param method - `query` or `mutation`
   * @param path - name of the procedure
   * @param input - input of the procedure
   * @param watch - arranges that the call may fail early; returns how to undo that
   */
  private sendCall(
    method: string,
    path: string,
    input: unknown,
    watch: (fail: (error: Error) => void) => () => void,
  ): Promise<WireAnswer> {
    if (!this.isOpen) {
      return Promise.reject(
        new ConnectionLostError('the connection is closed'),
      );
    }
    const id = this.nextId++;
    return new Promise((resolve, reject) => {
      const cleanUp = (): void => {
        stopWatching();
        this.pending.delete(id);
        this.closeIfDrained();
      };
      const fail = (error: Error): void => {
        cleanUp();
        reject(error);
      };
      const finish = (answer: WireAnswer): void => {
        cleanUp();
        resolve(answer);
      };
      const stopWatching = watch(fail);
      this.pending.set(id, {finish, fail});
      this.lastUsedMs = this.clock.now();
      this.socket.send(JSON.stringify({id, method, params: {path, input}}));
    });
  }

  /**
   * Tells whether new calls may use the connection.
   *
   * @param idleReuseMs - longest idle time after which the connection is
   *     reused, milliseconds
   */
  isUsable(idleReuseMs: number): boolean {
    if (!this.isOpen || this.isDraining) return false;
    if (this.pending.size > 0) return true;
    return this.clock.now() - this.lastUsedMs <= idleReuseMs;
  }

  /**
   * Drains the connection: it accepts no new calls and is closed after its last
   * call. After a timeout it is closed at once when nothing was received since
   * the call that timed out was sent.
   *
   * @param sentMs - when the call that timed out was sent, monotonic
   *     milliseconds
   */
  drain(sentMs = Number.NEGATIVE_INFINITY): void {
    this.isDraining = true;
    if (this.lastReceivedMs < sentMs) this.close();
    else this.closeIfDrained();
  }

  /** Closes the connection and fails its calls. */
  close(): void {
    if (!this.isOpen) return;
    this.isOpen = false;
    this.socket.terminate();
    const calls = [...this.pending.values()];
    for (const call of calls) {
      call.fail(new ConnectionLostError('the connection was lost'));
    }
  }

  private closeIfDrained(): void {
    if (this.isDraining && this.pending.size === 0) this.close();
  }

  private handleMessage(text: string): void {
    this.lastReceivedMs = this.clock.now();
    const answer = parseAnswer(text);
    if (answer === undefined) {
      this.close();
      return;
    }
    const call = this.pending.get(answer.id);
    if (call === undefined) this.lateAnswers += 1;
    else call.finish(answer);
  }
}

/** Parses an answer; gives undefined for bytes that are none. */
function parseAnswer(text: string): WireAnswer | undefined {
  try {
    const value: unknown = JSON.parse(text);
    const isAnswer = typeof value === 'object' && value !== null;
    return isAnswer ? (value as WireAnswer) : undefined;
  } catch {
    return undefined;
  }
}

function waitUntilOpen(socket: WebSocket, timeoutMs: number): Promise<void> {
  return new Promise((resolve, reject) => {
    const timeout = new Timeout(timeoutMs, () => {
      reject(new Error(`no connection within ${timeoutMs} ms`));
      socket.terminate();
    });
    socket.once('open', () => {
      timeout.cancel();
      resolve();
    });
    socket.once('error', (error) => {
      timeout.cancel();
      socket.terminate();
      reject(error);
    });
  });
}
