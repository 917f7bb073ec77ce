import {ManualClock} from '@savoryspur/common';
import type {PeerInfo} from '@savoryspur/schema';
import {expect} from 'chai';
import {
  type OwnerCandidates,
  OwnerDirectory,
} from '../src/peers/owner_directory.js';
import {createPeer} from './support/create_peer.js';

const HIGH_CAPACITY = ['a', 'b', 'c'].map((name) => createPeer(name, 'zone-a'));
const LOW_CAPACITY = ['d', 'e', 'f', 'g'].map((name) =>
  createPeer(name, 'zone-b'),
);
const KEYS = Array.from({length: 50}, (unused, index) => `key-${index}`);

/** Creates the directory of one daemon. */
function createDirectory(
  self: PeerInfo,
  changes: Partial<OwnerCandidates> = {},
  clock = new ManualClock(),
): OwnerDirectory {
  const members: OwnerCandidates = {
    self,
    listOwnerCandidates: () => [HIGH_CAPACITY, LOW_CAPACITY],
    listRecentlyStarted: () => [],
    isListed: () => true,
    readSoon: () => Promise.resolve(),
    recordContact: () => undefined,
    ...changes,
  };
  return new OwnerDirectory(members, clock);
}

describe('OwnerDirectory', () => {
  it('distributes the keys over all high-capacity daemons and no others', () => {
    const directory = createDirectory(LOW_CAPACITY[0]!);
    const owners = new Set(KEYS.map((key) => directory.find(key)?.host));
    expect([...owners].sort()).to.deep.equal(['a', 'b', 'c']);
  });

  it('finds the same owner on all daemons', () => {
    const directories = [...HIGH_CAPACITY, ...LOW_CAPACITY].map((self) =>
      createDirectory(self),
    );
    for (const key of KEYS) {
      const owners = new Set(directories.map((one) => one.find(key)?.host));
      expect(owners.size).to.equal(1);
    }
  });

  it('finds one low-capacity owner per key while no high-capacity daemon is reachable', () => {
    const directories = LOW_CAPACITY.map((self) => createDirectory(self));
    for (const directory of directories) {
      for (const peer of HIGH_CAPACITY) directory.recordFailure(peer);
    }
    for (const key of KEYS) {
      const owners = new Set(directories.map((one) => one.find(key)?.host));
      expect(owners.size).to.equal(1);
      expect(LOW_CAPACITY.map((peer) => peer.host)).to.include([...owners][0]);
    }
  });

  // Guards against hosts that come and go and stay in memory as ended ones, and
  // against calls to an ended owner that the membership no longer lists.
  it('remembers an ended incarnation while it is listed, and for a minute', () => {
    const ended = createPeer('ended');
    let listed = [ended];
    const clock = new ManualClock();
    const directory = createDirectory(
      LOW_CAPACITY[0]!,
      {
        listOwnerCandidates: () => [listed, []],
        isListed: ({incarnation}) =>
          listed.some((one) => one.incarnation === incarnation),
      },
      clock,
    );
    directory.recordEnd(ended);
    clock.advance(60_000);
    expect(directory.find('key')).to.equal(undefined);
    directory.recordEnd(ended);
    listed = [{...ended, incarnation: 'run-2'}];
    clock.advance(59_000);
    expect(directory.find('key')?.incarnation).to.equal('run-2');
    expect(directory.isReachable(ended)).to.equal(false);
    clock.advance(1000);
    expect(directory.find('key')?.incarnation).to.equal('run-2');
    expect(directory.isReachable(ended)).to.equal(true);
  });
});
