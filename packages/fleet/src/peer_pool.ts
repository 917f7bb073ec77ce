/** Connections to other daemons, and calls with a time limit over them. */
import {
  ErrorCode,
  type ErrorOrigin,
  SavoryspurError,
  toSavoryspurError,
} from '@savoryspur/common';
import type {PeerInfo} from '@savoryspur/schema';
import {createTRPCClient, TRPCClientError, type TRPCClient} from '@trpc/client';
import type {AnyRouter} from '@trpc/server';
import {ResultAsync} from 'neverthrow';
import type {PeerCaller} from './contract.js';
import {
  CallTimeoutError,
  ConnectionLostError,
  PeerConnection,
  type PeerConnectionOptions,
  type WireAnswer,
} from './peer_connection.js';
import {createPeerLink} from './peer_link.js';

/** Dependencies and settings of {@link PeerPool}. */
export interface PeerPoolOptions extends PeerConnectionOptions {
  /** Default time limit of one call once it is connected, milliseconds. */
  callTimeoutMs: number;
  /**
   * Gets the longest idle time after which a connection is reused,
   * milliseconds.
   */
  getMaxIdleMs: () => number;
  /** Called with the daemon to which a connection was opened. */
  onPeer?: (peer: PeerInfo) => void;
  /** Called when a call fails because the daemon did not answer. */
  onFailure?: (peer: PeerInfo) => void;
}

/** Error codes by code of the tRPC error that the peer answered. */
const REMOTE_CODES = new Map<string, ErrorCode>([
  ['BAD_REQUEST', ErrorCode.INVALID_INPUT],
  ['NOT_FOUND', ErrorCode.NOT_FOUND],
  ['CONFLICT', ErrorCode.CONFLICT],
  ['FORBIDDEN', ErrorCode.FORBIDDEN],
  ['TOO_MANY_REQUESTS', ErrorCode.OVERLOADED],
]);

/** An open connection with its typed client. */
interface Channel<TRouter extends AnyRouter> {
  connection: PeerConnection;
  client: TRPCClient<TRouter>;
}

/** Connection that is open or being opened. */
interface PoolEntry<TRouter extends AnyRouter> {
  opening: Promise<Channel<TRouter>>;
  channel?: Channel<TRouter>;
}

/** Calls other daemons over one connection for each of them. */
export class PeerPool<TRouter extends AnyRouter> implements PeerCaller<
  TRPCClient<TRouter>
> {
  private readonly entries = new Map<string, PoolEntry<TRouter>>();

  /**
   * @param options - secret, time limits and own identity
   */
  constructor(private readonly options: PeerPoolOptions) {}

  /** {@inheritDoc PeerCaller.request} */
  request<T>(
    peer: PeerInfo,
    step: string,
    run: (client: TRPCClient<TRouter>, signal: AbortSignal) => Promise<T>,
    timeoutMs = this.options.callTimeoutMs,
  ): ResultAsync<T, SavoryspurError> {
    const origin = {step, peer: peer.host};
    return ResultAsync.fromPromise(
      this.runCall(peer, origin, run, timeoutMs),
      (thrown) => toSavoryspurError(thrown, origin),
    ).mapErr((error) => {
      if (UNREACHABLE_CODES.has(error.code)) this.options.onFailure?.(peer);
      return error;
    });
  }

  /**
   * Calls a procedure of a daemon that serves a lookup table of procedures.
   *
   * @param peer - the daemon to call
   * @param path - name of the procedure; the step that an error reports
   * @param input - input of the procedure
   * @param timeoutMs - time limit once the call is connected, milliseconds
   * @returns the answer, whose type the procedure determines
   */
  call<TAnswer>(
    peer: PeerInfo,
    path: string,
    input: unknown,
    timeoutMs: number,
  ): ResultAsync<TAnswer, SavoryspurError> {
    const origin = {step: path, peer: peer.host};
    return ResultAsync.fromPromise(
      this.runPlainCall(peer, origin, input, timeoutMs),
      (thrown) => toSavoryspurError(thrown, origin),
    ).map((answer) => answer as TAnswer);
  }

  /** Counts the connections that are open or being opened. */
  countConnections(): number {
    return this.entries.size;
  }

  /** Closes all connections and fails their calls. */
  stop(): void {
    for (const entry of this.entries.values()) {
      entry.channel?.connection.close();
    }
    this.entries.clear();
  }

  private async runCall<T>(
    peer: PeerInfo,
    origin: ErrorOrigin,
    run: (client: TRPCClient<TRouter>, signal: AbortSignal) => Promise<T>,
    timeoutMs: number,
  ): Promise<T> {
    const {clock} = this.options;
    const channel = await this.findChannel(peer, origin);
    const sentMs = clock.now();
    const callAborter = new AbortController();
    const timer = new AbortController();
    let hasTimedOut = false;
    void clock.sleep(timeoutMs, timer.signal).then(() => {
      if (timer.signal.aborted) return;
      hasTimedOut = true;
      channel.connection.drain(sentMs);
      callAborter.abort();
    });
    try {
      return await run(channel.client, callAborter.signal);
    } catch (thrown) {
      if (hasTimedOut) throw createTimeout(origin, timeoutMs);
      throw convertFailure(thrown, origin);
    } finally {
      timer.abort();
    }
  }

  private async runPlainCall(
    peer: PeerInfo,
    origin: ErrorOrigin,
    input: unknown,
    timeoutMs: number,
  ): Promise<unknown> {
    const {connection} = await this.findChannel(peer, origin);
    let answer: WireAnswer;
    try {
      answer = await connection.requestWithin(origin.step, input, timeoutMs);
    } catch (thrown) {
      if (thrown instanceof CallTimeoutError) {
        throw createTimeout(origin, timeoutMs);
      }
      throw toSavoryspurError(thrown, origin, ErrorCode.BROKEN_ANSWER);
    }
    if (answer.error === undefined) return answer.result?.data;
    throw createRemoteError(answer.error, origin);
  }

  private async findChannel(
    peer: PeerInfo,
    origin: ErrorOrigin,
  ): Promise<Channel<TRouter>> {
    const key = `${peer.host} ${peer.address}:${peer.peerPort}`;
    let entry = this.entries.get(key);
    const connection = entry?.channel?.connection;
    if (
      connection !== undefined &&
      !connection.isUsable(this.options.getMaxIdleMs())
    ) {
      connection.drain();
      entry = undefined;
    }
    entry ??= this.openEntry(key, peer);
    let channel: Channel<TRouter>;
    try {
      channel = await entry.opening;
    } catch (thrown) {
      throw toSavoryspurError(thrown, origin, ErrorCode.UNAVAILABLE);
    }
    this.checkIncarnation(peer, channel, origin);
    return channel;
  }

  private openEntry(key: string, peer: PeerInfo): PoolEntry<TRouter> {
    const entry: PoolEntry<TRouter> = {opening: this.openChannel(peer)};
    this.entries.set(key, entry);
    entry.opening.then(
      (channel) => {
        entry.channel = channel;
        if (this.entries.get(key) !== entry) channel.connection.close();
        else this.options.onPeer?.(channel.connection.peer);
      },
      () => {
        if (this.entries.get(key) === entry) this.entries.delete(key);
      },
    );
    return entry;
  }

  private async openChannel(peer: PeerInfo): Promise<Channel<TRouter>> {
    const connection = await PeerConnection.open(peer, this.options);
    const client = createTRPCClient<TRouter>({
      links: [createPeerLink<TRouter>(connection)],
    });
    return {connection, client};
  }

  private checkIncarnation(
    peer: PeerInfo,
    channel: Channel<TRouter>,
    origin: ErrorOrigin,
  ): void {
    const found = channel.connection.peer.incarnation;
    if (peer.incarnation === '' || peer.incarnation === found) return;
    throw new SavoryspurError(
      ErrorCode.CONFLICT,
      origin,
      `incarnation ${peer.incarnation} of the daemon was replaced by ${found}`,
    );
  }
}

/** Codes of errors that mean that a daemon cannot be reached. */
const UNREACHABLE_CODES = new Set([
  ErrorCode.UNAVAILABLE,
  ErrorCode.TIMEOUT,
  ErrorCode.BROKEN_ANSWER,
]);

function createTimeout(
  origin: ErrorOrigin,
  timeoutMs: number,
): SavoryspurError {
  return new SavoryspurError(
    ErrorCode.TIMEOUT,
    origin,
    `no answer within ${timeoutMs} ms`,
  );
}

function convertFailure(thrown: unknown, origin: ErrorOrigin): SavoryspurError {
  if (!(thrown instanceof TRPCClientError)) {
    return toSavoryspurError(thrown, origin);
  }
  if (thrown.cause instanceof ConnectionLostError) {
    return toSavoryspurError(thrown.cause, origin, ErrorCode.BROKEN_ANSWER);
  }
  const data = thrown.data as {code?: string} | undefined;
  return createRemoteError({message: thrown.message, data}, origin, thrown);
}

/** Creates the error of a call that the called daemon answered with a failure. */
function createRemoteError(
  {message, data}: {message: string; data?: {code?: string}},
  origin: ErrorOrigin,
  cause?: unknown,
): SavoryspurError {
  const code = REMOTE_CODES.get(data?.code ?? '') ?? ErrorCode.REMOTE_ERROR;
  return new SavoryspurError(code, origin, message, {cause});
}
