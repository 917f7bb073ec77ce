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
function createDirectory(self: PeerInfo): OwnerDirectory {
  const members: OwnerCandidates = {
    self,
    listOwnerCandidates: () => [HIGH_CAPACITY, LOW_CAPACITY],
    listRecentlyStarted: () => [],
    readSoon: () => Promise.resolve(),
    recordContact: () => undefined,
  };
  return new OwnerDirectory(members, new ManualClock());
}

describe('OwnerDirectory', () => {
  it('distributes the keys over all high-capacity daemons and no others', () => {
    const directory = createDirectory(LOW_CAPACITY[0]!);
    const owners = new Set(KEYS.map((key) => directory.find(key)?.host));
    expect([...owners].sort()).to.deep.equal(['a', 'b', 'c']);
  });

  it('finds the same owner on all daemons', () => {
    const directories = [...HIGH_CAPACITY, ...LOW_CAPACITY].map(
      createDirectory,
    );
    for (const key of KEYS) {
      const owners = new Set(directories.map((one) => one.find(key)?.host));
      expect(owners.size).to.equal(1);
    }
  });

  it('finds one low-capacity owner per key while no high-capacity daemon is reachable', () => {
    const directories = LOW_CAPACITY.map(createDirectory);
    for (const directory of directories) {
      for (const peer of HIGH_CAPACITY) directory.recordFailure(peer);
    }
    for (const key of KEYS) {
      const owners = new Set(directories.map((one) => one.find(key)?.host));
      expect(owners.size).to.equal(1);
      expect(LOW_CAPACITY.map((peer) => peer.host)).to.include([...owners][0]);
    }
  });
});
