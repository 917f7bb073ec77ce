/** Connections to the other daemons, and bounded calls over them. */
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
  ConnectionLostError,
  PeerConnection,
  type PeerConnectionOptions,
} from './peer_connection.js';
import {createPeerLink} from './peer_link.js';

/** What a pool needs. */
export interface PeerPoolOptions extends PeerConnectionOptions {
  /** Bound on one call with its connect, milliseconds. */
  callTimeoutMs: number;
  /** Gets the longest idle time after which a connection is used again. */
  getIdleReuseMs: () => number;
  /** Called with the daemon that answered a handshake. */
  onPeer?: (peer: PeerInfo) => void;
  /** Called when a call found no answer. */
  onFailure?: (peer: PeerInfo) => void;
}

/** Codes of tRPC errors as codes of the system. */
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

/** A connection that is being opened or open, by address. */
interface Entry<TRouter extends AnyRouter> {
  opening: Promise<Channel<TRouter>>;
  channel?: Channel<TRouter>;
}

/** Calls other daemons over one connection each. */
export class PeerPool<TRouter extends AnyRouter> implements PeerCaller<
  TRPCClient<TRouter>
> {
  private readonly entries = new Map<string, Entry<TRouter>>();

  /**
   * @param options - secret, bounds and own identity
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
      if (FAILURE_CODES.has(error.code)) this.options.onFailure?.(peer);
      return error;
    });
  }

  /** Counts the connections in use. */
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
    const ended = new AbortController();
    const timer = new AbortController();
    let isTimeout = false;
    void clock.sleep(timeoutMs, timer.signal).then(() => {
      if (timer.signal.aborted) return;
      isTimeout = true;
      channel.connection.drain(sentMs);
      ended.abort();
    });
    try {
      return await run(channel.client, ended.signal);
    } catch (thrown) {
      if (isTimeout) throw createTimeout(origin, timeoutMs);
      throw convertFailure(thrown, origin);
    } finally {
      timer.abort();
    }
  }

  private async findChannel(
    peer: PeerInfo,
    origin: ErrorOrigin,
  ): Promise<Channel<TRouter>> {
    const key = `${peer.host} ${peer.address}:${peer.peerPort}`;
    let entry = this.entries.get(key);
    const open = entry?.channel?.connection;
    if (open !== undefined && !open.isUsable(this.options.getIdleReuseMs())) {
      open.drain();
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

  private openEntry(key: string, peer: PeerInfo): Entry<TRouter> {
    const entry: Entry<TRouter> = {opening: this.openChannel(peer)};
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
      `run ${peer.incarnation} of the daemon was replaced by ${found}`,
    );
  }
}

/** Codes that tell of a daemon out of reach. */
const FAILURE_CODES = new Set([
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
  const code = REMOTE_CODES.get(data?.code ?? '') ?? ErrorCode.REMOTE_ERROR;
  return new SavoryspurError(code, origin, thrown.message, {cause: thrown});
}
