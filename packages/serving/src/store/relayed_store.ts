/**
 * Reaches the store through a peer while the store does not answer this daemon.
 * A store may turn single daemons away, or be out of reach for one zone, and
 * serve the others all the while.
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

/** Period in which the store is tried again directly, milliseconds. */
const PROBE_MS = 300;

/** Time for which no peer is asked after several could not help either, milliseconds: the store is down for all. */
const RELAY_PAUSE_MS = 300;

/** Peers that must fail in a row before relaying pauses. */
const FAILURES_TO_PAUSE = 2;

/** Time without any answer of the store after which this daemon may be cut off, milliseconds. */
const ISOLATED_AFTER_MS = 1200;

/** Time for which the answers of peers are remembered, milliseconds. */
const PEER_MEMORY_MS = 3000;

/** Peers without an answer from which a daemon may count as cut off. */
const MIN_SILENT_PEERS = 2;

/** Time of a call to a peer beyond that of the peer's own call, milliseconds. */
const RELAY_MARGIN_MS = 150;

/** Bound on a relayed read, milliseconds. */
const READ_MS = 800;

/** Failures of the store that a peer may not see. */
const LOCAL_FAILURES = new Set([
  ErrorCode.UNAVAILABLE,
  ErrorCode.OVERLOADED,
  ErrorCode.AMBIGUOUS,
]);

/** Makes one call to the store through a peer. */
export type RelayThroughPeer = (
  peer: PeerInfo,
  call: RelayCall,
  timeoutMs: number,
) => ResultAsync<RelayAnswer, SavoryspurError>;

/** What relaying needs. */
export interface RelayedStoreOptions {
  rows: RowStore;
  blobs: BlobStore;
  clock: Clock;
  log: EventLog;
  /** Lists the peers that may be asked. */
  listPeers: () => PeerInfo[];
  relay: RelayThroughPeer;
}

/** The store, directly or through peers. */
export class RelayedStore implements RowStore, BlobStore {
  private isDirect = true;
  private turn = 0;
  private relayFailures = 0;
  private relayPausedUntilMs = Number.NEGATIVE_INFINITY;
  private offsetMs: number | undefined;
  private lastAnswerMs: number;
  private readonly peerCalls: Array<{atMs: number; isAnswered: boolean}> = [];

  /**
   * @param options - the store, peers and the call to a peer
   */
  constructor(private readonly options: RelayedStoreOptions) {
    this.lastAnswerMs = options.clock.now();
  }

  /** Whether the store answers this daemon itself. */
  isReachedDirectly(): boolean {
    return this.isDirect;
  }

  /**
   * Whether this daemon is cut off: neither the store nor most of the peers that
   * it asked have answered of late. While the store is down for all, peers still
   * answer.
   */
  isIsolated(): boolean {
    const nowMs = this.options.clock.now();
    if (nowMs - this.lastAnswerMs < ISOLATED_AFTER_MS) return false;
    const recent = this.peerCalls.filter(
      ({atMs}) => nowMs - atMs < PEER_MEMORY_MS,
    );
    const silent = recent.filter(({isAnswered}) => !isAnswered).length;
    return silent >= MIN_SILENT_PEERS && silent > recent.length / 2;
  }

  /** {@inheritDoc RowStore.now} */
  now(): number | undefined {
    const direct = this.options.rows.now();
    if (direct !== undefined || this.offsetMs === undefined) return direct;
    return this.options.clock.now() + this.offsetMs;
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
      createCall({method: RelayMethod.READ, timeoutMs: READ_MS, ...range}),
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
      createCall({method: RelayMethod.LIST_PARTS, timeoutMs: READ_MS, table}),
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
        timeoutMs: waitMs + READ_MS,
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
   * Finds out whether the store answers directly again, until told to stop.
   *
   * @param signal - ends the task
   */
  async probe(signal: AbortSignal): Promise<void> {
    const {clock, rows} = this.options;
    while (!signal.aborted) {
      await clock.sleep(PROBE_MS, signal);
      if (this.isDirect) continue;
      const probe = await rows.read({
        table: MEMBER_TABLE,
        part: '',
        limit: 1,
      });
      if (probe.isOk()) this.setDirect(true);
    }
  }

  /** Calls directly, and through a peer when that fails or is known to fail. */
  private run<T>(
    callDirectly: () => ResultAsync<T, SavoryspurError>,
    call: RelayCall,
    decode: (answer: RelayAnswer) => T,
  ): ResultAsync<T, SavoryspurError> {
    if (!this.isDirect && this.findPeer() !== undefined) {
      return this.callPeer(call, decode).orElse((error) =>
        LOCAL_FAILURES.has(error.code) ? callDirectly() : errAsync(error),
      );
    }
    return callDirectly()
      .map((value) => {
        this.lastAnswerMs = this.options.clock.now();
        return value;
      })
      .orElse((error) => {
        if (!LOCAL_FAILURES.has(error.code)) return errAsync(error);
        this.setDirect(false, error);
        if (this.findPeer() === undefined) return errAsync(error);
        return this.callPeer(call, decode).mapErr((relayError) =>
          // What the direct call may have done stays possible.
          error.code === ErrorCode.AMBIGUOUS ? error : relayError,
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
        new SavoryspurError(ErrorCode.UNAVAILABLE, origin, 'no peer'),
      );
    }
    const isWrite =
      call.method === RelayMethod.TRANSACT ||
      call.method === RelayMethod.PUT_OBJECT;
    return this.options
      .relay(peer, call, call.timeoutMs + RELAY_MARGIN_MS)
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
          if (LOCAL_FAILURES.has(code)) this.recordRelayFailure();
          const message = answer.message ?? '';
          return errAsync(new SavoryspurError(code, origin, message));
        }
        this.relayFailures = 0;
        this.lastAnswerMs = this.options.clock.now();
        if (answer.storeNowMs !== undefined) {
          this.offsetMs = answer.storeNowMs - this.options.clock.now();
        }
        return okAsync(decode(answer));
      });
  }

  private findPeer(): PeerInfo | undefined {
    if (this.options.clock.now() < this.relayPausedUntilMs) return undefined;
    const peers = this.options.listPeers();
    return peers[this.turn % Math.max(1, peers.length)];
  }

  private recordPeerCall(isAnswered: boolean): void {
    const atMs = this.options.clock.now();
    this.peerCalls.push({atMs, isAnswered});
    while (atMs - (this.peerCalls[0]?.atMs ?? atMs) > PEER_MEMORY_MS) {
      this.peerCalls.shift();
    }
  }

  /** Asks another peer next; the one that helped last is kept as long as it does. */
  private recordRelayFailure(): void {
    this.turn += 1;
    this.relayFailures += 1;
    if (this.relayFailures < FAILURES_TO_PAUSE) return;
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
 * Makes a call to the store for a peer, without relaying it any further.
 *
 * @param store - the store as this daemon reaches it itself
 * @param call - what the peer asks for
 * @param signal - ends a watch
 * @param isReached - whether the store answered this daemon of late
 */
export async function serveRelay(
  store: RowStore & BlobStore,
  call: RelayCall,
  signal: AbortSignal,
  isReached: boolean,
): Promise<RelayAnswer> {
  if (!isReached) {
    const message = 'the store does not answer this daemon either';
    return createAnswer({errorCode: ErrorCode.UNAVAILABLE, message});
  }
  const result = await RELAY_HANDLERS[call.method](store, call, signal);
  if (result.isErr()) {
    const {code, message} = result.error;
    return createAnswer({errorCode: code, message});
  }
  return createAnswer({...result.value, storeNowMs: store.now()});
}

type RelayHandler = (
  store: RowStore & BlobStore,
  call: RelayCall,
  signal: AbortSignal,
) => ResultAsync<Partial<RelayAnswer>, SavoryspurError>;

/** How each call of a peer is made. */
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
  const {value, ...name} = row;
  const decoded =
    value === undefined ? undefined : Buffer.from(value, 'base64');
  return {...name, value: decoded};
}
