import {ManualClock} from '@savoryspur/common';
import {expect} from 'chai';
import {DelegationGrantor, DelegationHolder} from '../src/index.js';
import {createPeer} from './fakes.js';

const TERM_MS = 1000;

describe('delegation leases', () => {
  let clock: ManualClock;
  let members: string[];
  let isFresh: boolean;
  let grantor: DelegationGrantor;
  let sequence: number;
  let holders: Record<string, DelegationHolder>;

  beforeEach(() => {
    clock = new ManualClock();
    members = ['a', 'b'];
    isFresh = false;
    sequence = 0;
    grantor = new DelegationGrantor({
      clock,
      getTermMs: () => TERM_MS,
      countUsableSlots: () => 4,
      areSlotsFresh: () => isFresh,
      listMembers: () => members,
    });
    holders = Object.fromEntries(
      ['a', 'b', 'c'].map((host) => [host, new DelegationHolder(host, clock)]),
    );
  });

  /** Sends a heartbeat; request and answer each take the given time. */
  function sendHeartbeat(host: string, delayMs = 0, incarnation = '1') {
    const holder = holders[host]!;
    const sentAtMs = clock.now();
    const knownView = holder.getKnownView('g:1');
    clock.advance(delayMs);
    const answer = grantor.answerHeartbeat(createPeer(host, incarnation), {
      sequence: ++sequence,
      knownView,
    });
    clock.advance(delayMs);
    holder.applyAnswer('g:1', answer, sentAtMs);
    return answer;
  }

  const getSlots = (host: string, key: string): number =>
    holders[host]!.listDelegators(key).get('g:1') ?? 0;

  const KEYS = Array.from({length: 40}, (ignored, i) => `key-${i}`);

  it('delegates the quota slots of each key to one owner', () => {
    sendHeartbeat('a');
    sendHeartbeat('b');
    for (const key of KEYS) {
      expect(getSlots('a', key) + getSlots('b', key)).to.equal(4);
    }
  });

  it('expires at the holder one term after the heartbeat was sent', () => {
    sendHeartbeat('a', 300);
    const key = KEYS.find((k) => getSlots('a', k) > 0)!;
    clock.advance(TERM_MS - 600 - 1);
    expect(getSlots('a', key)).to.equal(4);
    clock.advance(1);
    expect(getSlots('a', key)).to.equal(0);
  });

  it('moves a key only after the leases of the older view have expired', () => {
    sendHeartbeat('a');
    sendHeartbeat('b');
    members = ['a', 'b', 'c'];
    const movedAtMs: number[] = [];
    const moved = new Set<string>();
    for (let i = 0; i < 40; i++) {
      clock.advance(50);
      for (const host of members) sendHeartbeat(host);
      for (const key of KEYS) {
        const slots = members.map((host) => getSlots(host, key));
        expect(slots.filter((n) => n > 0).length, key).to.be.at.most(1);
        if (getSlots('c', key) > 0 && !moved.has(key)) {
          moved.add(key);
          movedAtMs.push(clock.now());
        }
      }
    }
    expect(moved.size).to.be.greaterThan(0);
    expect(Math.min(...movedAtMs)).to.be.at.least(TERM_MS);
  });

  it('waits for the leases of an older incarnation of the holder', () => {
    sendHeartbeat('a');
    clock.advance(100);
    holders['a'] = new DelegationHolder('a', clock);
    expect(sendHeartbeat('a', 0, '2').slots).to.equal(0);
    clock.advance(TERM_MS);
    expect(sendHeartbeat('a', 0, '2').slots).to.equal(4);
  });

  describe('of quota slots that no daemon has ever held', () => {
    const getStartMs = (host: string, key: string): number | undefined =>
      holders[host]!.getShareHistory(key, undefined).segments.find(
        (segment) => segment.slots > 0,
      )?.fromMs;

    beforeEach(() => (isFresh = true));

    it('count as always held under the first view', () => {
      sendHeartbeat('a');
      const key = KEYS.find((k) => getSlots('a', k) > 0)!;
      expect(getStartMs('a', key)).to.equal(Number.NEGATIVE_INFINITY);
    });

    it('do not count as always held for another incarnation of a daemon', () => {
      sendHeartbeat('a');
      clock.advance(2 * TERM_MS);
      holders['a'] = new DelegationHolder('a', clock);
      expect(sendHeartbeat('a', 0, '2').fresh).to.equal(false);
    });

    it('do not count as always held under a second view', () => {
      sendHeartbeat('a');
      sendHeartbeat('b');
      members = ['a', 'b', 'c'];
      clock.advance(10);
      sendHeartbeat('a');
      clock.advance(2 * TERM_MS);
      sendHeartbeat('c');
      const key = KEYS.find((k) => getSlots('c', k) > 0)!;
      expect(getStartMs('c', key)).to.be.at.least(2 * TERM_MS);
    });

    it('appear after a gap in the history when they are delegated again', () => {
      isFresh = false;
      sendHeartbeat('a');
      clock.advance(3 * TERM_MS);
      sendHeartbeat('a');
      const key = KEYS.find((k) => getSlots('a', k) > 0)!;
      const {segments} = holders['a']!.getShareHistory(key, undefined);
      const slots = segments.map((segment) => segment.slots);
      expect(slots).to.deep.equal([4, 0, 4]);
    });
  });
});
