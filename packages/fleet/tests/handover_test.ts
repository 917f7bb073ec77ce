import {computeRanking, ManualClock} from '@savoryspur/common';
import type {HeartbeatAnswer} from '@savoryspur/schema';
import {expect} from 'chai';
import {DelegationGrantor, DelegationHolder} from '../src/index.js';
import {createPeer} from './fakes.js';

const TERM_MS = 1000;
const HOSTS = ['a', 'b', 'c'];

/** The daemon that leaves; the others are the giver's other members. */
const LEAVER = 'a';

const KEYS = Array.from({length: 60}, (ignored, i) => `rate/${i}`);

/** A key of the leaving daemon that the second daemon owns next. */
const KEY = KEYS.find((key) => computeRanking(key, HOSTS).join() === 'a,b,c')!;

describe('handover of delegations', () => {
  let clock: ManualClock;
  let members: string[];
  let slots: number;
  let giver: DelegationGrantor;
  let sequence: number;
  let holders: Map<string, DelegationHolder>;

  beforeEach(() => {
    clock = new ManualClock();
    members = [...HOSTS];
    slots = 4;
    sequence = 0;
    giver = new DelegationGrantor({
      clock,
      getTermMs: () => TERM_MS,
      countSlots: () => slots,
      areSlotsFresh: () => false,
      listMembers: () => members,
    });
    holders = new Map(HOSTS.map((h) => [h, new DelegationHolder(h, clock)]));
    for (const host of HOSTS) sendHeartbeat(host);
  });

  function sendHeartbeat(host: string, incarnation = '1'): HeartbeatAnswer {
    const holder = holders.get(host)!;
    const answer = giver.answerHeartbeat(createPeer(host, incarnation), {
      sequence: ++sequence,
      knownView: holder.getKnownView('g:1'),
    });
    holder.applyAnswer('g:1', answer, clock.now());
    return answer;
  }

  function release(incarnation = '1', lastSequence?: number): void {
    giver.releaseReceiver(createPeer(LEAVER, incarnation), {
      sequence: lastSequence ?? holders.get(LEAVER)!.getLastSequence('g:1'),
      tokens: [{key: KEY, tokens: 7}],
    });
  }

  const getSlots = (host: string): number =>
    holders.get(host)!.listDelegators(KEY).get('g:1') ?? 0;

  function leave(): void {
    holders.get(LEAVER)!.release();
    members = ['b', 'c'];
  }

  it('moves slots and tokens to the next owner at once', () => {
    expect(getSlots('a')).to.equal(4);
    leave();
    release();
    expect(getSlots('a')).to.equal(0);
    expect(sendHeartbeat('c').tokens).to.equal(undefined);
    expect(sendHeartbeat('b').tokens).to.deep.equal([{key: KEY, tokens: 7}]);
    expect(getSlots('b')).to.equal(4);
    expect(sendHeartbeat('b').tokens).to.equal(undefined);
  });

  it('moves nothing before the lease lapses when the message is lost', () => {
    leave();
    sendHeartbeat('b');
    expect(getSlots('b')).to.equal(0);
    clock.advance(TERM_MS + 1);
    sendHeartbeat('b');
    expect(getSlots('b')).to.equal(4);
  });

  it('ignores an answer that comes after the release', () => {
    leave();
    sendHeartbeat(LEAVER);
    expect(getSlots(LEAVER)).to.equal(0);
    release();
    expect(sendHeartbeat(LEAVER).slots).to.equal(0);
  });

  it('leaves no view without members behind', () => {
    clock.advance(TERM_MS + 1);
    members = [LEAVER];
    sendHeartbeat(LEAVER);
    members = ['b', LEAVER];
    sendHeartbeat(LEAVER);
    holders.get(LEAVER)!.release();
    members = ['b'];
    release();
    expect(sendHeartbeat('b').tokens).to.have.length(1);
    expect(getSlots('b')).to.equal(4);
  });

  it('keeps other keys with their owners', () => {
    const owned = KEYS.filter((key) => computeRanking(key, HOSTS)[0] === 'c');
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

  const LATE: Array<{name: string; prepare: () => void}> = [
    {name: 'twice', prepare: () => (release(), sendHeartbeat('b'))},
    {name: 'after its lease', prepare: () => clock.advance(TERM_MS + 1)},
  ];
  for (const {name, prepare} of LATE) {
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

  it('ignores a late release of an older run', () => {
    leave();
    clock.advance(TERM_MS + 1);
    members = [...HOSTS];
    holders.set(LEAVER, new DelegationHolder(LEAVER, clock));
    sendHeartbeat(LEAVER, '2');
    expect(getSlots(LEAVER)).to.equal(4);
    members = ['b', 'c'];
    release('1', sequence);
    sendHeartbeat('b');
    expect(getSlots('b')).to.equal(0);
  });

  it('drops tokens when slots are fewer than at the release', () => {
    leave();
    release();
    slots = 3;
    expect(sendHeartbeat('b').tokens).to.equal(undefined);
  });
});
