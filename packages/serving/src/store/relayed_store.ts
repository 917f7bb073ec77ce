/**
 * Store client that relays its calls through a peer while the store doesn't
 * answer this daemon directly. The store may refuse single daemons, or be
 * unreachable from one zone, while it serves all other daemons.
 */
import {
  type Clock,
  ErrorCode,
  type EventLog,
  SavoryspurError,
  ServingEvent,
} from '@savoryspur/common';
import {
  type PeerInfo,
  type RelayAnswer,
  type RelayCall,
  RelayMethod,
  type RelayRow,
} from '@savoryspur/schema';
import {errAsync, okAsync, type ResultAsync} from 'neverthrow';
import {
  MAX_PAYLOAD_BYTES,
  type MemoryBudget,
  MemoryUse,
} from '../memory/memory_budget.js';
import {MEMBER_TABLE} from './tables.js';
import type {
  BlobStore,
  RowChanges,
  RowPage,
  RowRange,
  RowStore,
  RowTransaction,
  TableRow,
  TransactionOutcome,
} from './row_store.js';

/** Period of the probes that detect that the store answers directly again, milliseconds. */
const PROBE_PERIOD_MS = 300;

/** Time for which no call is relayed after several peers have failed too, milliseconds: the store is then unavailable to all daemons. */
const RELAY_PAUSE_MS = 300;

/** Consecutive failures of relayed calls after which relaying pauses. */
const RELAY_FAILURES_TO_PAUSE = 2;

/** Time without any answer of the store, direct or relayed, after which this daemon may count as isolated, milliseconds. */
const ISOLATED_AFTER_MS = 1200;

/** Age up to which calls to peers are considered in detecting isolation, milliseconds. */
const PEER_CALL_WINDOW_MS = 3000;

/** Minimum number of unanswered calls to peers for this daemon to count as isolated. */
const MIN_UNANSWERED_CALLS = 2;

/** Timeout of a call to a peer beyond the timeout of the peer's own call to the store, milliseconds. */
const RELAY_EXTRA_TIMEOUT_MS = 150;

/** Timeout of a relayed read, milliseconds. */
const RELAYED_READ_TIMEOUT_MS = 800;

/** Error codes of the store after which a call is relayed, since the same call may succeed from a peer. */
const RELAYABLE_ERROR_CODES = new Set([
  ErrorCode.UNAVAILABLE,
  ErrorCode.OVERLOADED,
  ErrorCode.AMBIGUOUS,
]);

/** Sends one call to a peer, which makes it on the store. */
export type RelayThroughPeer = (
  peer: PeerInfo,
  call: RelayCall,
  timeoutMs: number,
) => ResultAsync<RelayAnswer, SavoryspurError>;

/** Dependencies of a relayed store. */
export interface RelayedStoreOptions {
  /** Rows, as this daemon reaches the store directly. */
  rows: RowStore;
  /** Objects, as this daemon reaches the store directly. */
  blobs: BlobStore;
  clock: Clock;
  log: EventLog;
  /** Lists the peers that calls may be relayed through. */
  listPeers: () => PeerInfo[];
  relay: RelayThroughPeer;
}

/** Store that is called directly, or through peers while it doesn't answer this daemon. */
export class RelayedStore implements RowStore, BlobStore {
  private isDirect = true;
  /** Index of the peer that calls are relayed through, modulo the number of peers. */
  private peerIndex = 0;
  /** Consecutive failures of relayed calls. */
  private relayFailures = 0;
  /** End of the pause of relaying, monotonic milliseconds. */
  private relayPausedUntilMs = Number.NEGATIVE_INFINITY;
  /** Offset of the store's clock from this daemon's, as of the latest relayed answer, milliseconds. */
  private storeClockOffsetMs: number | undefined;
  /** Time of the store's latest answer, direct or relayed, monotonic milliseconds. */
  private lastAnswerMs: number;
  /** Time of the latest answer of a peer that the store is unavailable to it too, monotonic milliseconds. */
  private sharedOutageMs = Number.NEGATIVE_INFINITY;
  /** Calls to peers in the latest {@link PEER_CALL_WINDOW_MS}, the oldest first. */
  private readonly peerCalls: Array<{atMs: number; isAnswered: boolean}> = [];

  /**
   * @param options - the direct store, the peers and the call to a peer
   */
  constructor(private readonly options: RelayedStoreOptions) {
    this.lastAnswerMs = options.clock.now();
  }

  /** Checks whether the store answers this daemon directly. */
  isReachedDirectly(): boolean {
    return this.isDirect;
  }

  /**
   * Checks whether this daemon is isolated: neither the store nor most of its
   * peers have answered its latest calls. While the store is unavailable to all
   * daemons, peers still answer, so that no daemon counts as isolated.
   */
  isIsolated(): boolean {
    const nowMs = this.options.clock.now();
    if (nowMs - this.lastAnswerMs < ISOLATED_AFTER_MS) return false;
    const recent = this.peerCalls.filter(
      ({atMs}) => nowMs - atMs < PEER_CALL_WINDOW_MS,
    );
    const unanswered = recent.filter(({isAnswered}) => !isAnswered).length;
    return unanswered >= MIN_UNANSWERED_CALLS && unanswered > recent.length / 2;
  }

  /** Checks whether the store is unavailable to this daemon and to the peers that were asked lately. */
  isOutageShared(): boolean {
    const sinceMs = this.options.clock.now() - this.sharedOutageMs;
    return (
      sinceMs < PEER_CALL_WINDOW_MS && this.lastAnswerMs < this.sharedOutageMs
    );
  }

  /** {@inheritDoc RowStore.now} */
  now(): number | undefined {
    const direct = this.options.rows.now();
    if (direct !== undefined || this.storeClockOffsetMs === undefined)
      return direct;
    return this.options.clock.now() + this.storeClockOffsetMs;
  }

  /** {@inheritDoc RowStore.transact} */
  transact(
    transaction: RowTransaction,
    timeoutMs: number,
  ): ResultAsync<TransactionOutcome, SavoryspurError> {
    const call: RelayCall = {
      method: RelayMethod.TRANSACT,
      timeoutMs,
      conditions: transaction.conditions,
      writes: transaction.writes.map(encodeRow),
      removals: transaction.removals ?? [],
    };
    return this.run(
      () => this.options.rows.transact(transaction, timeoutMs),
      call,
      (answer) => ({
        isCommitted: answer.isCommitted,
        conflicts: answer.rows.map(decodeRow),
      }),
    );
  }

  /** {@inheritDoc RowStore.read} */
  read(range: RowRange): ResultAsync<RowPage, SavoryspurError> {
    return this.run(
      () => this.options.rows.read(range),
      createCall({
        method: RelayMethod.READ,
        timeoutMs: RELAYED_READ_TIMEOUT_MS,
        ...range,
      }),
      (answer) => ({
        rows: answer.rows.map(decodeRow),
        hasMore: answer.hasMore,
        version: answer.version,
      }),
    );
  }

  /** {@inheritDoc RowStore.listParts} */
  listParts(table: string): ResultAsync<string[], SavoryspurError> {
    return this.run(
      () => this.options.rows.listParts(table),
      createCall({
        method: RelayMethod.LIST_PARTS,
        timeoutMs: RELAYED_READ_TIMEOUT_MS,
        table,
      }),
      (answer) => answer.parts,
    );
  }

  /** {@inheritDoc RowStore.watch} */
  watch(
    table: string,
    after: number,
    waitMs: number,
    signal: AbortSignal,
  ): ResultAsync<RowChanges, SavoryspurError> {
    return this.run(
      () => this.options.rows.watch(table, after, waitMs, signal),
      createCall({
        method: RelayMethod.WATCH,
        timeoutMs: waitMs + RELAYED_READ_TIMEOUT_MS,
        table,
        after,
        waitMs,
      }),
      (answer) => ({
        rows: answer.rows.map(decodeRow),
        version: answer.version,
      }),
    );
  }

  /** {@inheritDoc BlobStore.put} */
  put(
    name: string,
    body: Buffer,
    timeoutMs: number,
  ): ResultAsync<void, SavoryspurError> {
    return this.run(
      () => this.options.blobs.put(name, body, timeoutMs),
      createCall({
        method: RelayMethod.PUT_OBJECT,
        timeoutMs,
        name,
        body: body.toString('base64'),
      }),
      () => undefined,
    );
  }

  /** {@inheritDoc BlobStore.get} */
  get(name: string, timeoutMs: number): ResultAsync<Buffer, SavoryspurError> {
    return this.run(
      () => this.options.blobs.get(name, timeoutMs),
      createCall({method: RelayMethod.GET_OBJECT, timeoutMs, name}),
      (answer) => Buffer.from(answer.body, 'base64'),
    );
  }

  /** {@inheritDoc BlobStore.delete} */
  delete(name: string): ResultAsync<void, SavoryspurError> {
    return this.options.blobs.delete(name);
  }

  /**
   * Probes the store periodically while it doesn't answer directly, to detect its
   * recovery.
   *
   * @param signal - ends the task
   */
  async watchRecovery(signal: AbortSignal): Promise<void> {
    const {clock, rows} = this.options;
    while (!signal.aborted) {
      await clock.sleep(PROBE_PERIOD_MS, signal);
      if (this.isDirect) continue;
      const probe = await rows.read({
        table: MEMBER_TABLE,
        part: '',
        limit: 1,
      });
      if (probe.isOk()) this.setDirect(true);
    }
  }

  /**
   * Calls the store directly and relays the call when that fails. While the store
   * is known not to answer directly, relays the call first.
   */
  private run<T>(
    callDirectly: () => ResultAsync<T, SavoryspurError>,
    call: RelayCall,
    decode: (answer: RelayAnswer) => T,
  ): ResultAsync<T, SavoryspurError> {
    if (!this.isDirect && this.findPeer() !== undefined) {
      return this.callPeer(call, decode).orElse((relayError) => {
        if (!RELAYABLE_ERROR_CODES.has(relayError.code))
          return errAsync(relayError);
        return callDirectly().mapErr((error) =>
          keepAmbiguity(relayError, error),
        );
      });
    }
    return callDirectly()
      .map((value) => {
        this.lastAnswerMs = this.options.clock.now();
        return value;
      })
      .orElse((error) => {
        if (!RELAYABLE_ERROR_CODES.has(error.code)) return errAsync(error);
        this.setDirect(false, error);
        if (this.findPeer() === undefined) return errAsync(error);
        return this.callPeer(call, decode).mapErr((relayError) =>
          keepAmbiguity(error, relayError),
        );
      });
  }

  private callPeer<T>(
    call: RelayCall,
    decode: (answer: RelayAnswer) => T,
  ): ResultAsync<T, SavoryspurError> {
    const peer = this.findPeer();
    const origin = {step: `relay.${call.method}`, peer: peer?.host ?? 'none'};
    if (!peer) {
      return errAsync(
        new SavoryspurError(
          ErrorCode.UNAVAILABLE,
          origin,
          'no peer to relay the call through',
        ),
      );
    }
    const isWrite =
      call.method === RelayMethod.TRANSACT ||
      call.method === RelayMethod.PUT_OBJECT;
    return this.options
      .relay(peer, call, call.timeoutMs + RELAY_EXTRA_TIMEOUT_MS)
      .mapErr((error) => {
        this.recordPeerCall(false);
        this.recordRelayFailure();
        const code = isWrite ? ErrorCode.AMBIGUOUS : ErrorCode.UNAVAILABLE;
        return new SavoryspurError(code, origin, error.message, {cause: error});
      })
      .andThen((answer) => {
        this.recordPeerCall(true);
        if (answer.errorCode !== undefined) {
          const code = answer.errorCode as ErrorCode;
          if (RELAYABLE_ERROR_CODES.has(code)) {
            this.sharedOutageMs = this.options.clock.now();
            this.recordRelayFailure();
          }
          const message = answer.message ?? '';
          return errAsync(new SavoryspurError(code, origin, message));
        }
        this.relayFailures = 0;
        this.lastAnswerMs = this.options.clock.now();
        if (answer.storeNowMs !== undefined) {
          this.storeClockOffsetMs =
            answer.storeNowMs - this.options.clock.now();
        }
        return okAsync(decode(answer));
      });
  }

  private findPeer(): PeerInfo | undefined {
    if (this.options.clock.now() < this.relayPausedUntilMs) return undefined;
    const peers = this.options.listPeers();
    return peers[this.peerIndex % Math.max(1, peers.length)];
  }

  private recordPeerCall(isAnswered: boolean): void {
    const atMs = this.options.clock.now();
    this.peerCalls.push({atMs, isAnswered});
    while (atMs - (this.peerCalls[0]?.atMs ?? atMs) > PEER_CALL_WINDOW_MS) {
      this.peerCalls.shift();
    }
  }

  /** Switches to the next peer, and pauses relaying after several failures. A peer is kept as long as calls through it succeed. */
  private recordRelayFailure(): void {
    this.peerIndex += 1;
    this.relayFailures += 1;
    if (this.relayFailures < RELAY_FAILURES_TO_PAUSE) return;
    this.relayFailures = 0;
    this.relayPausedUntilMs = this.options.clock.now() + RELAY_PAUSE_MS;
  }

  private setDirect(isDirect: boolean, error?: SavoryspurError): void {
    if (this.isDirect === isDirect) return;
    this.isDirect = isDirect;
    const event = isDirect
      ? ServingEvent.STORE_RECOVERED
      : ServingEvent.STORE_UNAVAILABLE;
    this.options.log.record(event, {
      step: error?.origin.step,
      peer: error?.origin.peer,
      reason: error?.message,
    });
  }
}

/**
 * Chooses the error of a call that failed twice. The writes of the first try may
 * have taken effect, whatever the second one returned, so an AMBIGUOUS error
 * stays one.
 */
function keepAmbiguity(
  first: SavoryspurError,
  second: SavoryspurError,
): SavoryspurError {
  return first.code === ErrorCode.AMBIGUOUS ? first : second;
}

/**
 * Makes a relayed call of a peer on the store. The call is never relayed any
 * further.
 *
 * @param store - the store as this daemon reaches it directly
 * @param call - the relayed call
 * @param signal - ends a watch
 * @param isReachedDirectly - whether the store answers this daemon directly
 * @param memory - memory budget of this daemon
 */
export async function serveRelay(
  store: RowStore & BlobStore,
  call: RelayCall,
  signal: AbortSignal,
  isReachedDirectly: boolean,
  memory: MemoryBudget,
): Promise<RelayAnswer> {
  if (!isReachedDirectly) {
    const message =
      'the store does not answer the relaying daemon directly either';
    return createAnswer({errorCode: ErrorCode.UNAVAILABLE, message});
  }
  const reservation = await memory.reserve(
    MemoryUse.RELAYED_OBJECTS,
    computeObjectBytes(call),
    AbortSignal.timeout(call.timeoutMs),
  );
  if (!reservation) {
    const message = 'the relaying daemon has no memory for the object';
    return createAnswer({errorCode: ErrorCode.OVERLOADED, message});
  }
  const result = await RELAY_HANDLERS[call.method](store, call, signal);
  reservation.release();
  if (result.isErr()) {
    const {code, message} = result.error;
    return createAnswer({errorCode: code, message});
  }
  return createAnswer({...result.value, storeNowMs: store.now()});
}

/** Computes the memory that the object of a relayed call takes at most, bytes. */
function computeObjectBytes(call: RelayCall): number {
  return call.method === RelayMethod.GET_OBJECT
    ? MAX_PAYLOAD_BYTES
    : (call.body?.length ?? 0);
}

type RelayHandler = (
  store: RowStore & BlobStore,
  call: RelayCall,
  signal: AbortSignal,
) => ResultAsync<Partial<RelayAnswer>, SavoryspurError>;

/** Makes the relayed calls of each method on the store. */
const RELAY_HANDLERS: Record<RelayMethod, RelayHandler> = {
  [RelayMethod.TRANSACT]: (store, call) =>
    store
      .transact(
        {
          conditions: call.conditions,
          writes: call.writes.map(({table, part, key, value}) => ({
            table,
            part,
            key,
            value: Buffer.from(value ?? '', 'base64'),
          })),
          removals: call.removals,
        },
        call.timeoutMs,
      )
      .map(({isCommitted, conflicts}) => ({
        isCommitted,
        rows: conflicts.map(encodeRow),
      })),
  [RelayMethod.READ]: (store, call) =>
    store
      .read({
        table: call.table ?? '',
        part: call.part ?? '',
        start: call.start,
        end: call.end,
        limit: call.limit,
      })
      .map((page) => ({...page, rows: page.rows.map(encodeRow)})),
  [RelayMethod.LIST_PARTS]: (store, call) =>
    store.listParts(call.table ?? '').map((parts) => ({parts})),
  [RelayMethod.WATCH]: (store, call, signal) =>
    store
      .watch(call.table ?? '', call.after ?? 0, call.waitMs ?? 0, signal)
      .map(({rows, version}) => ({version, rows: rows.map(encodeRow)})),
  [RelayMethod.PUT_OBJECT]: (store, call) =>
    store
      .put(
        call.name ?? '',
        Buffer.from(call.body ?? '', 'base64'),
        call.timeoutMs,
      )
      .map(() => ({})),
  [RelayMethod.GET_OBJECT]: (store, call) =>
    store
      .get(call.name ?? '', call.timeoutMs)
      .map((body) => ({body: body.toString('base64')})),
};

function createCall(
  call: Omit<RelayCall, 'conditions' | 'writes' | 'removals'>,
): RelayCall {
  return {...call, conditions: [], writes: [], removals: []};
}

function createAnswer(answer: Partial<RelayAnswer>): RelayAnswer {
  return {
    rows: [],
    parts: [],
    hasMore: false,
    isCommitted: false,
    version: 0,
    body: '',
    ...answer,
  };
}

function encodeRow(row: {
  table: string;
  part: string;
  key: string;
  value: Buffer | undefined;
  version?: number;
}): RelayRow {
  const {table, part, key, value, version} = row;
  return {
    table,
    part,
    key,
    value: value?.toString('base64'),
    version: version ?? 0,
  };
}

function decodeRow(row: RelayRow): TableRow {
  const {value, ...rowName} = row;
  const decoded =
    value === undefined ? undefined : Buffer.from(value, 'base64');
  return {...rowName, value: decoded};
}
