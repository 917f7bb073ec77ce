import {computeRendezvousRanking, ManualClock} from '@savoryspur/common';
import type {HeartbeatAnswer} from '@savoryspur/schema';
import {expect} from 'chai';
import {DelegationGrantor, DelegationHolder} from '../src/index.js';
import {createPeer} from './fakes.js';

const TERM_MS = 1000;
const HOSTS = ['a', 'b', 'c'];

/** The daemon that stops; the other hosts stay members. */
const STOPPING_HOST = 'a';

const KEYS = Array.from({length: 60}, (ignored, i) => `rate/${i}`);

/** A key of the stopping daemon whose next owner is the second daemon. */
const KEY = KEYS.find(
  (key) => computeRendezvousRanking(key, HOSTS).join() === 'a,b,c',
)!;

describe('handover of delegations', () => {
  let clock: ManualClock;
  let members: string[];
  let slots: number;
  let grantor: DelegationGrantor;
  let sequence: number;
  let holders: Map<string, DelegationHolder>;

  beforeEach(() => {
    clock = new ManualClock();
    members = [...HOSTS];
    slots = 4;
    sequence = 0;
    grantor = new DelegationGrantor({
      clock,
      getTermMs: () => TERM_MS,
      countUsableSlots: () => slots,
      areSlotsFresh: () => false,
      listMembers: () => members,
    });
    holders = new Map(HOSTS.map((h) => [h, new DelegationHolder(h, clock)]));
    for (const host of HOSTS) sendHeartbeat(host);
  });

  function sendHeartbeat(host: string, incarnation = '1'): HeartbeatAnswer {
    const holder = holders.get(host)!;
    const answer = grantor.answerHeartbeat(createPeer(host, incarnation), {
      sequence: ++sequence,
      knownView: holder.getKnownView('g:1'),
    });
    holder.applyAnswer('g:1', answer, clock.now());
    return answer;
  }

  function release(incarnation = '1', lastSequence?: number): void {
    grantor.endDelegations(createPeer(STOPPING_HOST, incarnation), {
      sequence:
        lastSequence ?? holders.get(STOPPING_HOST)!.getLastSequence('g:1'),
      tokens: [{key: KEY, tokens: 7}],
    });
  }

  const getSlots = (host: string): number =>
    holders.get(host)!.listDelegators(KEY).get('g:1') ?? 0;

  function leave(): void {
    holders.get(STOPPING_HOST)!.release();
    members = ['b', 'c'];
  }

  it('moves quota slots and tokens to the next owner at once', () => {
    expect(getSlots('a')).to.equal(4);
    leave();
    release();
    expect(getSlots('a')).to.equal(0);
    expect(sendHeartbeat('c').tokens).to.equal(undefined);
    expect(sendHeartbeat('b').tokens).to.deep.equal([{key: KEY, tokens: 7}]);
    expect(getSlots('b')).to.equal(4);
    expect(sendHeartbeat('b').tokens).to.equal(undefined);
  });

  it('moves nothing before the lease expires when the release is lost', () => {
    leave();
    sendHeartbeat('b');
    expect(getSlots('b')).to.equal(0);
    clock.advance(TERM_MS + 1);
    sendHeartbeat('b');
    expect(getSlots('b')).to.equal(4);
  });

  it('ignores an answer that arrives after the release', () => {
    leave();
    sendHeartbeat(STOPPING_HOST);
    expect(getSlots(STOPPING_HOST)).to.equal(0);
    release();
    expect(sendHeartbeat(STOPPING_HOST).slots).to.equal(0);
  });

  it('removes views that have no members left', () => {
    clock.advance(TERM_MS + 1);
    members = [STOPPING_HOST];
    sendHeartbeat(STOPPING_HOST);
    members = ['b', STOPPING_HOST];
    sendHeartbeat(STOPPING_HOST);
    holders.get(STOPPING_HOST)!.release();
    members = ['b'];
    release();
    expect(sendHeartbeat('b').tokens).to.have.length(1);
    expect(getSlots('b')).to.equal(4);
  });

  it('keeps other keys with their owners', () => {
    const owned = KEYS.filter(
      (key) => computeRendezvousRanking(key, HOSTS)[0] === 'c',
    );
    leave();
    release();
    for (let i = 0; i < 2; i++) {
      for (const key of owned) {
        const found = holders.get('c')!.listDelegators(key).get('g:1');
        expect(found, key).to.equal(4);
      }
      sendHeartbeat('c');
    }
  });

  const LATE_RELEASES: Array<{name: string; prepare: () => void}> = [
    {name: 'twice', prepare: () => (release(), sendHeartbeat('b'))},
    {name: 'after its lease', prepare: () => clock.advance(TERM_MS + 1)},
  ];
  for (const {name, prepare} of LATE_RELEASES) {
    it(`gives no tokens when the release comes ${name}`, () => {
      leave();
      prepare();
      sendHeartbeat('b');
      release();
      expect(sendHeartbeat('b').tokens).to.equal(undefined);
    });
  }

  it('gives no tokens for an answer that was not applied', () => {
    leave();
    release('1', 0);
    expect(sendHeartbeat('b').tokens).to.equal(undefined);
    expect(getSlots('b')).to.equal(4);
  });

  it('ignores a late release of an older incarnation', () => {
    leave();
    clock.advance(TERM_MS + 1);
    members = [...HOSTS];
    holders.set(STOPPING_HOST, new DelegationHolder(STOPPING_HOST, clock));
    sendHeartbeat(STOPPING_HOST, '2');
    expect(getSlots(STOPPING_HOST)).to.equal(4);
    members = ['b', 'c'];
    release('1', sequence);
    sendHeartbeat('b');
    expect(getSlots('b')).to.equal(0);
  });

  it('drops tokens when there are fewer quota slots than at the release', () => {
    leave();
    release();
    slots = 3;
    expect(sendHeartbeat('b').tokens).to.equal(undefined);
  });
});
