/**
 * Calls backend servers through another daemon while this one can't reach them.
 * The daemon in between only makes the call: limits, slots, retries and the
 * answer to the caller stay with this daemon.
 */
import {
  type Clock,
  type EventLog,
  type SavoryspurError,
  ServingEvent,
  Timeout,
} from '@savoryspur/common';
import {
  type PeerStream,
  type PeerStreamClient,
  StreamRefusedError,
} from '@savoryspur/fleet';
import {
  CallOutcome,
  type ForwardedCall,
  type ForwardedFailure,
  type PeerInfo,
  type ProbeAnswer,
  validateForwardedEnd,
  validateForwardedHead,
} from '@savoryspur/schema';
import type {ResultAsync} from 'neverthrow';
import {
  BrokenBodyError,
  type CallFailure,
  SERVER_SILENT,
  type ServerCall,
  type ServerCaller,
  type ServerReply,
} from '../online/online_types.js';
import {
  type ReachabilityMonitor,
  UNANSWERED_OUTCOMES,
} from '../online/reachability_monitor.js';
import type {EnvironmentView} from '../environment.js';
import type {BackendServer, ServiceRegistry} from '../service_registry.js';
import type {ForwardPeers} from './forward_peers.js';
import {ForwardSearches} from './forward_search.js';
import {probeServer} from './probe_server.js';

/** Name of the streamed call by which daemons call servers for each other. */
export const FORWARD_CALL_NAME = 'servers.call';

/** Maximum number of daemons that are asked to make one call. */
const MAX_PEERS_PER_CALL = 5;

/** Time after which no further daemon is asked to make a call, milliseconds. */
const MAX_SEARCH_MS = 300;

/** Maximum number of daemons that are asked whether a server accepts connections. */
const MAX_PEERS_PER_PROBE = 2;

/** Time for which a server that was found to be down tells nothing about the reach of this daemon, milliseconds: a restart takes some seconds. */
const MAX_DOWN_MS = 5000;

/** Timeout of asking a daemon whether a server accepts connections, milliseconds. */
const PROBE_TIMEOUT_MS = 400;

/** Duration of a connect failure, milliseconds, up to which the call is forwarded at once; after a longer one, calling another server is faster when it is the server that failed. */
const QUICK_FAILURE_MS = 50;

/** Time beyond the timeout of a forwarded call by which the daemon in between must have answered, milliseconds. */
const ANSWER_GRACE_MS = 250;

/** Components that the forwarding of calls uses. */
export interface ForwardingOptions {
  /** Calls servers directly. */
  direct: ReachabilityMonitor;
  peers: ForwardPeers;
  streams: Pick<PeerStreamClient, 'open'>;
  /** Asks a daemon whether a server accepts connections. */
  probeThroughPeer: (
    peer: PeerInfo,
    serverId: string,
    timeoutMs: number,
  ) => ResultAsync<ProbeAnswer, SavoryspurError>;
  registry: ServiceRegistry<EnvironmentView>;
  clock: Clock;
  log: EventLog;
  /** Returns a random number in [0, 1). */
  random: () => number;
}

/** Calls servers directly, or through another daemon while that fails. */
export class ForwardingServerCaller implements ServerCaller {
  private readonly searches = new ForwardSearches();
  /** When servers were found to be down, by id, monotonic milliseconds. */
  private readonly downSinceMs = new Map<string, number>();
  /** Earliest check in progress of each server, by id. */
  private readonly checks = new Map<string, Promise<boolean | undefined>>();

  /**
   * @param options - the direct calls, and the daemons to forward through
   */
  constructor(private readonly options: ForwardingOptions) {}

  /**
   * Whether calls to the servers of a zone can be forwarded. While no daemon is
   * known to reach the zone, only some requests search for one, unless this
   * daemon reaches no server at all.
   */
  hasForwardPeer(serverZone: string): boolean {
    const {direct, peers, clock} = this.options;
    if (!peers.isAnyAvailable(serverZone)) return false;
    if (direct.isCutOff() || peers.isAnyProven(serverZone)) return true;
    return this.searches.isAllowed(serverZone, clock.now());
  }

  /** {@inheritDoc ServerCaller.call} */
  async call(call: ServerCall): Promise<ServerReply | CallFailure> {
    const {direct, clock} = this.options;
    const startMs = clock.now();
    const {server} = call;
    if (!direct.isReachable(server) && this.isForwardable(server.zone)) {
      const reply = await this.forward(call, startMs);
      if (reply) return reply;
      // A connect tells whether a server that sends nothing is gone. A probe may
      // have reached it meanwhile.
      const isWorthConnect =
        direct.isReachable(server) || direct.isUnresponsive(server);
      return isWorthConnect && this.isInTime(call)
        ? direct.call(call)
        : createNotForwarded();
    }
    const reply = await direct.call(call);
    if (!this.isForwardedAfter(reply, clock.now() - startMs)) return reply;
    if (!this.isInTime(call) || !this.hasForwardPeer(server.zone)) return reply;
    return (await this.forward(call, startMs)) ?? reply;
  }

  /**
   * Checks whether a server accepts connections, of this daemon or of another
   * one: this daemon may be the one that is cut off. While no daemon can tell,
   * the server is taken to accept them.
   */
  async probe(server: BackendServer): Promise<boolean> {
    const earlierChecks = [...this.checks]
      .filter(([id]) => id !== server.id)
      .map(([, check]) => check);
    const isReachable =
      (await this.trackCheck(server)) ??
      (await this.checkAgain(server, earlierChecks));
    return isReachable ?? this.verifyDown(server, undefined);
  }

  /** Checks a server, and keeps the check for those that begin meanwhile. */
  private async trackCheck(
    server: BackendServer,
  ): Promise<boolean | undefined> {
    const check = this.checkServer(server);
    if (this.checks.has(server.id)) return check;
    this.checks.set(server.id, check);
    try {
      return await check;
    } finally {
      this.checks.delete(server.id);
    }
  }

  /**
   * Checks a server again once earlier checks have found others to be down: in
   * the first check, their silence looked like that of a daemon that is cut off.
   */
  private async checkAgain(
    server: BackendServer,
    earlierChecks: ReadonlyArray<Promise<boolean | undefined>>,
  ): Promise<boolean | undefined> {
    const areReachable = await Promise.all(earlierChecks);
    return areReachable.includes(false) ? this.checkServer(server) : undefined;
  }

  /** Connects to a server and to others; returns undefined when this daemon may be cut off. */
  private async checkServer(
    server: BackendServer,
  ): Promise<boolean | undefined> {
    const {clock} = this.options;
    const isDown = (id: string): boolean =>
      clock.now() - (this.downSinceMs.get(id) ?? -Infinity) < MAX_DOWN_MS;
    const isReachable = await probeServer({...this.options, isDown}, server);
    return isReachable === false
      ? this.verifyDown(server, isReachable)
      : isReachable;
  }

  /**
   * Asks other daemons about a server that does not accept connections of this
   * one, and records that it is down unless one of them reaches it.
   *
   * @returns whether the server is taken to accept connections
   */
  private async verifyDown(
    server: BackendServer,
    isReachable: false | undefined,
  ): Promise<boolean> {
    if (await this.isReachedByOthers(server, isReachable)) return true;
    this.recordDown(server.id);
    return false;
  }

  /** Asks other daemons about a server that does not accept connections of this one. */
  private async isReachedByOthers(
    server: BackendServer,
    isReachable: false | undefined,
  ): Promise<boolean> {
    const {direct, peers, probeThroughPeer} = this.options;
    const triedHosts = new Set<string>();
    while (triedHosts.size < MAX_PEERS_PER_PROBE) {
      const peer = peers.choose(server, triedHosts);
      if (!peer) break;
      triedHosts.add(peer.host);
      const answer = await probeThroughPeer(peer, server.id, PROBE_TIMEOUT_MS);
      const seenByPeer = answer.unwrapOr({} as ProbeAnswer).isReachable;
      if (seenByPeer !== undefined) return seenByPeer;
    }
    return isReachable === undefined || direct.isCutOff();
  }

  /** {@inheritDoc ServerCaller.replaceConnections} */
  replaceConnections(server: BackendServer): void {
    this.options.direct.replaceConnections(server);
  }

  /** Whether there is time to try a call that was sent to no server on another way. */
  private isInTime({connectUntilMs = Infinity}: ServerCall): boolean {
    return this.options.clock.now() < connectUntilMs;
  }

  private recordDown(serverId: string): void {
    const nowMs = this.options.clock.now();
    for (const [id, sinceMs] of this.downSinceMs) {
      if (nowMs - sinceMs >= MAX_DOWN_MS) this.downSinceMs.delete(id);
    }
    this.downSinceMs.set(serverId, nowMs);
  }

  /** Whether a call to a server that this daemon doesn't reach is forwarded: its slot may have been chosen before another request began a search. */
  private isForwardable(serverZone: string): boolean {
    if (this.hasForwardPeer(serverZone)) return true;
    const {peers, clock} = this.options;
    if (this.searches.isPaused(serverZone, clock.now())) return false;
    return peers.isAnyAvailable(serverZone);
  }

  /** Whether a call that failed directly, before anything was sent, is worth forwarding. */
  private isForwardedAfter(
    reply: ServerReply | CallFailure,
    durationMs: number,
  ): boolean {
    if (!isUnreachable(reply)) return false;
    return durationMs <= QUICK_FAILURE_MS || this.options.direct.isCutOff();
  }

  /**
   * Forwards a call through the first daemon that accepts it.
   *
   * @param call - the call
   * @param startMs - when the call began, monotonic milliseconds
   * @returns undefined when no daemon has accepted the call
   */
  private async forward(
    call: ServerCall,
    startMs: number,
  ): Promise<ServerReply | CallFailure | undefined> {
    const {peers, clock} = this.options;
    const {zone} = call.server;
    if (peers.isAnyProven(zone)) return this.forwardToFirst(call, startMs);
    this.searches.begin(zone, clock.now());
    const reply = await this.forwardToFirst(call, startMs);
    this.searches.finish(zone, reply !== undefined, clock.now());
    return reply;
  }

  private async forwardToFirst(
    call: ServerCall,
    startMs: number,
  ): Promise<ServerReply | CallFailure | undefined> {
    const {peers, clock} = this.options;
    const triedHosts = new Set<string>();
    const untilMs = clock.now() + MAX_SEARCH_MS;
    let isInTime = true;
    while (
      triedHosts.size < MAX_PEERS_PER_CALL &&
      clock.now() < untilMs &&
      isInTime
    ) {
      const peer = peers.choose(call.server, triedHosts);
      if (!peer || call.signal.aborted) return undefined;
      triedHosts.add(peer.host);
      const reply = await this.forwardThrough(peer, call, startMs);
      if (reply) return reply;
      isInTime = this.isInTime(call);
    }
    return undefined;
  }

  /** Forwards a call through one daemon; gives undefined when the daemon doesn't accept it. */
  private async forwardThrough(
    peer: PeerInfo,
    call: ServerCall,
    startMs: number,
  ): Promise<ServerReply | CallFailure | undefined> {
    const {clock, log, peers, streams} = this.options;
    const forwarded = new ForwardedExchange(peer, call, peers);
    const input = encodeCall(call, clock.now() - startMs);
    const fields = {requestId: call.requestId, peer: peer.host};
    try {
      const stream = await streams.open(
        peer,
        FORWARD_CALL_NAME,
        input,
        call.body,
        forwarded.signal,
      );
      log.record(ServingEvent.CALL_FORWARDED, {
        ...fields,
        serverId: call.server.id,
      });
      const reply = forwarded.readReply(stream);
      this.recordAnswer(call.server, reply, startMs);
      // The daemon in between may be cut off too, and has sent nothing.
      return isUnreachable(reply) ? undefined : reply;
    } catch (thrown) {
      const reason = thrown instanceof Error ? thrown.message : String(thrown);
      const isRefused = thrown instanceof StreamRefusedError;
      if (isRefused) forwarded.fail();
      else forwarded.recordLoss();
      if (call.signal.aborted) return createFailure(reason);
      log.record(ServingEvent.FORWARD_REFUSED, {
        ...fields,
        serverId: call.server.id,
        isRefused,
        reason,
      });
      return isRefused ? undefined : createFailure(reason);
    }
  }

  private recordAnswer(
    server: BackendServer,
    reply: ServerReply | CallFailure,
    startMs: number,
  ): void {
    const headers =
      reply.kind === 'reply' ? reply.head.headers : (reply.headers ?? []);
    this.options.registry.recordAnswer(server, headers, startMs);
  }
}

/** One call on its way through another daemon. */
class ForwardedExchange {
  private readonly controller = new AbortController();
  private readonly timeout: Timeout | undefined;
  private isFinished = false;
  /** Whether this daemon discarded the answer. */
  private isDropped = false;
  private readonly abort = (): void => this.controller.abort();

  constructor(
    private readonly peer: PeerInfo,
    private readonly call: ServerCall,
    private readonly peers: ForwardPeers,
  ) {
    peers.beginCall(peer);
    call.signal.addEventListener('abort', this.abort, {once: true});
    if (call.signal.aborted) this.abort();
    if (call.firstByteTimeoutMs > 0) {
      this.timeout = new Timeout(
        call.firstByteTimeoutMs + ANSWER_GRACE_MS,
        this.abort,
      );
    }
  }

  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** Records that the daemon refused the call or did not reach the server. */
  fail(): void {
    if (!this.call.signal.aborted)
      this.peers.recordFailure(this.peer, this.call.server);
    this.finish();
  }

  /** Records that the daemon was lost during the call. */
  recordLoss(): void {
    const {aborted, reason} = this.call.signal;
    if (reason === SERVER_SILENT)
      this.peers.recordSilence(this.peer, this.call.server);
    if (!aborted) this.peers.recordLoss(this.peer, this.call.server.zone);
    this.finish();
  }

  /** Converts the answer of the daemon. */
  readReply(stream: PeerStream): ServerReply | CallFailure {
    this.timeout?.cancel();
    const head = validateForwardedHead(stream.head);
    if (head.isErr()) {
      stream.drop();
      this.recordLoss();
      return createFailure('the daemon in between sent no valid head');
    }
    const {failure, statusCode, headers, isSigned, isDelimited} = head.value;
    if (failure) {
      stream.drop();
      if (UNANSWERED_OUTCOMES.has(failure.outcome)) this.fail();
      this.finish();
      return {kind: 'failure', ...failure, headers};
    }
    this.peers.recordSuccess(this.peer, this.call.server);
    return {
      kind: 'reply',
      head: {statusCode, headers},
      isSigned,
      isDelimited,
      isForwarded: true,
      body: this.readBody(stream),
      drop: () => {
        this.isDropped = true;
        stream.drop();
        this.finish();
      },
    };
  }

  private async *readBody(
    stream: PeerStream,
  ): AsyncGenerator<Buffer, void, void> {
    let isRead = false;
    try {
      yield* stream.body;
      isRead = true;
    } catch (thrown) {
      if (this.isDropped) this.peers.recordSilence(this.peer, this.call.server);
      else this.recordLoss();
      const reason = thrown instanceof Error ? thrown.message : String(thrown);
      throw new BrokenBodyError(CallOutcome.ABANDONED, reason);
    } finally {
      if (!isRead) stream.drop();
      this.finish();
    }
    const failure = readEnd(stream);
    if (failure) throw new BrokenBodyError(failure.outcome, failure.reason);
  }

  private finish(): void {
    if (this.isFinished) return;
    this.isFinished = true;
    this.timeout?.cancel();
    this.call.signal.removeEventListener('abort', this.abort);
    this.peers.finishCall(this.peer);
  }
}

/** Reads how the body of an answer ended; an end that is missing or not valid counts as a failure. */
function readEnd(stream: PeerStream): ForwardedFailure | undefined {
  return validateForwardedEnd(stream.getEnd()).match(
    (end) => end.failure,
    () => ({
      outcome: CallOutcome.ABANDONED,
      reason: 'the daemon in between sent no end of the answer',
    }),
  );
}

function encodeCall(call: ServerCall, elapsedMs: number): ForwardedCall {
  const deadlineInMs =
    call.deadlineInMs === undefined
      ? undefined
      : Math.max(1, Math.floor(call.deadlineInMs - elapsedMs));
  return {
    serverId: call.server.id,
    requestId: call.requestId,
    method: call.method,
    host: call.host,
    target: call.target,
    headers: call.headers,
    workspace: call.workspace,
    deadlineInMs,
    resumeAfter: call.resumeAfter,
    firstByteTimeoutMs: call.firstByteTimeoutMs,
    maxConnections: call.maxConnections,
    isOnNewConnection: call.isOnNewConnection ?? false,
  };
}

function isUnreachable(reply: ServerReply | CallFailure): boolean {
  return reply.kind === 'failure' && reply.outcome === CallOutcome.UNREACHABLE;
}

/** Creates the failure of a call that a server may have run, and that says nothing about the server. */
function createFailure(reason: string): CallFailure {
  return {kind: 'failure', outcome: CallOutcome.ABANDONED, reason};
}

/** Creates the failure of a call that nobody has made. */
function createNotForwarded(): CallFailure {
  return {
    kind: 'failure',
    outcome: CallOutcome.UNREACHABLE,
    reason: 'no daemon that was asked reaches the server',
  };
}
