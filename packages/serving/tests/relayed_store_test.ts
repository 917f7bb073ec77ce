import {
  ErrorCode,
  ManualClock,
  MemoryEventLog,
  SavoryspurError,
} from '@savoryspur/common';
import type {PeerInfo, RelayAnswer, RelayCall} from '@savoryspur/schema';
import {expect} from 'chai';
import {errAsync, okAsync, type ResultAsync} from 'neverthrow';
import {MemoryBudget} from '../src/memory/memory_budget.js';
import {RelayedStore, serveRelay} from '../src/store/relayed_store.js';
import type {BlobStore, RowPage, RowStore} from '../src/store/row_store.js';

const PAGE: RowPage = {rows: [], hasMore: false, version: 5};

function createError(code: ErrorCode): SavoryspurError {
  return new SavoryspurError(code, {step: 's', peer: 'p'}, 'failed');
}

/** Store whose reads and transactions fail with the code that a test sets. */
class FakeStore implements RowStore, BlobStore {
  /** Error code; undefined while the store answers. */
  failure: ErrorCode | undefined;
  /** Number of reads that arrived. */
  reads = 0;

  /** Returns an empty page. */
  read(): ResultAsync<RowPage, SavoryspurError> {
    this.reads += 1;
    return this.failure ? errAsync(createError(this.failure)) : okAsync(PAGE);
  }

  /** Returns a committed transaction. */
  transact() {
    return this.failure
      ? errAsync(createError(this.failure))
      : okAsync({isCommitted: true, conflicts: []});
  }

  /** Returns no partitions. */
  listParts() {
    return okAsync<string[], SavoryspurError>([]);
  }

  /** Returns no changes. */
  watch() {
    return okAsync({rows: [], version: 5});
  }

  /** Returns no time. */
  now() {
    return undefined;
  }

  /** Succeeds without storing anything. */
  put() {
    return okAsync<void, SavoryspurError>(undefined);
  }

  /** Fails as if there were no such object. */
  get() {
    return errAsync(createError(ErrorCode.NOT_FOUND));
  }

  /** Succeeds without deleting anything. */
  delete() {
    return okAsync<void, SavoryspurError>(undefined);
  }
}

function createPeer(host: string): PeerInfo {
  return {
    host,
    zone: 'z',
    region: 'r',
    address: 'a',
    peerPort: 1,
    incarnation: 'i',
  };
}

describe('RelayedStore', () => {
  let direct: FakeStore;
  let clock: ManualClock;
  let askedPeers: string[];
  let peerFailures: Map<string, ErrorCode | 'unresponsive' | undefined>;
  let store: RelayedStore;

  beforeEach(() => {
    direct = new FakeStore();
    clock = new ManualClock();
    askedPeers = [];
    peerFailures = new Map();
    store = new RelayedStore({
      rows: direct,
      blobs: direct,
      clock,
      log: new MemoryEventLog(),
      listPeers: () => ['a', 'b', 'c'].map(createPeer),
      relay: (peer) => {
        askedPeers.push(peer.host);
        const failure = peerFailures.get(peer.host);
        if (failure === 'unresponsive') {
          return errAsync(createError(ErrorCode.TIMEOUT));
        }
        const answer: RelayAnswer = {
          rows: [],
          parts: [],
          hasMore: false,
          isCommitted: true,
          version: 9,
          body: '',
          errorCode: failure,
          message: 'failed at the peer',
        };
        return okAsync(answer);
      },
    });
  });

  const read = () => store.read({table: 't', part: ''});

  it('relays no calls while the store answers directly', async () => {
    expect((await read())._unsafeUnwrap().version).to.equal(5);
    expect(askedPeers).to.deep.equal([]);
  });

  it('keeps relaying through a peer until a call through it fails', async () => {
    direct.failure = ErrorCode.UNAVAILABLE;
    peerFailures.set('a', ErrorCode.UNAVAILABLE);
    expect((await read()).isErr()).to.equal(true);
    expect((await read())._unsafeUnwrap().version).to.equal(9);
    await read();
    expect(askedPeers).to.deep.equal(['a', 'b', 'b']);
    expect(direct.reads).to.equal(1);
  });

  it('does not relay a call that would fail at a peer too', async () => {
    direct.failure = ErrorCode.NOT_FOUND;
    expect((await read())._unsafeUnwrapErr().code).to.equal('not_found');
    expect(askedPeers).to.deep.equal([]);
  });

  it('reports a write as ambiguous when its direct call is and the peer fails', async () => {
    direct.failure = ErrorCode.AMBIGUOUS;
    for (const host of ['a', 'b', 'c'])
      peerFailures.set(host, ErrorCode.UNAVAILABLE);
    const transaction = {conditions: [], writes: []};
    const result = await store.transact(transaction, 100);
    expect(result._unsafeUnwrapErr().code).to.equal(ErrorCode.AMBIGUOUS);
  });

  it('reports a write as ambiguous when a relayed call got no answer and the direct call after it is refused', async () => {
    direct.failure = ErrorCode.UNAVAILABLE;
    await read();
    for (const host of ['a', 'b', 'c']) peerFailures.set(host, 'unresponsive');
    const transaction = {conditions: [], writes: []};
    const result = await store.transact(transaction, 100);
    expect(result._unsafeUnwrapErr().code).to.equal(ErrorCode.AMBIGUOUS);
  });

  it('pauses relaying after several peers have failed', async () => {
    direct.failure = ErrorCode.UNAVAILABLE;
    for (const host of ['a', 'b', 'c'])
      peerFailures.set(host, ErrorCode.UNAVAILABLE);
    for (let i = 0; i < 10; i += 1) await read();
    expect(askedPeers).to.have.length(2);
    clock.advance(400);
    await read();
    expect(askedPeers).to.have.length(3);
  });

  it('counts as isolated when neither the store nor the peers answer', async () => {
    direct.failure = ErrorCode.UNAVAILABLE;
    for (const host of ['a', 'b', 'c']) peerFailures.set(host, 'unresponsive');
    for (let i = 0; i < 4; i += 1) {
      clock.advance(400);
      await read();
    }
    expect(store.isIsolated()).to.equal(true);
    direct.failure = undefined;
    await read();
    expect(store.isIsolated()).to.equal(false);
  });

  it('does not count as isolated while peers answer that the store is unavailable', async () => {
    direct.failure = ErrorCode.UNAVAILABLE;
    for (const host of ['a', 'b', 'c'])
      peerFailures.set(host, ErrorCode.UNAVAILABLE);
    for (let i = 0; i < 4; i += 1) {
      clock.advance(400);
      await read();
    }
    expect(store.isIsolated()).to.equal(false);
  });

  it('refuses the calls of peers while the store does not answer directly', async () => {
    const call = {method: 'read', timeoutMs: 10} as RelayCall;
    const {signal} = new AbortController();
    const memory = new MemoryBudget();
    const refused = await serveRelay(direct, call, signal, false, memory);
    expect(refused.errorCode).to.equal(ErrorCode.UNAVAILABLE);
    const answered = await serveRelay(direct, call, signal, true, memory);
    expect(answered.errorCode).to.equal(undefined);
    expect(answered.version).to.equal(5);
  });
});
