/** One connection to another daemon, and the calls in flight on it. */
import {type Clock, ErrorCode, SavoryspurError} from '@savoryspur/common';
import type {PeerInfo} from '@savoryspur/schema';
import {randomUUID} from 'node:crypto';
import {WebSocket} from 'ws';
import {
  IdentityRole,
  NONCE_HEADER,
  signIdentity,
  verifyIdentity,
} from './peer_identity.js';

/** Answer of a procedure in the form of the tRPC wire. */
export interface WireAnswer {
  id: number;
  result?: {type?: string; data?: unknown};
  error?: {message: string; code: number; data?: {code?: string}};
}

/** What a connection needs. */
export interface PeerConnectionOptions {
  /** Secret shared by the daemons of the fleet. */
  secret: string;
  /** Bound on the connect with its handshake, milliseconds. */
  connectTimeoutMs: number;
  clock: Clock;
  /** Gets this daemon as the others see it. */
  getSelf: () => PeerInfo;
}

/** Ends one call in flight. */
interface PendingCall {
  settle: (answer: WireAnswer) => void;
  fail: (error: Error) => void;
}

/** Why a call in flight ended without an answer. */
export class ConnectionLostError extends Error {}

/** An open connection to one run of another daemon. */
export class PeerConnection {
  private readonly pending = new Map<number, PendingCall>();
  private nextId = 1;
  private isOpen = true;
  private isDraining = false;
  private lastReceivedMs: number;
  private lastUsedMs: number;
  /** Answers that matched no call in flight. */
  lateAnswers = 0;

  private constructor(
    private readonly socket: WebSocket,
    /** The daemon on the other side. */
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
   * Opens a connection and verifies who answers.
   *
   * @param target - the daemon to reach
   * @param options - secret, bounds and own identity
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
      handshakeTimeout: options.connectTimeoutMs,
      perMessageDeflate: false,
    });
    let server: PeerInfo | undefined;
    socket.on('upgrade', (response) => {
      const headers = {...response.headers, [NONCE_HEADER]: nonce};
      server = verifyIdentity(
        headers,
        IdentityRole.SERVER,
        nonce,
        options.secret,
      );
    });
    await waitUntilOpen(socket);
    if (server === undefined || server.host !== target.host) {
      socket.terminate();
      throw new SavoryspurError(
        ErrorCode.UNAUTHENTICATED,
        {step: 'peer.connect', peer: target.host},
        `another daemon answered: ${server?.host ?? 'not signed'}`,
      );
    }
    return new PeerConnection(socket, server, options.clock);
  }

  /**
   * Sends one call.
   *
   * @param method - `query` or `mutation`
   * @param path - procedure
   * @param input - its input
   * @param signal - ends the wait; a later answer is dropped
   */
  request(
    method: string,
    path: string,
    input: unknown,
    signal?: AbortSignal | null,
  ): Promise<WireAnswer> {
    const id = this.nextId++;
    return new Promise((resolve, reject) => {
      if (!this.isOpen || signal?.aborted) {
        reject(new ConnectionLostError('the connection is closed'));
        return;
      }
      const end = (): void => {
        this.pending.delete(id);
        signal?.removeEventListener('abort', abort);
        this.closeIfDrained();
      };
      const fail = (error: Error): void => {
        end();
        reject(error);
      };
      const abort = (): void => fail(new ConnectionLostError('call ended'));
      const settle = (answer: WireAnswer): void => {
        end();
        resolve(answer);
      };
      signal?.addEventListener('abort', abort, {once: true});
      this.pending.set(id, {settle, fail});
      this.lastUsedMs = this.clock.now();
      this.socket.send(JSON.stringify({id, method, params: {path, input}}));
    });
  }

  /**
   * Tells whether new calls may use the connection.
   *
   * @param idleReuseMs - longest idle time after which it is used again
   */
  isUsable(idleReuseMs: number): boolean {
    if (!this.isOpen || this.isDraining) return false;
    if (this.pending.size > 0) return true;
    return this.clock.now() - this.lastUsedMs <= idleReuseMs;
  }

  /**
   * Takes the connection out of use; it is destroyed after its last call. A
   * connection on which a call timed out is destroyed at once when nothing was
   * received since that call was sent.
   *
   * @param sentMs - when the call that timed out was sent
   */
  drain(sentMs = Number.NEGATIVE_INFINITY): void {
    this.isDraining = true;
    if (this.lastReceivedMs < sentMs) this.close();
    else this.closeIfDrained();
  }

  /** Destroys the connection and fails its calls. */
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
    let answer: WireAnswer;
    try {
      answer = JSON.parse(text) as WireAnswer;
    } catch (thrown) {
      this.close();
      return;
    }
    const call = this.pending.get(answer.id);
    if (call === undefined) this.lateAnswers += 1;
    else call.settle(answer);
  }
}

function waitUntilOpen(socket: WebSocket): Promise<void> {
  return new Promise((resolve, reject) => {
    socket.once('open', resolve);
    socket.once('error', (error) => {
      socket.terminate();
      reject(error);
    });
  });
}
