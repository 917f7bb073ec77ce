import {
  ErrorCode,
  ManualClock,
  MemoryEventLog,
  SavoryspurError,
} from '@savoryspur/common';
import type {PeerInfo, RelayAnswer, RelayCall} from '@savoryspur/schema';
import {expect} from 'chai';
import {errAsync, okAsync, type ResultAsync} from 'neverthrow';
import {RelayedStore, serveRelay} from '../src/store/relayed_store.js';
import type {BlobStore, RowPage, RowStore} from '../src/store/row_store.js';

const PAGE: RowPage = {rows: [], hasMore: false, version: 5};

function createError(code: ErrorCode): SavoryspurError {
  return new SavoryspurError(code, {step: 's', peer: 'p'}, 'failed');
}

/** Store whose reads give what a test sets. */
class FakeStore implements RowStore, BlobStore {
  /** Code of the failure; undefined while the store answers. */
  failure: ErrorCode | undefined;
  /** Reads that arrived. */
  reads = 0;

  /** Reads nothing. */
  read(): ResultAsync<RowPage, SavoryspurError> {
    this.reads += 1;
    return this.failure ? errAsync(createError(this.failure)) : okAsync(PAGE);
  }

  /** Commits. */
  transact() {
    return this.failure
      ? errAsync(createError(this.failure))
      : okAsync({isCommitted: true, conflicts: []});
  }

  /** Lists nothing. */
  listParts() {
    return okAsync<string[], SavoryspurError>([]);
  }

  /** Has no changes. */
  watch() {
    return okAsync({rows: [], version: 5});
  }

  /** Reads no clock. */
  now() {
    return undefined;
  }

  /** Stores nothing. */
  put() {
    return okAsync<void, SavoryspurError>(undefined);
  }

  /** Finds nothing. */
  get() {
    return errAsync(createError(ErrorCode.NOT_FOUND));
  }

  /** Deletes nothing. */
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
  let asked: string[];
  let answers: Map<string, ErrorCode | 'silent' | undefined>;
  let store: RelayedStore;

  beforeEach(() => {
    direct = new FakeStore();
    clock = new ManualClock();
    asked = [];
    answers = new Map();
    store = new RelayedStore({
      rows: direct,
      blobs: direct,
      clock,
      log: new MemoryEventLog(),
      listPeers: () => ['a', 'b', 'c'].map(createPeer),
      relay: (peer) => {
        asked.push(peer.host);
        const failure = answers.get(peer.host);
        if (failure === 'silent') {
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
          message: 'failed there',
        };
        return okAsync(answer);
      },
    });
  });

  const read = () => store.read({table: 't', part: ''});

  it('asks no peer while the store answers', async () => {
    expect((await read())._unsafeUnwrap().version).to.equal(5);
    expect(asked).to.deep.equal([]);
  });

  it('keeps to the peer that helped, and asks another one when it fails', async () => {
    direct.failure = ErrorCode.UNAVAILABLE;
    answers.set('a', ErrorCode.UNAVAILABLE);
    expect((await read()).isErr()).to.equal(true);
    expect((await read())._unsafeUnwrap().version).to.equal(9);
    await read();
    expect(asked).to.deep.equal(['a', 'b', 'b']);
    expect(direct.reads).to.equal(1);
  });

  it('passes a failure on that a peer would see too', async () => {
    direct.failure = ErrorCode.NOT_FOUND;
    expect((await read())._unsafeUnwrapErr().code).to.equal('not_found');
    expect(asked).to.deep.equal([]);
  });

  it('keeps a write without an answer open when the peer fails too', async () => {
    direct.failure = ErrorCode.AMBIGUOUS;
    for (const host of ['a', 'b', 'c'])
      answers.set(host, ErrorCode.UNAVAILABLE);
    const transaction = {conditions: [], writes: []};
    const result = await store.transact(transaction, 100);
    expect(result._unsafeUnwrapErr().code).to.equal(ErrorCode.AMBIGUOUS);
  });

  it('pauses when several peers cannot help, since the store is down for all', async () => {
    direct.failure = ErrorCode.UNAVAILABLE;
    for (const host of ['a', 'b', 'c'])
      answers.set(host, ErrorCode.UNAVAILABLE);
    for (let i = 0; i < 10; i += 1) await read();
    expect(asked).to.have.length(2);
    clock.advance(400);
    await read();
    expect(asked).to.have.length(3);
  });

  it('counts as cut off when neither the store nor peers answer', async () => {
    direct.failure = ErrorCode.UNAVAILABLE;
    for (const host of ['a', 'b', 'c']) answers.set(host, 'silent');
    for (let i = 0; i < 4; i += 1) {
      clock.advance(400);
      await read();
    }
    expect(store.isIsolated()).to.equal(true);
    direct.failure = undefined;
    await read();
    expect(store.isIsolated()).to.equal(false);
  });

  it('does not count as cut off while the store is down for all', async () => {
    direct.failure = ErrorCode.UNAVAILABLE;
    for (const host of ['a', 'b', 'c'])
      answers.set(host, ErrorCode.UNAVAILABLE);
    for (let i = 0; i < 4; i += 1) {
      clock.advance(400);
      await read();
    }
    expect(store.isIsolated()).to.equal(false);
  });

  it('refuses to make calls for peers while it does not reach the store', async () => {
    const call = {method: 'read', timeoutMs: 10} as RelayCall;
    const {signal} = new AbortController();
    const refused = await serveRelay(direct, call, signal, false);
    expect(refused.errorCode).to.equal(ErrorCode.UNAVAILABLE);
    const made = await serveRelay(direct, call, signal, true);
    expect(made.errorCode).to.equal(undefined);
    expect(made.version).to.equal(5);
  });
});
